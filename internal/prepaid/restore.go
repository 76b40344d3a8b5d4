package prepaid

import (
	"context"
	"strconv"
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
	if l.end.Era == 0 || l.settled == l.end.Era {
		if since := l.unsettledSince.Swap(nil); since != nil {
			l.logger.Info().Int64("era", int64(l.end.Era)).Dur("after", time.Since(*since)).Msg("draws lost by the log are written again")
		}
		return
	}
	if l.unsettledSince.Load() != nil && l.unsettled == l.end.Era {
		return
	}
	now := time.Now()
	l.unsettled = l.end.Era
	l.unsettledSince.Store(&now)
	l.events.Inc("unsettled")
	if len(l.entries) == 0 {
		return // the ledger is new
	}
	l.logger.Warn().Int64("era", int64(l.end.Era)).Int64("marker", int64(l.settled)).Int("accounts", len(l.unwritten)).
		Msg("log may have lost draws; nothing is drawn until they are written again")
}

// Unsettled reports whether the log may lack draws of an earlier era.
func (l *Ledger) Unsettled() bool { return l.unsettledSince.Load() != nil }

// UnsettledFor returns for how long that has been so.
func (l *Ledger) UnsettledFor() time.Duration {
	if since := l.unsettledSince.Load(); since != nil {
		return time.Since(*since)
	}
	return 0
}

// Era returns the era of the log in which the entries were read. Only the caller of Apply
// may call it.
func (l *Ledger) Era() logservice.Era { return l.end.Era }

// seenEra returns the highest era of the log that this router or another one has seen.
func (l *Ledger) seenEra() logservice.Era {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.lastEra, l.fence)
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

// maxCopyAge is the age of the oldest copy from which the log is restored, for the estimate
// of lost draws that no router remembers.
const maxCopyAge = 12 * time.Second

// unremembered says which routers may have made draws that nobody remembers.
type unremembered struct {
	isRemembered func(node string) bool
	owners       []string      // of the shard
	span         time.Duration // for how long they may have drawn
}

// rate estimates how many tokens of an account per second the routers used that are not
// remembered, by the rates that the owners published. An owner without one counts as an
// average one.
func (u *unremembered) rate(published map[string]rate) float64 {
	sum := 0.0
	for _, r := range published {
		sum += r.Tokens
	}
	mean := sum / float64(max(len(published), 1))
	total := 0.0
	for node, r := range published {
		if !u.isRemembered(node) {
			total += max(r.Tokens, mean)
		}
	}
	for _, node := range u.owners {
		if _, found := published[node]; !found && !u.isRemembered(node) {
			total += mean
		}
	}
	return total
}

// holdBack adds, to each account, the tokens that routers whose draws are not remembered
// may have used since the copy from which the log was restored was made, as a part that
// no incarnation owns. It returns how many, by account. The lock is held.
func (l *Ledger) holdBack(planned map[string]entry, lost *unremembered) map[string]int64 {
	held := map[string]int64{}
	w := writerOf("lost/" + strconv.FormatInt(int64(l.end.Era), 10))
	for account, current := range l.entries {
		if _, done := current.Parts[w]; done {
			continue
		}
		e, found := planned[account]
		if !found {
			e = current
		}
		tokens := min(int64(lost.rate(e.Rates)*lost.span.Seconds()), e.Paid-e.Drawn)
		if tokens <= 0 {
			continue
		}
		e.Count++
		planned[account] = e.withPart(w, part{Net: tokens, Seq: e.Count})
		held[account] = tokens
	}
	return held
}

// Settle writes what the log lacks, and the marker of its era. The copies of the other
// routers must have been merged in this era. If they may lack draws, lost says whose; what
// these routers may have used is held back for good.
func (l *Ledger) Settle(ctx context.Context, era logservice.Era, lost *unremembered) error {
	if err := l.Update(ctx); err != nil {
		return &NotWrittenError{Cause: err}
	}
	for conflicts := 0; l.Unsettled(); conflicts++ {
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

// forfeit states that tokens which were granted to this router are not used, since the log
// has been restored before they were.
func (l *Ledger) forfeit(changes []Change, results []Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, r := range results {
		account := changes[i].Account
		own, found := l.own[account]
		if r.Granted == 0 || !found {
			continue
		}
		own.Net -= r.Granted
		own.Seq++
		l.own[account] = own
		l.entries[account] = l.entries[account].withPart(own.writer, own.part)
		l.unwritten[account] = struct{}{}
	}
	l.events.Inc("forfeited")
}

// lostHistory reports whether the log has had a marker before. Entries without one were
// written before there were markers, not lost.
func (l *Ledger) lostHistory() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hadMarker
}

// Copy is the budget entries that a router knows, by account.
type Copy map[string][]byte

// copyWindow is for how long a change is part of the copies for other routers, far longer
// than the age of a copy from which the log is restored.
const copyWindow = 2 * time.Minute

// Copy returns the known entries that have changed within copyWindow. Appends that are acknowledged in an earlier era than the
// given one count as lost from now on, so that the copy holds all draws of that time.
func (l *Ledger) Copy(era logservice.Era) (Copy, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence = max(l.fence, era)
	recent := map[string]entry{}
	for account, changedAt := range l.changedAt {
		if time.Since(changedAt) < copyWindow {
			recent[account] = l.entries[account]
		}
	}
	return encodeCopy(recent)
}

// CopyOf returns the known entries of some accounts.
func (l *Ledger) CopyOf(accounts []string) (Copy, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := make(map[string]entry, len(accounts))
	for _, account := range accounts {
		entries[account] = l.entries[account]
	}
	return encodeCopy(entries)
}

// encodeCopy encodes entries, except those without parts, which say nothing about draws.
// It leaves out what only the log needs, since a copy may have to pass a slow link.
func encodeCopy(entries map[string]entry) (Copy, error) {
	encoded := make(Copy, len(entries))
	for account, e := range entries {
		if len(e.Parts) == 0 {
			continue
		}
		e.Incarnation, e.Write, e.Rates = "", 0, nil
		raw, err := e.encode()
		if err != nil {
			return nil, err
		}
		encoded[account] = raw
	}
	return encoded, nil
}

// MergeCopy adds the copy of another router to the known entries.
func (l *Ledger) MergeCopy(entries Copy) error {
	return l.mergeCopy(entries, func(account string) { l.unwritten[account] = struct{}{} })
}

// Observe adds entries that another router has just written.
func (l *Ledger) Observe(entries Copy) error {
	return l.mergeCopy(entries, func(string) {})
}

// mergeCopy calls onChange, with the lock held, for each account that has changed.
func (l *Ledger) mergeCopy(entries Copy, onChange func(account string)) error {
	for account, raw := range entries {
		e, err := decode(logservice.KeyedEntry{Key: account, Value: raw})
		if err != nil {
			return err
		}
		l.mu.Lock()
		if known := l.entries[account]; !known.covers(e) {
			l.entries[account] = merge(known, e)
			l.changedAt[account] = time.Now()
			onChange(account)
		}
		l.mu.Unlock()
	}
	return nil
}
