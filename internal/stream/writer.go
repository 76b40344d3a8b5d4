package stream

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Limits of one batch and one attempt.
const (
	batchRecords  = 512
	batchBytes    = 512 << 10
	appendTimeout = 10 * time.Second
)

// appends counts appends and bytes by stream, records by stream and kind, and
// retries by stream and reason.
var appends = counter.NewSet("log_appends")

// Writer appends the records of one process to a stream. It has at most one
// batch in flight and retries the same identity until the follower has read it
// back, so that sequences are dense and a repeat cannot take effect twice.
type Writer[F Fold[V], V any] struct {
	log      logservice.Log
	follower *Follower[F, V]
	identity func() ident.Incarnation
	logger   zerolog.Logger
	ready    chan struct{} // a submission was queued

	mu       sync.Mutex // guards queue and the taken mark of its submissions
	queue    []*submission[V]
	sequence uint64 // of the last batch; only Run uses it
}

type submission[V any] struct {
	records []record.Record
	bytes   int
	taken   bool // part of a batch; it cannot be withdrawn any more
	done    chan result[V]
}

type result[V any] struct {
	verdicts []V
	err      error
}

// NewWriter returns a writer for the follower's stream. The identity is asked
// for before each batch; while it is zero nothing is written.
func NewWriter[F Fold[V], V any](follower *Follower[F, V], identity func() ident.Incarnation) *Writer[F, V] {
	return &Writer[F, V]{
		log:      follower.log,
		follower: follower,
		identity: identity,
		logger:   follower.logger,
		ready:    make(chan struct{}, 1),
	}
}

// Submit writes records and returns the fold's verdict on each once the batch
// was read back. Records of concurrent callers share an append. When ctx ends
// first it fails with ErrNotWritten if the records were not yet part of an
// append, else with ErrUnknown.
func (w *Writer[F, V]) Submit(ctx context.Context, records ...record.Record) ([]V, error) {
	s := &submission[V]{records: records, done: make(chan result[V], 1)}
	for _, r := range records {
		s.bytes += len(r.Body)
	}
	w.mu.Lock()
	w.queue = append(w.queue, s)
	w.mu.Unlock()
	w.signal()
	select {
	case r := <-s.done:
		return r.verdicts, r.err
	case <-ctx.Done():
		return nil, w.withdraw(s)
	}
}

// SubmitAs writes records under an identity that the caller vouches for, in an
// append of its own. It is for the one record that a process writes before it
// has an identity. It fails with ErrUnknown when ctx ends first.
func (w *Writer[F, V]) SubmitAs(ctx context.Context, identity record.Identity, records ...record.Record) ([]V, error) {
	batch := record.Batch{Identity: identity, Records: records}
	data, err := record.Marshal(batch)
	if err != nil {
		return nil, errors.Wrap(ErrNotWritten, err.Error())
	}
	back, err := w.resolve(ctx, identity, data)
	if err != nil {
		return nil, err
	}
	if back.lost || len(back.verdicts) != len(records) {
		return nil, ErrOutcomeUnknown
	}
	w.count(batch, len(data))
	return back.verdicts, nil
}

// withdraw takes a submission out of the queue if it still stands there.
func (w *Writer[F, V]) withdraw(s *submission[V]) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.taken {
		return ErrOutcomeUnknown
	}
	for i, queued := range w.queue {
		if queued == s {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			break
		}
	}
	return ErrNotWritten
}

func (w *Writer[F, V]) signal() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// Run writes queued records until ctx ends.
func (w *Writer[F, V]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		writer := w.identity()
		var batch []*submission[V]
		if writer != 0 {
			batch = w.take()
		}
		if len(batch) > 0 {
			w.write(ctx, writer, batch)
			continue
		}
		select {
		case <-w.ready:
			if w.identity() == 0 {
				sleep(ctx, backoffBase, nil)
				w.signal()
			}
		case <-ctx.Done():
		}
	}
}

// take removes the submissions of the next batch from the queue.
func (w *Writer[F, V]) take() []*submission[V] {
	w.mu.Lock()
	defer w.mu.Unlock()
	records, bytes, n := 0, 0, 0
	for _, s := range w.queue {
		full := records+len(s.records) > batchRecords || bytes+s.bytes > batchBytes
		if full && n > 0 {
			break
		}
		records += len(s.records)
		bytes += s.bytes
		s.taken = true
		n++
	}
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	return batch
}

// write resolves one batch.
func (w *Writer[F, V]) write(ctx context.Context, writer ident.Incarnation, submissions []*submission[V]) {
	batch := record.Batch{Identity: record.Identity{Writer: writer, Sequence: w.nextSequence(writer)}}
	for _, s := range submissions {
		batch.Records = append(batch.Records, s.records...)
	}
	data, err := record.Marshal(batch)
	if err != nil {
		fail(submissions, errors.Wrap(ErrNotWritten, err.Error()))
		return
	}
	w.sequence = batch.Identity.Sequence
	back, err := w.resolve(ctx, batch.Identity, data)
	if err != nil {
		fail(submissions, err)
		return
	}
	w.count(batch, len(data))
	deliver(submissions, back)
}

// nextSequence numbers the next batch after the last one that took effect.
func (w *Writer[F, V]) nextSequence(writer ident.Incarnation) uint64 {
	if mark, ok := w.follower.mark(writer); ok {
		return mark + 1
	}
	return w.sequence + 1
}

// resolve appends a batch again and again until it is read back. After an
// append without a reply it gives the follower time to read the batch before
// it appends again.
func (w *Writer[F, V]) resolve(ctx context.Context, identity record.Identity, data []byte) (readBack[V], error) {
	done := w.follower.expect(identity)
	for failures := 0; ; failures++ {
		wait, err := w.attempt(ctx, data, failures)
		if errors.Is(err, logservice.ErrTooLarge) {
			w.follower.forget(identity)
			return readBack[V]{}, errors.Wrap(ErrNotWritten, err.Error())
		}
		timer := time.NewTimer(wait)
		select {
		case back := <-done:
			timer.Stop()
			return back, nil
		case <-timer.C:
			appends.Inc(string(w.follower.spec.Stream) + ".retries." + reasonOf(err))
		case <-ctx.Done():
			timer.Stop()
			return readBack[V]{}, ErrOutcomeUnknown
		}
	}
}

// attempt appends once and returns how long to wait for the read-back.
func (w *Writer[F, V]) attempt(ctx context.Context, data []byte, failures int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := w.log.Append(ctx, w.follower.spec.Stream, data)
	w.follower.hurry()
	if err == nil {
		return readBackTimeout, nil
	}
	if failures == 0 {
		w.logger.Warn().Err(err).Msg("append failed, its outcome is not known")
	}
	return pause(failures), err
}

// readBackTimeout is how long an acknowledged append may take to be read back
// before it is appended again; the fold drops the repeat.
const readBackTimeout = 30 * time.Second

func reasonOf(err error) string {
	if err == nil {
		return "not_read_back"
	}
	return "unavailable"
}

func (w *Writer[F, V]) count(batch record.Batch, size int) {
	stream := string(w.follower.spec.Stream)
	appends.Inc(stream + ".appends")
	appends.Add(stream+".bytes", int64(size))
	for _, r := range batch.Records {
		kind := stream + ".kind_" + strconv.Itoa(int(r.Kind))
		appends.Inc(kind + ".records")
		appends.Add(kind+".bytes", int64(len(r.Body)))
	}
}

func fail[V any](submissions []*submission[V], err error) {
	for _, s := range submissions {
		s.done <- result[V]{err: err}
	}
}

// deliver hands each submission its share of the verdicts.
func deliver[V any](submissions []*submission[V], back readBack[V]) {
	from := 0
	for _, s := range submissions {
		to := from + len(s.records)
		if back.lost || to > len(back.verdicts) {
			s.done <- result[V]{err: ErrOutcomeUnknown}
			continue
		}
		s.done <- result[V]{verdicts: back.verdicts[from:to:to]}
		from = to
	}
}
