// Package measure is the frame of the project's measurements. Each group
// stands in a package of its own below this one; cmd/camphor-measure runs them.
package measure

import (
	"context"
	"fmt"
	"io"
	"sync"
)

// Emit reports one figure. Names are dotted, lower case; the unit is a word
// such as ms, ratio, tokens or ns.
type Emit func(name string, value float64, unit string)

// Group is a set of figures that are measured in one run.
type Group struct {
	Name string
	Run  func(ctx context.Context, emit Emit) error
}

// Printer returns an Emit that writes one line a figure in the form
// "measure NAME VALUE UNIT". It is safe for concurrent use.
func Printer(w io.Writer) Emit {
	var mu sync.Mutex // keeps lines whole
	return func(name string, value float64, unit string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(w, "measure %s %.6g %s\n", name, value, unit)
	}
}
