package prepaid

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// write appends entries at the position that they were planned for, and the marker of
// the era if there is one. It reports whether they took effect; if it returns false
// without an error they never will.
func (l *Ledger) write(ctx context.Context, planned map[string]entry, marker *marker) (bool, error) {
	l.writeSeq++
	batch, err := l.encodeBatch(planned, marker)
	if err != nil {
		return false, err
	}
	at := l.end
	for {
		fence := l.currentFence()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := l.log.AppendAt(call, l.stream, at, batch...)
		cancel()
		l.events.Inc("appends")
		restored := errors.Is(err, logservice.ErrRestored)
		l.recordAvailability(err == nil || restored || errors.Is(err, logservice.ErrMoved))
		if err == nil {
			return l.recordWrite(planned, marker, at.After(len(batch)), fence)
		}
		if restored {
			l.loaded = false
			return false, l.abandon(planned, err)
		}
		if !errors.Is(err, logservice.ErrMoved) {
			l.events.Inc("append_unknown")
			l.logger.Debug().Err(err).Int64("offset", int64(at.Offset)).Msg("append got no reply, reading back its outcome")
		}
		ours, known, err := l.readBack(ctx, at)
		switch {
		case errors.Is(err, logservice.ErrRestored):
			l.loaded = false
			return false, l.abandon(planned, err)
		case errors.Is(err, logservice.ErrTrimmed):
			return l.resolveTrimmed(ctx, planned)
		case err == nil && known && ours:
			return l.confirm(planned, at.Era, fence)
		case err == nil && known:
			return false, nil
		}
		// No entry is at the offset yet. Retrying the same append at the same
		// offset is safe: only one of the attempts can take effect.
		select {
		case <-ctx.Done():
			return false, l.abandon(planned, errors.Wrap(ctx.Err(), "append of budget entries"))
		case <-time.After(retryDelay):
		}
	}
}

// encodeBatch returns the entries of an append, the marker last.
func (l *Ledger) encodeBatch(planned map[string]entry, marker *marker) ([]logservice.KeyedEntry, error) {
	batch := make([]logservice.KeyedEntry, 0, len(planned)+1)
	for _, account := range slices.Sorted(maps.Keys(planned)) {
		e := planned[account]
		e.Incarnation, e.Write, e.Era = l.incarnation, l.writeSeq, l.end.Era
		raw, err := e.encode()
		if err != nil {
			return nil, err
		}
		batch = append(batch, logservice.KeyedEntry{Key: account, Value: raw})
	}
	if marker != nil {
		marker.Incarnation, marker.Write = l.incarnation, l.writeSeq
		raw, err := marker.encode()
		if err != nil {
			return nil, err
		}
		batch = append(batch, logservice.KeyedEntry{Key: markerKey, Value: raw})
	}
	return batch, nil
}

// abandon ends an append whose outcome will not be known and returns the cause. What it
// would have returned counts as returned, what it would have drawn as not drawn; both are
// stated in the next append.
func (l *Ledger) abandon(planned map[string]entry, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for account, e := range planned {
		own, found := l.own[account]
		if !found {
			continue
		}
		own.Net = min(own.Net, e.Parts[own.writer].Net)
		own.Seq++
		l.own[account] = own
		l.entries[account] = l.entries[account].withPart(own.writer, own.part)
		l.unwritten[account] = struct{}{}
	}
	return cause
}

// recordWrite records the entries of an append that took effect.
func (l *Ledger) recordWrite(planned map[string]entry, marker *marker, end logservice.Position, fence logservice.Era) (bool, error) {
	l.mu.Lock()
	for account, e := range planned {
		delete(l.unwritten, account)
		l.changedAt[account] = time.Now()
		if known := l.entries[account]; !e.covers(known) { // learnt from another router meanwhile
			e = merge(e, known)
			l.unwritten[account] = struct{}{}
		}
		l.entries[account] = e
	}
	if marker != nil {
		l.markedEra, l.markerAt, l.hadMarker = marker.Era, end.Offset-1, true
	}
	l.end, l.readAt = end, time.Now()
	l.recordEra()
	l.mu.Unlock()
	return l.confirm(planned, end.Era, fence)
}

// currentFence returns the highest era that another router has named.
func (l *Ledger) currentFence() logservice.Era {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence
}

// confirm records the parts of this incarnation in an append that took effect in an era.
// It fails with ErrRestored if another router has named a later era since the call began,
// when the fence was the given one: the append may be lost. A fence from before the call
// was wrong, since the log has answered in an earlier era afterwards.
func (l *Ledger) confirm(planned map[string]entry, era, fence logservice.Era) (bool, error) {
	l.mu.Lock()
	lost := era != 0 && era < l.fence && fence < l.fence
	if !lost {
		for account, e := range planned {
			if own, found := l.own[account]; found {
				own.part = e.Parts[own.writer]
				l.own[account] = own
			}
		}
	}
	l.mu.Unlock()
	if lost {
		return false, l.abandon(planned, errors.Wrap(logservice.ErrRestored, "append of budget entries"))
	}
	return true, nil
}

// readBack reads the entries from a position on, and reports whether the first is
// of this incarnation's last append. That is not known while there are none.
func (l *Ledger) readBack(ctx context.Context, at logservice.Position) (ours, known bool, err error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	page, err := l.log.ReadKeyed(call, l.stream, at, 0)
	if err != nil {
		return false, false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAt = asked
	l.contended = len(page.Entries) > 0
	if len(page.Entries) == 0 {
		return false, false, nil
	}
	for i, raw := range page.Entries {
		if i == 0 {
			incarnation, write, err := decodeAppend(raw)
			if err != nil {
				return false, false, err
			}
			ours = incarnation == l.incarnation && write == l.writeSeq
		}
		if err := l.apply(raw); err != nil {
			return false, false, err
		}
	}
	l.end = page.Next
	l.recordEra()
	return ours, true, nil
}

// resolveTrimmed looks for the parts of an append that was trimmed before it was read
// back. If it had no parts of this incarnation, its outcome can't be determined.
func (l *Ledger) resolveTrimmed(ctx context.Context, planned map[string]entry) (bool, error) {
	era := l.end.Era
	l.loaded = false
	if err := l.Load(ctx); err != nil {
		return false, l.abandon(planned, err)
	}
	if l.end.Era != era {
		return false, l.abandon(planned, logservice.ErrRestored)
	}
	l.mu.Lock()
	applied, decided := false, false
	for account, e := range planned {
		own, found := l.own[account]
		if !found {
			continue
		}
		decided = true
		if l.entries[account].Parts[own.writer].Seq == e.Parts[own.writer].Seq {
			applied = true // an append is atomic
		}
	}
	l.mu.Unlock()
	switch {
	case !decided:
		return false, ErrUnresolved
	case applied:
		return l.confirm(planned, era, l.currentFence())
	default:
		return false, nil
	}
}
