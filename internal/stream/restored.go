package stream

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Timing of the recovery after a restore of the log.
const (
	// restoreSettleTime is how long a stream must be quiet until it counts as
	// complete. It is the longest time after which a reader learns of a restore: a
	// read that hangs, and the delay before the next one.
	restoreSettleTime = pollWait + logservice.CallTimeout + backoffCap
	// restoreStepDelay is the upper limit of a random delay before entries are
	// written again, and while another process writes them, so that usually one
	// of many processes writes.
	restoreStepDelay = time.Second
)

// maxCompared is the number of entries, of the newest that the log and a follower
// should have in common, that are compared after a restore. If older ones differed,
// these would not all be the same.
const maxCompared = 256

// kindEraMarker is the kind of the record that marks a stream as complete after a
// restore; its body is the era. No fold knows it, so it changes no state. It is also
// part of checkpoints, since a process that starts from one may not read older markers.
const kindEraMarker record.Kind = 1 << 15

// errRestoredAgain means that the log was restored while it was compared.
var errRestoredAgain = errors.New("log was restored during the recovery")

// recovery is the state of a follower in a log that was restored. Only Run changes
// it, under the follower's lock.
type recovery struct {
	active    bool // the log does not yet have all that the state includes
	startedAt time.Time
	verified  ident.Offset // entries of the log before this offset agree with the tail
	next      ident.Offset // end of the stream when it was last looked at
	again     int          // entries written again by this process
}

// noteEra records the era of an answer and reports whether the log was restored since
// the state was read. A missing era, or one that goes back, is no information.
func (f *Follower[F, V]) noteEra(era logservice.Era) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case era == logservice.NoEra:
		if f.era != logservice.NoEra {
			f.noteBadEra("missing", era)
		}
		return false
	case era < f.era:
		f.noteBadEra("back", era)
		f.answeredEra = era
		return false
	}
	f.badEraLogged, f.eraRefused = false, false
	f.answeredEra = era
	if f.era == logservice.NoEra {
		f.era = era
		f.changedAt = time.Now()
	}
	return era > f.era
}

// noteBadEra counts a bad era and logs the first of several in a row.
func (f *Follower[F, V]) noteBadEra(reason string, era logservice.Era) {
	readEvents.Inc(string(f.spec.Stream) + ".era_" + reason)
	if !f.badEraLogged {
		f.badEraLogged = true
		f.logger.Warn().Uint64("era", uint64(era)).Uint64("known", uint64(f.era)).Msg("era of the log is missing or goes back; it is ignored")
	}
}

// recover compares a log that lacks the next offset, or has another era, with the
// entries that were read from it before, and writes again what it lacks.
func (f *Follower[F, V]) recover(ctx context.Context) error {
	page, err := read(ctx, f.log, logservice.ReadRequest{Stream: f.spec.Stream, From: logservice.End, Max: 1})
	if err != nil {
		return err
	}
	position := f.Offset() + 1
	if !f.noteEra(page.Era) && !f.recovery.active && page.Next >= position {
		if page.First <= position {
			return errors.Wrapf(logservice.ErrUnavailable, "stream %s has offset %d, but did not return it", f.spec.Stream, position)
		}
		return f.rebuild(ctx) // the next entry was trimmed
	}
	f.startRecovery(page.Next, position)
	kept := f.tailCopy()
	if page.Next < position && page.Next < kept.first || len(kept.entries) == 0 && position > 0 {
		return f.awaitOthers(ctx, page.Next, position)
	}
	agrees, err := f.compare(ctx, &kept, page)
	switch {
	case err != nil:
		return err
	case !agrees:
		return f.reset(ctx)
	case page.Next >= position:
		f.endRecovery()
		return nil
	case f.othersWrite(page.Next):
		sleep(ctx, rand.N(restoreStepDelay), nil)
		return ctx.Err()
	default:
		return f.writeAgain(ctx, &kept, page.Next)
	}
}

// startRecovery starts the recovery, or starts it again in a newer era.
func (f *Follower[F, V]) startRecovery(next, position ident.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newEra := f.answeredEra > f.era
	if f.recovery.active && !newEra {
		return
	}
	if newEra {
		f.era = f.answeredEra
	}
	f.recovery = recovery{active: true, startedAt: time.Now(), next: next}
	f.changedAt = f.recovery.startedAt
	readEvents.Inc(string(f.spec.Stream) + ".restored")
	f.logger.Warn().Uint64("era", uint64(f.era)).Int64("lost", max(0, int64(position-next))).
		Msg("log came back from an older copy; lost entries are written again")
}

// othersWrite reports whether the stream has grown since it was last looked at.
func (f *Follower[F, V]) othersWrite(next ident.Offset) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	grown := next > f.recovery.next
	f.recovery.next = next
	return grown
}

func (f *Follower[F, V]) endRecovery() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recovery.active = false
	f.changedAt = time.Now()
	f.notifyAdvanced()
	f.logger.Info().Uint64("era", uint64(f.era)).Int("written_again", f.recovery.again).
		Dur("took", time.Since(f.recovery.startedAt)).Msg("log has all entries again that this process had read")
}

func (f *Follower[F, V]) tailCopy() tail {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tail // entries are never changed in place, except those dropped at the front
}

// compare reports whether the log's entries agree with those that were kept.
func (f *Follower[F, V]) compare(ctx context.Context, kept *tail, end logservice.Page) (bool, error) {
	to := min(end.Next, kept.next())
	from := max(f.recovery.verified, kept.first, end.First, to-maxCompared)
	for from < to {
		page, err := read(ctx, f.log, logservice.ReadRequest{Stream: f.spec.Stream, From: from, Max: maxPageEntries})
		if err != nil {
			return false, err
		}
		if f.noteEra(page.Era) {
			return false, errRestoredAgain
		}
		if len(page.Entries) == 0 {
			return false, errors.Wrapf(logservice.ErrUnavailable, "stream %s ends at %d, before %d", f.spec.Stream, from, to)
		}
		for _, entry := range page.Entries {
			if entry.Offset != from {
				return false, errors.Wrapf(logservice.ErrUnavailable, "stream %s has a gap at %d", f.spec.Stream, from)
			}
			if from < to && !bytes.Equal(entry.Data, kept.from(from)[0]) {
				return false, nil
			}
			from++
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recovery.verified = max(f.recovery.verified, to)
	return true, nil
}

// writeAgain appends the kept entries from an offset on, each at its old offset. It
// returns without an error when another process has written one first.
func (f *Follower[F, V]) writeAgain(ctx context.Context, kept *tail, from ident.Offset) error {
	if !sleep(ctx, rand.N(restoreStepDelay), nil) {
		return ctx.Err()
	}
	for i, data := range kept.from(from) {
		err := f.appendAt(ctx, data, from+ident.Offset(i))
		if errors.Is(err, logservice.ErrMoved) || errors.Is(err, logservice.ErrEraChanged) {
			return nil
		}
		if err != nil {
			return err
		}
		readEvents.Inc(string(f.spec.Stream) + ".written_again")
		f.mu.Lock()
		f.recovery.again++
		f.mu.Unlock()
	}
	return nil
}

// appendAt appends an entry on the condition that it gets the offset in the current
// era.
func (f *Follower[F, V]) appendAt(ctx context.Context, data []byte, at ident.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	f.mu.Lock()
	era := f.eraToName()
	f.mu.Unlock()
	_, err := f.log.AppendIf(ctx, logservice.AppendRequest{Stream: f.spec.Stream, Data: data, Era: era, At: at})
	f.noteAppend(err)
	return err
}

// eraToName returns the era that an append must name. The caller holds the lock.
func (f *Follower[F, V]) eraToName() logservice.Era {
	if f.eraRefused && f.answeredEra < f.era {
		return f.answeredEra
	}
	return f.era
}

// noteAppend records whether the log has refused the era that was named. The highest
// era seen may have been a bad one; then the era of the last answer is named instead,
// and the other way round.
func (f *Follower[F, V]) noteAppend(err error) {
	if !errors.Is(err, logservice.ErrEraChanged) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.eraRefused = !f.eraRefused
}

// awaitOthers waits for other processes to write entries again that this one has not
// kept. If they do not within restoreSettleTime, the state is replaced.
func (f *Follower[F, V]) awaitOthers(ctx context.Context, next, position ident.Offset) error {
	if next >= position || time.Since(f.changedAt) >= restoreSettleTime {
		return f.reset(ctx)
	}
	sleep(ctx, restoreStepDelay, nil)
	return ctx.Err()
}

// reset replaces the state by that of the restored log, which includes less or other
// entries. Records that this process has acted on may be gone.
func (f *Follower[F, V]) reset(ctx context.Context) error {
	built, err := rebuild(ctx, f.log, f.spec)
	if err != nil {
		return err
	}
	if f.noteEra(built.era) {
		return errRestoredAgain
	}
	f.mu.Lock()
	lost := f.fold.Offset()
	f.fold = built.fold
	f.adoptRebuilt(built)
	f.recovery.active = false
	f.changedAt = time.Now()
	f.resolveSkipped()
	f.notifyAdvanced()
	f.mu.Unlock()
	readEvents.Inc(string(f.spec.Stream) + ".reset")
	f.logger.Error().Int64("offset", int64(built.fold.Offset())).Int64("lost_from", int64(lost)).
		Msg("log has other entries than this process had read; its state was replaced by an older one")
	for _, hook := range f.resetHooks {
		hook()
	}
	f.runHooks()
	return nil
}

// OnReset registers a function that is called, without the follower's lock, after the
// state was replaced by one that lacks entries of the old one. It must be called
// before Run.
func (f *Follower[F, V]) OnReset(hook func()) {
	f.resetHooks = append(f.resetHooks, hook)
}

// complete reports whether the stream has all entries that were lost in a restore, as
// far as this process knows. The caller holds the lock.
func (f *Follower[F, V]) complete() bool {
	return f.era <= 1 || f.markedEra >= f.era
}

// noteMarker records the marker of an era. The caller holds the lock.
func (f *Follower[F, V]) noteMarker(era logservice.Era) {
	held := !f.complete()
	f.markedEra = max(f.markedEra, era)
	if held && f.complete() && !f.recovery.startedAt.IsZero() {
		f.logger.Info().Uint64("era", uint64(f.era)).Dur("held", time.Since(f.recovery.startedAt)).
			Msg("stream is complete after the restore; new records are written")
	}
}

// appendEra returns the era that an append of new entries must name, and false while
// there may be none because entries that a restore has lost may still be written again.
func (f *Follower[F, V]) appendEra() (logservice.Era, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	restored := f.answeredEra > f.era || f.recovery.active
	if f.syncedAt.IsZero() || restored || !f.complete() {
		return logservice.NoEra, false
	}
	return f.eraToName(), true
}

// markComplete writes the marker of the era once the stream has been quiet for
// restoreSettleTime.
func (f *Follower[F, V]) markComplete(ctx context.Context) error {
	f.mu.Lock()
	atEnd := f.fold.Offset()+1 == f.next
	due := !f.complete() && atEnd && time.Since(f.changedAt) >= restoreSettleTime
	era, next := f.era, f.next
	f.mu.Unlock()
	if !due {
		return nil
	}
	if !sleep(ctx, rand.N(restoreStepDelay), nil) {
		return ctx.Err()
	}
	marker, err := newEraMarker(era)
	if err != nil {
		return err
	}
	data, err := record.Marshal(record.Batch{
		Identity: record.Identity{Sequence: uint64(era)}, // writer 0, which folds refuse
		Records:  []record.Record{marker},
	})
	if err != nil {
		return err
	}
	err = f.appendAt(ctx, data, next)
	if errors.Is(err, logservice.ErrMoved) || errors.Is(err, logservice.ErrEraChanged) {
		return nil
	}
	return err
}

// untilMark returns how long a read may wait before the marker of the era is due.
func (f *Follower[F, V]) untilMark() time.Duration {
	return min(pollWait, max(0, restoreSettleTime-time.Since(f.changedAt)))
}

func newEraMarker(era logservice.Era) (record.Record, error) {
	return record.New(kindEraMarker, uint64(era))
}

// markedEra returns the highest era that a batch marks as complete, NoEra if none.
func markedEra(batch record.Batch) logservice.Era {
	marked := logservice.NoEra
	for _, r := range batch.Records {
		if r.Kind != kindEraMarker {
			continue
		}
		if era, err := record.Decode[uint64](r); err == nil {
			marked = max(marked, logservice.Era(era))
		}
	}
	return marked
}
