// Package stream follows, writes and checkpoints one stream of the log service
// over a deterministic fold. It is independent of the meaning of the records;
// the fold decides the verdict on each.
package stream

import (
	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Fold is the state that results from applying the entries of a stream in order.
// It need not be safe for concurrent use. A fold that also has a method
// LastSequence(ident.Incarnation) uint64 refuses batches out of sequence; the
// writer then numbers its batches from the last sequence.
type Fold[V any] interface {
	// Apply applies one entry and returns a verdict for each of its records,
	// none if the entry is not a batch.
	Apply(offset ident.Offset, data []byte) []V
	// Offset returns the offset of the last applied entry.
	Offset() ident.Offset
	// Supported reports whether this program understands the format level of
	// the stream.
	Supported() bool
	// Snapshot encodes the state; equal states give equal bytes.
	Snapshot() ([]byte, error)
}

// Spec describes a stream: its name, how to create or load its fold, and the
// kind of its checkpoint records.
type Spec[F Fold[V], V any] struct {
	Stream logservice.Stream
	New    func() F
	Load   func(snapshot []byte) (F, error)
	// CheckpointKind is the kind of the stream's checkpoint records.
	CheckpointKind record.Kind
}

// Errors of Follower, Writer and Rebuild.
var (
	// ErrOutcomeUnknown means that the records may or may not take effect. The
	// writer continues to retry a submitted batch until its outcome is known.
	ErrOutcomeUnknown = errors.New("outcome of the append is not known yet")
	// ErrNotWritten means that the records were not written and will not be.
	ErrNotWritten = errors.New("records were not written")
	// ErrFenced means that the process has lost its incarnation in a restore of
	// the log and may write nothing more. Records submitted before may take effect.
	ErrFenced = errors.New("incarnation was lost in a restore of the log")
	// ErrUnsupported means that the stream has a format level that this
	// program does not understand.
	ErrUnsupported = errors.New("stream has a newer format level")
	// ErrNoCheckpoint means that the oldest entries were trimmed and no
	// complete checkpoint covers them.
	ErrNoCheckpoint = errors.New("no complete checkpoint covers the trimmed entries")
)

// sequenceTracker is a fold that tracks the last accepted sequence of each
// writer and refuses batches out of sequence.
type sequenceTracker interface {
	LastSequence(writer ident.Incarnation) uint64
}
