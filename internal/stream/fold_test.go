package stream

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

const (
	kindAdd        record.Kind = 1
	kindCheckpoint record.Kind = 2
	kindRaise      record.Kind = 3
	testStream                 = "test"
)

// sum is a fold that adds numbers and applies each batch of a writer once.
// maxLevel is the highest format level that the program understands.
type sum struct {
	At       ident.Offset
	Total    int
	Adds     int
	Marks    map[ident.Incarnation]uint64
	Level    uint16
	maxLevel uint16
}

func newSum(maxLevel uint16) *sum {
	return &sum{At: ident.NoOffset, Marks: map[ident.Incarnation]uint64{}, Level: 1, maxLevel: maxLevel}
}

func (s *sum) Offset() ident.Offset                    { return s.At }
func (s *sum) Supported() bool                         { return s.Level <= s.maxLevel }
func (s *sum) LastSequence(w ident.Incarnation) uint64 { return s.Marks[w] }
func (s *sum) Snapshot() ([]byte, error)               { return msgpack.Marshal(s) }

// Apply returns the total after each record, -1 for one that is not applied.
func (s *sum) Apply(offset ident.Offset, data []byte) []int {
	s.At = offset
	batch, err := record.Unmarshal(data)
	if err != nil {
		return nil
	}
	inSequence := batch.Identity.Sequence == s.Marks[batch.Identity.Writer]+1
	if inSequence {
		s.Marks[batch.Identity.Writer]++
	}
	verdicts := make([]int, len(batch.Records))
	for i, r := range batch.Records {
		verdicts[i] = -1
		if inSequence && r.Level <= s.Level {
			verdicts[i] = s.applyRecord(r)
		}
	}
	return verdicts
}

func (s *sum) applyRecord(r record.Record) int {
	n, err := record.Decode[int](r)
	switch {
	case r.Kind == kindAdd && err == nil:
		s.Total += n
		s.Adds++
	case r.Kind == kindRaise && err == nil:
		s.Level = uint16(n)
	}
	return s.Total
}

func sumSpec(maxLevel uint16) Spec[*sum, int] {
	return Spec[*sum, int]{
		Stream: testStream,
		New:    func() *sum { return newSum(maxLevel) },
		Load: func(raw []byte) (*sum, error) {
			s := newSum(maxLevel)
			if err := msgpack.Unmarshal(raw, s); err != nil {
				return nil, err
			}
			if !s.Supported() {
				return nil, errors.New("level is not known")
			}
			return s, nil
		},
		CheckpointKind: kindCheckpoint,
	}
}

// process runs a follower and a writer until it is stopped.
type process struct {
	*Follower[*sum, int]
	writer *Writer[*sum, int]
	cancel context.CancelFunc
	work   conc.WaitGroup
	resets atomic.Int64 // times that the state was replaced by an older one
}

func startProcess(log logservice.Log, writer ident.Incarnation, maxLevel uint16) *process {
	p := &process{Follower: NewFollower(log, sumSpec(maxLevel), zerolog.Nop())}
	p.writer = NewWriter(p.Follower, func() ident.Incarnation { return writer })
	p.OnReset(func() { p.resets.Add(1) })
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.work.Go(func() { p.Follower.Run(ctx) })
	p.work.Go(func() { p.writer.Run(ctx) })
	return p
}

func (p *process) stop() {
	p.cancel()
	p.work.Wait()
}

func (p *process) state() (total, adds int) {
	p.View(func(s *sum) { total, adds = s.Total, s.Adds })
	return total, adds
}

func (p *process) add(t *testing.T, n int) ([]int, error) {
	t.Helper()
	return p.writer.Submit(withTimeout(t, time.Minute), addRecord(t, n))
}

func addRecord(t *testing.T, n int) record.Record {
	t.Helper()
	r, err := record.New(kindAdd, n)
	require.NoError(t, err)
	return r
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}
