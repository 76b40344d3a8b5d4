// Package logservice is the client interface of the platform's log service: an
// append-only log with offsets per stream and finite retention, which may be
// unavailable at times.
package logservice

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Stream names one stream of the log service.
type Stream string

// Entry is one appended value and its offset.
type Entry struct {
	Offset ident.Offset `json:"offset"`
	Data   []byte       `json:"data"`
}

// ReadRequest asks for the entries at and after an offset.
type ReadRequest struct {
	Stream Stream
	From   ident.Offset
	// Max bounds the number of entries of the reply.
	Max int
	// Wait is how long the service may wait for an entry if there is none
	// yet. With zero it replies at once.
	Wait time.Duration
}

// Page is the reply to a read. Entries are contiguous and start at the
// requested offset; an empty page with Next equal to From means that the
// reader has reached the end.
type Page struct {
	Entries []Entry      `json:"entries"`
	First   ident.Offset `json:"first"` // oldest retained offset
	Next    ident.Offset `json:"next"`  // offset of the next append
}

// Log is the log service. Implementations are safe for concurrent use.
type Log interface {
	// Append adds one entry. After ErrUnavailable it is unknown whether the
	// entry was written: callers have to read the stream to find out.
	Append(ctx context.Context, stream Stream, data []byte) (ident.Offset, error)
	// Read returns a page. It fails with ErrTrimmed when From is before the
	// oldest retained offset, and never returns a page with a gap.
	Read(ctx context.Context, request ReadRequest) (Page, error)
}

// Errors of the log service.
var (
	// ErrUnavailable means that the service did not reply or that its reply
	// was lost. A write may or may not have taken effect.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrTrimmed means that the requested offset is no longer retained.
	ErrTrimmed = errors.New("log offset is no longer retained")
	// ErrTooLarge means that the entry exceeds the service's limit; nothing
	// was written.
	ErrTooLarge = errors.New("log entry is too large")
)

// ErrMoved means that the stream did not end at the offset that a conditional
// append expected; nothing was written.
var ErrMoved = errors.New("log stream does not end at the expected offset")

// ErrRestored means that the log came back from an older copy after the position of
// a call was read. An append may have been written at the same offset of the new era.
var ErrRestored = errors.New("log was restored from an older copy")

// Era counts how often a log came back from an older copy of itself. Zero if unknown.
type Era int64

// Position is an offset in a keyed stream, in one era of the log. Offsets are given
// out again in a later era, so they cannot be compared across eras.
type Position struct {
	Era    Era
	Offset ident.Offset
}

// After returns the position a number of entries later.
func (p Position) After(entries int) Position {
	p.Offset += ident.Offset(entries)
	return p
}

// KeyedPage is the entries of a keyed stream from a position on, without gaps.
type KeyedPage struct {
	Entries []KeyedEntry
	// Next is the position after the last entry.
	Next Position
}

// KeyedEntry is the newest entry of one key of a keyed stream. A nil Value
// means that the key was deleted.
type KeyedEntry struct {
	Key    string
	Value  []byte
	Offset ident.Offset
}
