// Package logservice is the client's view of the platform's log service: an
// append-only log with offsets per stream, finite retention and outages.
package logservice

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Stream names one stream of the log service.
type Stream string

// Entry is one appended value and its position.
type Entry struct {
	Offset ident.Offset `json:"offset"`
	Data   []byte       `json:"data"`
}

// ReadRequest asks for entries from an offset on.
type ReadRequest struct {
	Stream Stream
	From   ident.Offset
	// Max bounds the number of entries of the reply.
	Max int
	// Wait is how long the service may hold the request until an entry
	// exists. Zero returns at once.
	Wait time.Duration
}

// Page is the reply to a read. Entries are contiguous and start at the
// requested offset; an empty page with Next equal to From means that the
// reader has reached the end.
type Page struct {
	Entries []Entry      `json:"entries"`
	First   ident.Offset `json:"first"` // oldest retained offset
	Next    ident.Offset `json:"next"`  // offset that the next append will get
}

// Log is the log service. Implementations are safe for concurrent use.
type Log interface {
	// Append adds one entry. On ErrUnavailable nothing may be concluded
	// about whether the entry was written: callers read it back.
	Append(ctx context.Context, stream Stream, data []byte) (ident.Offset, error)
	// Read returns a page. It fails with ErrTrimmed when From is older than
	// the retention, and never returns a page with a gap.
	Read(ctx context.Context, request ReadRequest) (Page, error)
}

// Errors of the log service.
var (
	// ErrUnavailable means that the service did not answer, or that its
	// answer was lost. A write may or may not have taken effect.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrTrimmed means that the requested offset is no longer retained.
	ErrTrimmed = errors.New("log offset is no longer retained")
	// ErrTooLarge means that the entry exceeds the service's limit; nothing
	// was written.
	ErrTooLarge = errors.New("log entry is too large")
)

// ErrMoved means that a conditional append found the stream at another end;
// nothing was written.
var ErrMoved = errors.New("log stream has another end")

// KeyedEntry is the newest entry of one key of a keyed stream. A nil Value
// means that the key was dropped.
type KeyedEntry struct {
	Key    string
	Value  []byte
	Offset ident.Offset
}
