// Package logservice is the client interface of the platform's log service: an
// append-only log with offsets per stream and finite retention, which may be
// unavailable at times.
package logservice

import (
	"context"
	"math"
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

// Era numbers the restores of the log service from an older copy. A restore loses
// the entries after the copy and gives their offsets out again, so an offset names
// an entry only together with its era. Each restore raises the era by one.
type Era uint64

// NoEra means that an answer had no valid era. It says nothing about restores.
const NoEra Era = 0

// EraHeader is the HTTP header that has the era, a decimal number from 1, in every
// answer of the log service. In an append it is the condition on the era.
const EraHeader = "Log-Era"

// End as ReadRequest.From asks for the range of a stream without entries.
const End ident.Offset = math.MaxInt64

// AppendRequest asks for an append that takes effect only under conditions.
type AppendRequest struct {
	Stream Stream
	Data   []byte
	// Era is the era that the log must have. NoEra sets no condition.
	Era Era
	// At is the offset that the entry must get. NoOffset sets no condition.
	At ident.Offset
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
	Era     Era          `json:"-"`     // era of the offsets, NoEra if the answer had none
}

// Log is the log service. Implementations are safe for concurrent use.
type Log interface {
	// Append adds one entry. After ErrUnavailable it is unknown whether the
	// entry was written: callers have to read the stream to find out.
	Append(ctx context.Context, stream Stream, data []byte) (ident.Offset, error)
	// AppendIf is Append under conditions. It fails with ErrEraChanged or ErrMoved,
	// and then nothing was written, if one does not hold.
	AppendIf(ctx context.Context, request AppendRequest) (ident.Offset, error)
	// Read returns a page. It fails with ErrTrimmed when From is before the
	// oldest retained offset or, after a restore, beyond the next offset. It
	// never returns a page with a gap.
	Read(ctx context.Context, request ReadRequest) (Page, error)
}

// Errors of the log service.
var (
	// ErrUnavailable means that the service did not reply or that its reply
	// was lost. A write may or may not have taken effect.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrTrimmed means that the log does not have the requested offset: it is
	// no longer retained, or a restore has moved the end of the stream before it.
	ErrTrimmed = errors.New("log offset is not retained")
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

// ErrEraChanged means that the log has another era than a conditional append
// expected; nothing was written.
var ErrEraChanged = errors.New("log has another era")

// KeyedEntry is the newest entry of one key of a keyed stream. A nil Value
// means that the key was deleted.
type KeyedEntry struct {
	Key    string
	Value  []byte
	Offset ident.Offset
}
