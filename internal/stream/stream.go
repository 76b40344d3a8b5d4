// Package stream follows, writes and checkpoints one stream of the log
// service over a deterministic fold. Nothing in it knows what the records
// mean: the verdicts are the fold's.
package stream

import (
	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Fold is the state that the entries of a stream build up. It need not be safe
// for concurrent use. A fold that also has a method
// Mark(ident.Incarnation) uint64 refuses batches out of sequence; the writer
// then numbers its batches after the mark.
type Fold[V any] interface {
	// Apply folds one entry and returns a verdict for each of its records,
	// none if the entry is not a batch.
	Apply(offset ident.Offset, data []byte) []V
	// Offset returns the offset of the last entry applied.
	Offset() ident.Offset
	// Supported reports whether this program understands the format level of
	// the stream.
	Supported() bool
	// Snapshot encodes the state; equal states give equal bytes.
	Snapshot() ([]byte, error)
}

// Spec names a stream and how its fold is made.
type Spec[F Fold[V], V any] struct {
	Stream logservice.Stream
	New    func() F
	Load   func(snapshot []byte) (F, error)
	// CheckpointKind is the kind of the stream's checkpoint records.
	CheckpointKind record.Kind
}

// Errors of this package.
var (
	// ErrOutcomeUnknown means that the records may or may not take effect. The
	// writer goes on resolving them.
	ErrOutcomeUnknown = errors.New("outcome of the append is not known yet")
	// ErrNotWritten means that the records have not been and will not be
	// written.
	ErrNotWritten = errors.New("records were not written")
	// ErrUnsupported means that the stream has a format level that this
	// program does not understand.
	ErrUnsupported = errors.New("stream has a newer format level")
	// ErrNoCheckpoint means that the oldest entries are gone and no complete
	// checkpoint covers them.
	ErrNoCheckpoint = errors.New("no complete checkpoint covers the trimmed entries")
)

// marker is a fold that checks the sequence of each writer.
type marker interface {
	LastSequence(writer ident.Incarnation) uint64
}
