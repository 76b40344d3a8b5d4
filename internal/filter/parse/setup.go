// Package parse reads the body of a request and finds out what it asks for.
package parse

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/filter"
)

// bodyTimeout is how long a caller may take to send its body.
const bodyTimeout = 30 * time.Second

// defaultMaxBody is in force when the fleet settings say nothing.
const defaultMaxBody = 4 << 20 // bytes

// maxBuffered bounds the bodies that one router holds at once, in bytes.
const maxBuffered = 256 << 20

// maxKeyLength bounds an idempotency key, in bytes.
const maxKeyLength = 256

// New returns the filter.
func New() filter.Filter {
	return &handler{counters: filter.Counters("parse")}
}
