package prepaid

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// markerKey is the key of the marker. No account has this name.
const markerKey = "\x00era"

// marker shows that all draws that are known to have been lost before an era were written
// again. An older copy of the log holds the marker of an earlier era.
type marker struct {
	Era         logservice.Era `msgpack:"e"`
	Incarnation string         `msgpack:"l"`
	Write       uint64         `msgpack:"w"`
}

func (m *marker) encode() ([]byte, error) {
	raw, err := msgpack.Marshal(m)
	return raw, errors.Wrap(err, "encode marker of the ledger")
}

func decodeMarker(raw logservice.KeyedEntry) (logservice.Era, error) {
	var m marker
	if err := msgpack.Unmarshal(raw.Value, &m); err != nil {
		return 0, errors.Wrap(err, "decode marker of the ledger")
	}
	return m.Era, nil
}

// decodeAppend returns which append an entry of the ledger or a marker belongs to.
func decodeAppend(raw logservice.KeyedEntry) (incarnation string, write uint64, err error) {
	var m marker
	if err := msgpack.Unmarshal(raw.Value, &m); err != nil {
		return "", 0, errors.Wrapf(err, "budget entry of account %s", raw.Key)
	}
	return m.Incarnation, m.Write, nil
}

// maxRepairs is how many accounts without a change are written in one append, well below
// the log's limit of bytes.
const maxRepairs = 500

// recordEra updates whether the era of the log has a marker. The lock is held.
func (l *Ledger) recordEra() {
	if l.firstEra == 0 {
		l.firstEra = l.end.Era
	}
	l.lastEra = l.end.Era
	if l.end.Era == 0 || l.markedEra == l.end.Era {
		if since := l.repairSince.Swap(nil); since != nil {
			l.logger.Info().Int64("era", int64(l.end.Era)).Dur("after", time.Since(*since)).Msg("draws lost by the log are written again")
		}
		return
	}
	if l.repairSince.Load() != nil && l.unrepaired == l.end.Era {
		return
	}
	now := time.Now()
	l.unrepaired = l.end.Era
	l.repairSince.Store(&now)
	l.events.Inc("needs_repair")
	if len(l.entries) == 0 {
		return // the ledger is new
	}
	l.logger.Warn().Int64("era", int64(l.end.Era)).Int64("marker", int64(l.markedEra)).Int("accounts", len(l.unwritten)).
		Msg("log may have lost draws; nothing is drawn until they are written again")
}

// NeedsRepair reports whether the log may lack draws of an earlier era.
func (l *Ledger) NeedsRepair() bool { return l.repairSince.Load() != nil }

// NeedsRepairFor returns for how long that has been so.
func (l *Ledger) NeedsRepairFor() time.Duration {
	if since := l.repairSince.Load(); since != nil {
		return time.Since(*since)
	}
	return 0
}

// Era returns the era of the log in which the entries were read. Only the caller of Apply
// may call it.
func (l *Ledger) Era() logservice.Era { return l.end.Era }

// seenEra returns the era of the log when the entries were last read or written.
func (l *Ledger) seenEra() logservice.Era {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastEra
}

// isKnown reports whether any entries are known.
func (l *Ledger) isKnown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries) > 0
}

// remembers reports whether entries were read before an era.
func (l *Ledger) remembers(era logservice.Era) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstEra != 0 && l.firstEra < era
}

// HasUnwritten reports whether the log lacks parts that this router knows.
func (l *Ledger) HasUnwritten() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unwritten) > 0
}

// Repair writes what the log lacks, and the marker of its era. The copies of the other
// routers must have been merged in this era. If they may lack draws, lost says whose; what
// these routers may have used is held back for good.
func (l *Ledger) Repair(ctx context.Context, era logservice.Era, lost *unremembered) error {
	if err := l.Update(ctx); err != nil {
		return &NotWrittenError{Cause: err}
	}
	for conflicts := 0; l.NeedsRepair(); conflicts++ {
		if l.end.Era != era {
			return &NotWrittenError{Cause: logservice.ErrRestored}
		}
		_, repairs := l.plan(nil)
		last := len(repairs) < maxRepairs
		var held map[string]int64
		if last && lost != nil {
			l.mu.Lock()
			held = l.holdBack(repairs, lost)
			l.mu.Unlock()
		}
		var m *marker
		if last {
			m = &marker{Era: l.end.Era}
		}
		applied, err := l.write(ctx, repairs, m)
		if err != nil {
			return err
		}
		if applied {
			l.events.Add("repaired", int64(len(repairs)))
			for account, tokens := range held {
				l.events.Inc("held_back")
				l.logger.Warn().Str("account", account).Int64("tokens", tokens).Msg("tokens held back, since draws of routers that ended may be lost")
			}
			continue
		}
		l.events.Inc("conflicts")
		if !sleepOrWake(ctx, conflictPause(conflicts), nil) {
			return &NotWrittenError{Cause: errors.Wrap(ctx.Err(), "append of budget entries")}
		}
	}
	return nil
}

// lostHistory reports whether the log has had a marker before. Entries without one were
// written before there were markers, not lost.
func (l *Ledger) lostHistory() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hadMarker
}
