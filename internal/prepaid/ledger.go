package prepaid

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/logservice"
)

// Log is the part of the platform's log that the ledger uses.
type Log interface {
	logservice.Pager
	ReadKeyed(ctx context.Context, stream logservice.Stream, from logservice.Position, wait time.Duration) (logservice.KeyedPage, error)
	AppendAt(ctx context.Context, stream logservice.Stream, at logservice.Position, entries ...logservice.KeyedEntry) error
}

// Change draws tokens of an account, or returns some.
type Change struct {
	Account string
	// Paid is the total number of tokens paid for as of SettingsVersion.
	Paid            int64
	SettingsVersion int64
	// Draw is how many tokens are requested. Fewer are granted when the account
	// has fewer, none when it has fewer than MinDraw.
	Draw    int64
	MinDraw int64
	// Return is how many of the router's tokens go back to the account.
	Return int64
	// Owner is set if the router is an owner of the account. Rate is then how
	// many tokens per second it uses, including loans to other routers.
	Owner bool
	Rate  float64
}

// Result is the effect of a change.
type Result struct {
	Granted    int64 // tokens drawn for the router
	FreeBefore int64 // tokens that any router could draw before the change
}

// ErrUnresolved means that it could not be determined whether an append took
// effect. The tokens that it would have drawn are not granted to any router.
var ErrUnresolved = errors.New("outcome of the append is unknown: its entries were trimmed and replaced")

// NotWrittenError means that a change was not written and will not be, because
// reading the log before it failed, or ctx ended after a conflict.
type NotWrittenError struct{ Cause error }

// Error implements error.
func (e *NotWrittenError) Error() string {
	return "budget entries were not written: " + e.Cause.Error()
}

// Unwrap returns the error of the read.
func (e *NotWrittenError) Unwrap() error { return e.Cause }

// Timeouts and delays of calls to the log.
const (
	// callTimeout bounds one call. The log's client abandons a call without any
	// reply sooner; a page over a slow link takes longer.
	callTimeout = 3 * time.Second
	// loadTimeout bounds reading the entries of all accounts: a few megabytes
	// over a slow link.
	loadTimeout = 10 * time.Second
	// retryDelay is the delay before a failed append is retried.
	retryDelay = 100 * time.Millisecond
	// minConflictPause and maxConflictPause bound the random pause after an
	// append whose condition failed. The limit doubles with each conflict in a
	// row; an append takes the log 4 ms.
	minConflictPause = 4 * time.Millisecond
	maxConflictPause = 250 * time.Millisecond
)

// Ledger is a router's copy of the budget entries of all accounts. Load, Update
// and Apply must not run concurrently; the other methods are safe for concurrent
// use.
type Ledger struct {
	log         Log
	stream      logservice.Stream
	incarnation string
	node        string // node part of the incarnation, the same after a restart
	logger      zerolog.Logger
	events      *counter.Set

	mu        sync.Mutex // guards entries and readAt, which only the caller of Apply changes
	entries   map[string]entry
	readAt    time.Time           // when the entries were known to be current
	end       logservice.Position // up to which the entries are known; only used by the caller of Apply
	loaded    bool                // only used by the caller of Apply
	writeSeq  uint64              // appends made so far; only used by the caller of Apply
	contended bool                // the last read returned new entries of other writers; only used by the caller of Apply

	unavailableSince atomic.Pointer[time.Time] // time of the first unanswered call; nil if the log answers
}

// NewLedger returns a ledger for one incarnation of a router. The name of the
// incarnation must be unique for all time and begin with the node's name and a
// slash.
func NewLedger(log Log, stream logservice.Stream, incarnation string, logger zerolog.Logger) *Ledger {
	node, _, _ := strings.Cut(incarnation, "/")
	return &Ledger{
		log:         log,
		stream:      stream,
		incarnation: incarnation,
		node:        node,
		logger:      logger.With().Str("part", "ledger").Logger(),
		events:      counter.NewSet("ledger"),
		entries:     map[string]entry{},
	}
}

// Load reads the entries of all accounts.
func (l *Ledger) Load(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	// A failed load starts over from the first page, since its pages would be
	// out of date when the load succeeds.
	var newest logservice.NewestReader
	if err := newest.Read(call, l.log, l.stream); err != nil {
		return err
	}
	entries := make(map[string]entry, len(newest.Entries))
	for _, raw := range newest.Entries {
		e, err := decode(raw)
		if err != nil {
			return err // an undecodable entry must not count as zero tokens drawn
		}
		entries[raw.Key] = e
	}
	l.mu.Lock()
	l.entries, l.readAt = entries, time.Now()
	l.mu.Unlock()
	l.end, l.loaded = newest.End, true
	return nil
}

// Drawn returns how many tokens of an account are drawn, and when that was read.
func (l *Ledger) Drawn(account string) (int64, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[account].Drawn, l.readAt
}

// age returns for how long the ledger has not been read or written.
func (l *Ledger) age(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.readAt)
}

// OtherOwnerRates returns how many tokens per second the other owners of an
// account use together, and how many of them have published a rate.
func (l *Ledger) OtherOwnerRates(account string) (tokens float64, owners int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for node, r := range l.entries[account].Rates {
		if node != l.node {
			tokens += r.Tokens
			owners++
		}
	}
	return tokens, owners
}

// Apply makes changes in one append. It retries until the outcome of the append
// is known or ctx ends. The results are in the order of the changes. It fails
// with a NotWrittenError if nothing was or will be written, and with ErrUnresolved if the
// outcome can't be determined.
//
// Only a fresh read shows that an account has too few tokens: other routers may
// have returned some. If other routers write to the stream too, it is read
// first, because an append at an outdated end costs a call and fails.
func (l *Ledger) Apply(ctx context.Context, changes []Change) ([]Result, error) {
	fresh := false
	if !l.loaded || l.contended {
		if err := l.Update(ctx); err != nil {
			return nil, &NotWrittenError{Cause: err}
		}
		fresh = true
	}
	for conflicts := 0; ; conflicts++ {
		results, entries := l.plan(changes)
		if !fresh && anyShortfall(changes, results) {
			if err := l.refresh(ctx); err != nil {
				return nil, &NotWrittenError{Cause: err}
			}
			fresh = true
			results, entries = l.plan(changes)
		}
		if len(entries) == 0 {
			return results, nil
		}
		applied, err := l.write(ctx, entries)
		if err != nil {
			return nil, err
		}
		if applied {
			return results, nil
		}
		l.events.Inc("conflicts")
		fresh = true
		if !sleepOrWake(ctx, conflictPause(conflicts), nil) {
			return nil, &NotWrittenError{Cause: errors.Wrap(ctx.Err(), "append of budget entries")}
		}
	}
}

// conflictPause returns a random pause after a number of conflicts in a row. Appends
// that fail occupy the stream as long as others, so many writers without a pause
// would keep each other from succeeding.
func conflictPause(conflicts int) time.Duration {
	return rand.N(min(minConflictPause<<min(conflicts, 10), maxConflictPause))
}

// anyShortfall reports whether any change was granted fewer tokens than it
// requested.
func anyShortfall(changes []Change, results []Result) bool {
	for i, c := range changes {
		if results[i].Granted < c.Draw {
			return true
		}
	}
	return false
}

// Update loads all entries, or reads the new ones if the ledger is loaded. It
// must not run concurrently with Apply.
func (l *Ledger) Update(ctx context.Context) error {
	if !l.loaded {
		return l.Load(ctx)
	}
	return l.refresh(ctx)
}

// refresh reads the entries that other routers have written since the last read.
func (l *Ledger) refresh(ctx context.Context) error {
	l.events.Inc("refreshes")
	_, _, err := l.readBack(ctx, l.end)
	reload := errors.Is(err, logservice.ErrTrimmed) || errors.Is(err, logservice.ErrRestored)
	l.recordAvailability(err == nil || reload)
	if reload {
		return l.Load(ctx)
	}
	return err
}

// plan computes the results of changes against the known entries, and the entries
// to append for them.
func (l *Ledger) plan(changes []Change) ([]Result, map[string]entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	results := make([]Result, len(changes))
	planned := map[string]entry{}
	for i, c := range changes {
		e, alreadyPlanned := planned[c.Account]
		if !alreadyPlanned {
			e = l.entries[c.Account]
		}
		if c.SettingsVersion > e.Version {
			e.Paid, e.Version = c.Paid, c.SettingsVersion
		}
		before := e.Drawn
		results[i].FreeBefore = e.Paid - e.Drawn
		if grant := min(c.Draw, results[i].FreeBefore); grant > 0 && grant >= c.MinDraw {
			e.Drawn += grant
			results[i].Granted = grant
		}
		e.Drawn -= c.Return
		if e.Drawn == before {
			continue
		}
		e.Count++
		if c.Owner {
			e.Rates = e.withRate(l.node, c.Rate)
		}
		planned[c.Account] = e
	}
	return results, planned
}

// write appends entries at the offset that they were planned for. It reports
// whether they took effect; if it returns false without an error they never will.
func (l *Ledger) write(ctx context.Context, planned map[string]entry) (bool, error) {
	l.writeSeq++
	batch := make([]logservice.KeyedEntry, 0, len(planned))
	accounts := slices.Sorted(maps.Keys(planned))
	for _, account := range accounts {
		e := planned[account]
		e.Incarnation, e.Write = l.incarnation, l.writeSeq
		raw, err := e.encode()
		if err != nil {
			return false, err
		}
		batch = append(batch, logservice.KeyedEntry{Key: account, Value: raw})
	}
	at := l.end
	for failures := 0; ; failures++ {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := l.log.AppendAt(call, l.stream, at, batch...)
		cancel()
		l.events.Inc("appends")
		l.recordAvailability(err == nil || errors.Is(err, logservice.ErrMoved))
		if err == nil {
			l.recordWrite(planned, at.After(len(batch)))
			return true, nil
		}
		if errors.Is(err, logservice.ErrRestored) {
			l.loaded = false
			return false, err
		}
		if !errors.Is(err, logservice.ErrMoved) {
			l.events.Inc("append_unknown")
			l.logger.Debug().Err(err).Int64("offset", int64(at.Offset)).Msg("append got no reply, reading back its outcome")
		}
		ours, known, err := l.readBack(ctx, at)
		switch {
		case errors.Is(err, logservice.ErrRestored):
			l.loaded = false
			return false, err
		case errors.Is(err, logservice.ErrTrimmed):
			return l.resolveTrimmed(ctx, accounts)
		}
		if err == nil && known {
			return ours, nil
		}
		// No entry is at the offset yet. Retrying the same append at the same
		// offset is safe: only one of the attempts can take effect.
		select {
		case <-ctx.Done():
			return false, errors.Wrap(ctx.Err(), "append of budget entries")
		case <-time.After(retryDelay):
		}
	}
}

// Unavailable reports whether the log did not answer the last append or refresh.
func (l *Ledger) Unavailable() bool {
	return l.unavailableSince.Load() != nil
}

// UnavailableFor returns how long the log has not answered; zero if it answers.
func (l *Ledger) UnavailableFor() time.Duration {
	if since := l.unavailableSince.Load(); since != nil {
		return time.Since(*since)
	}
	return 0
}

func (l *Ledger) recordAvailability(ok bool) {
	if ok {
		if since := l.unavailableSince.Swap(nil); since != nil {
			l.logger.Info().Int64("offset", int64(l.end.Offset)).Dur("after", time.Since(*since)).
				Msg("budget entries can be written again")
		}
		return
	}
	now := time.Now()
	if l.unavailableSince.CompareAndSwap(nil, &now) {
		l.logger.Warn().Int64("offset", int64(l.end.Offset)).Msg("budget entries cannot be written, requests are served from local balances")
	}
}

func (l *Ledger) recordWrite(planned map[string]entry, end logservice.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.Copy(l.entries, planned)
	l.end, l.readAt = end, time.Now()
}

// readBack reads the entries from a position on, and reports whether the first is
// this incarnation's last append. That is not known while there are none.
func (l *Ledger) readBack(ctx context.Context, at logservice.Position) (ours, known bool, err error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	page, err := l.log.ReadKeyed(call, l.stream, at, 0)
	if err != nil {
		return false, false, err
	}
	read := page.Entries
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAt = asked
	l.contended = len(read) > 0
	if len(read) == 0 {
		return false, false, nil
	}
	for i, raw := range read {
		e, err := decode(raw)
		if err != nil {
			return false, false, err
		}
		if i == 0 {
			ours = e.Incarnation == l.incarnation && e.Write == l.writeSeq
		}
		l.entries[raw.Key] = e
	}
	l.end = page.Next
	return ours, true, nil
}

// resolveTrimmed looks in the newest entries for an append that was trimmed
// before it was read back. If later entries have replaced all of its entries, the
// outcome can't be determined.
func (l *Ledger) resolveTrimmed(ctx context.Context, accounts []string) (bool, error) {
	l.loaded = false
	if err := l.Load(ctx); err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, account := range accounts {
		if e := l.entries[account]; e.Incarnation == l.incarnation && e.Write == l.writeSeq {
			return true, nil // an append is atomic
		}
	}
	return false, ErrUnresolved
}
