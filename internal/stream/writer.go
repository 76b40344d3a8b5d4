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

// Limits of one batch and one append.
const (
	maxBatchRecords = 512
	maxBatchBytes   = 512 << 10
	appendTimeout   = 10 * time.Second
)

// appendEvents counts appends and bytes by stream, records and bytes by stream
// and record kind, and retries by stream and reason.
var appendEvents = counter.NewSet("log_appends")

// Writer appends the records of one process to a stream. It has at most one batch
// in flight and appends it under the same identity until the follower has read
// it back, so that sequences have no gaps and a repeated append cannot take
// effect twice.
type Writer[F Fold[V], V any] struct {
	log      logservice.Log
	follower *Follower[F, V]
	identity func() ident.Incarnation
	logger   zerolog.Logger
	queued   chan struct{} // signals that a submission was queued
	fenced   chan struct{} // closed by Fence
	fence    sync.Once

	mu       sync.Mutex // guards queue and inBatch of its submissions
	queue    []*submission[V]
	sequence uint64 // of the last batch; used only by Run
}

type submission[V any] struct {
	records []record.Record
	bytes   int
	inBatch bool // part of a batch, so it can no longer be withdrawn
	done    chan result[V]
}

type result[V any] struct {
	verdicts []V
	err      error
}

// NewWriter returns a writer for the follower's stream. It calls identity before
// each batch and writes nothing while that returns zero.
func NewWriter[F Fold[V], V any](follower *Follower[F, V], identity func() ident.Incarnation) *Writer[F, V] {
	return &Writer[F, V]{
		log:      follower.log,
		follower: follower,
		identity: identity,
		logger:   follower.logger,
		queued:   make(chan struct{}, 1),
		fenced:   make(chan struct{}),
	}
}

// Fence stops the writer for good: its incarnation may have been given to another
// process after a restore of the log. All submissions fail with ErrFenced.
func (w *Writer[F, V]) Fence() {
	w.fence.Do(func() { close(w.fenced) })
}

// Submit writes records and returns the fold's verdict on each once the batch
// was read back. Records of concurrent callers share an append. When ctx ends
// first it returns ErrNotWritten if the records were not yet part of an append,
// otherwise ErrOutcomeUnknown. It also returns ErrOutcomeUnknown if an adopted
// snapshot skipped the batch, and ErrNotWritten if the log rejects its size.
func (w *Writer[F, V]) Submit(ctx context.Context, records ...record.Record) ([]V, error) {
	s := &submission[V]{records: records, done: make(chan result[V], 1)}
	for _, r := range records {
		s.bytes += len(r.Body)
	}
	w.mu.Lock()
	w.queue = append(w.queue, s)
	w.mu.Unlock()
	w.notifyQueued()
	select {
	case r := <-s.done:
		return r.verdicts, r.err
	case <-w.fenced:
		return nil, ErrFenced
	case <-ctx.Done():
		return nil, w.withdraw(s)
	}
}

// SubmitAs writes records under the given identity, which the caller must keep
// unique, in an append of their own. A process uses it for its registration, the
// one record that it writes before it has an identity. It returns
// ErrOutcomeUnknown when ctx ends first.
func (w *Writer[F, V]) SubmitAs(ctx context.Context, identity record.Identity, records ...record.Record) ([]V, error) {
	batch := record.Batch{Identity: identity, Records: records}
	data, err := record.Marshal(batch)
	if err != nil {
		return nil, errors.Wrap(ErrNotWritten, err.Error())
	}
	back, err := w.appendUntilReadBack(ctx, identity, data)
	if err != nil {
		return nil, err
	}
	if back.skipped || len(back.verdicts) != len(records) {
		return nil, ErrOutcomeUnknown
	}
	w.countAppend(batch, len(data))
	return back.verdicts, nil
}

// withdraw removes a submission from the queue and returns ErrNotWritten, or
// returns ErrOutcomeUnknown if the submission is already part of a batch.
func (w *Writer[F, V]) withdraw(s *submission[V]) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.inBatch {
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

func (w *Writer[F, V]) notifyQueued() {
	select {
	case w.queued <- struct{}{}:
	default:
	}
}

// Run writes the queued records until ctx ends.
func (w *Writer[F, V]) Run(ctx context.Context) {
	for ctx.Err() == nil && !w.isFenced() {
		writer := w.identity()
		var batch []*submission[V]
		if writer != 0 {
			batch = w.nextBatch()
		}
		if len(batch) > 0 {
			w.writeBatch(ctx, writer, batch)
			continue
		}
		select {
		case <-w.queued:
			if w.identity() == 0 {
				sleep(ctx, backoffBase, nil)
				w.notifyQueued()
			}
		case <-w.fenced:
		case <-ctx.Done():
		}
	}
}

func (w *Writer[F, V]) isFenced() bool {
	select {
	case <-w.fenced:
		return true
	default:
		return false
	}
}

// nextBatch removes the submissions of the next batch from the queue. A batch
// has at least one submission if any is queued, even one beyond the limits.
func (w *Writer[F, V]) nextBatch() []*submission[V] {
	w.mu.Lock()
	defer w.mu.Unlock()
	records, bytes, n := 0, 0, 0
	for _, s := range w.queue {
		full := records+len(s.records) > maxBatchRecords || bytes+s.bytes > maxBatchBytes
		if full && n > 0 {
			break
		}
		records += len(s.records)
		bytes += s.bytes
		s.inBatch = true
		n++
	}
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	return batch
}

// writeBatch writes one batch and delivers its outcome to the submissions.
func (w *Writer[F, V]) writeBatch(ctx context.Context, writer ident.Incarnation, submissions []*submission[V]) {
	batch := record.Batch{Identity: record.Identity{Writer: writer, Sequence: w.nextSequence(writer)}}
	for _, s := range submissions {
		batch.Records = append(batch.Records, s.records...)
	}
	data, err := record.Marshal(batch)
	if err != nil {
		failAll(submissions, errors.Wrap(ErrNotWritten, err.Error()))
		return
	}
	w.sequence = batch.Identity.Sequence
	back, err := w.appendUntilReadBack(ctx, batch.Identity, data)
	if err != nil {
		failAll(submissions, err)
		return
	}
	w.countAppend(batch, len(data))
	deliver(submissions, back)
}

// nextSequence returns the sequence of the next batch: one more than the last that
// took effect if the fold tracks sequences, else than the last one used.
func (w *Writer[F, V]) nextSequence(writer ident.Incarnation) uint64 {
	if last, ok := w.follower.lastSequence(writer); ok {
		return last + 1
	}
	return w.sequence + 1
}

// appendUntilReadBack appends a batch repeatedly until it is read back. After each
// append it gives the follower time to read the batch before it appends again. While
// entries that a restore has lost may be written again, it appends nothing: the batch
// would take the offset of one of them.
func (w *Writer[F, V]) appendUntilReadBack(ctx context.Context, identity record.Identity, data []byte) (readBack[V], error) {
	done := w.follower.registerPending(identity)
	for failures := 0; ; failures++ {
		era, ok := w.follower.appendEra()
		for ; !ok; era, ok = w.follower.appendEra() {
			timer := time.NewTimer(heldPollInterval)
			select {
			case back := <-done:
				timer.Stop()
				return back, nil
			case <-timer.C:
			case <-w.fenced:
				timer.Stop()
				return readBack[V]{}, ErrFenced
			case <-ctx.Done():
				timer.Stop()
				return readBack[V]{}, ErrOutcomeUnknown
			}
		}
		wait, err := w.appendOnce(ctx, era, data, failures)
		if errors.Is(err, logservice.ErrTooLarge) {
			w.follower.dropPending(identity)
			return readBack[V]{}, errors.Wrap(ErrNotWritten, err.Error())
		}
		timer := time.NewTimer(wait)
		select {
		case back := <-done:
			timer.Stop()
			return back, nil
		case <-timer.C:
			appendEvents.Inc(string(w.follower.spec.Stream) + ".retries." + retryReason(err))
		case <-w.fenced:
			timer.Stop()
			return readBack[V]{}, ErrFenced
		case <-ctx.Done():
			timer.Stop()
			return readBack[V]{}, ErrOutcomeUnknown
		}
	}
}

// appendOnce appends the batch once, in the given era only, and returns how long to
// wait for the read-back before the next append.
func (w *Writer[F, V]) appendOnce(ctx context.Context, era logservice.Era, data []byte, failures int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := w.log.AppendIf(ctx, logservice.AppendRequest{Stream: w.follower.spec.Stream, Data: data, Era: era, At: ident.NoOffset})
	w.follower.noteAppend(err)
	w.follower.wakeReader()
	if err == nil {
		return readBackTimeout, nil
	}
	if failures == 0 {
		w.logger.Warn().Err(err).Msg("append failed and its outcome is unknown; retrying")
	}
	return retryDelay(failures), err
}

// heldPollInterval is how often a writer checks whether it may append.
const heldPollInterval = 50 * time.Millisecond

// readBackTimeout is how long an acknowledged append may take to be read back
// before it is appended again. The fold ignores the repeated batch.
const readBackTimeout = 30 * time.Second

func retryReason(err error) string {
	switch {
	case err == nil:
		return "not_read_back"
	case errors.Is(err, logservice.ErrEraChanged):
		return "era_changed"
	default:
		return "unavailable"
	}
}

func (w *Writer[F, V]) countAppend(batch record.Batch, size int) {
	stream := string(w.follower.spec.Stream)
	appendEvents.Inc(stream + ".appends")
	appendEvents.Add(stream+".bytes", int64(size))
	for _, r := range batch.Records {
		kind := stream + ".kind_" + strconv.Itoa(int(r.Kind))
		appendEvents.Inc(kind + ".records")
		appendEvents.Add(kind+".bytes", int64(len(r.Body)))
	}
}

func failAll[V any](submissions []*submission[V], err error) {
	for _, s := range submissions {
		s.done <- result[V]{err: err}
	}
}

// deliver sends each submission the verdicts on its records.
func deliver[V any](submissions []*submission[V], back readBack[V]) {
	from := 0
	for _, s := range submissions {
		to := from + len(s.records)
		if back.skipped || to > len(back.verdicts) {
			s.done <- result[V]{err: ErrOutcomeUnknown}
			continue
		}
		s.done <- result[V]{verdicts: back.verdicts[from:to:to]}
		from = to
	}
}
