// Package parse is the filter that reads and parses the body of a request.
package parse

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/filter"
)

// bodyTimeout is the time that a caller may take to send the body.
const bodyTimeout = 30 * time.Second

// defaultMaxBody is the body limit in bytes if the fleet settings have none.
const defaultMaxBody = 4 << 20

// maxKeyLength is the maximum length of an idempotency key in bytes.
const maxKeyLength = 256

// New returns the filter.
func New() filter.Filter {
	return &handler{counters: filter.Counters("parse")}
}
