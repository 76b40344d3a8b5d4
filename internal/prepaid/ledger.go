package prepaid

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/ident"
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

// errNeedsRepair means that nothing is drawn yet, since the log was restored from an older
// copy and the draws that it lost are not all written again.
var errNeedsRepair = errors.New("draws that the log has lost are being collected")

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

// Ledger is a router's copy of the budget entries of all accounts. Load, Update,
// Apply and Repair must not run concurrently; the other methods are safe for concurrent
// use.
//
// The log may come back from an older copy of itself and lose draws that it has
// acknowledged. So the entries that are read never replace the known ones; both are
// merged, and what the log lacks is written again. Nothing is drawn in a new era of the
// log until its marker shows that the copies of the other routers were merged too.
type Ledger struct {
	log         Log
	stream      logservice.Stream
	incarnation string
	node        string // node part of the incarnation, the same after a restart
	logger      zerolog.Logger
	events      *counter.Set

	mu         sync.Mutex // guards all below up to fence
	entries    map[string]entry
	own        map[string]ownPart   // what this incarnation has drawn, by account
	unwritten  map[string]struct{}  // accounts of which the log lacks a part
	readAt     time.Time            // when the entries were known to be current
	markedEra  logservice.Era       // era of which the log holds the marker
	markerAt   ident.Offset         // of the marker
	hadMarker  bool                 // a marker was read
	changedAt  map[string]time.Time // when an account was last seen to change
	firstEra   logservice.Era       // era in which entries were first read
	lastEra    logservice.Era       // era in which they were last read or written
	unrepaired logservice.Era       // era without a marker that was last seen
	fence      logservice.Era       // highest era that another router has named

	end       logservice.Position // up to which the entries are known; only used by the caller of Apply
	loaded    bool                // only used by the caller of Apply
	writeSeq  uint64              // appends made so far; only used by the caller of Apply
	contended bool                // the last read returned new entries of other writers; only used by the caller of Apply

	unavailableSince atomic.Pointer[time.Time] // time of the first unanswered call; nil if the log answers
	repairSince      atomic.Pointer[time.Time] // when a new era of the log was first seen; nil once it has a marker
}

// ownPart is a part of this incarnation. Its writer changes if the part was folded.
type ownPart struct {
	part
	writer writer
	folded int // parts that were folded
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
		own:         map[string]ownPart{},
		unwritten:   map[string]struct{}{},
		changedAt:   map[string]time.Time{},
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
	l.mu.Lock()
	defer l.mu.Unlock()
	read := make(map[string]struct{}, len(newest.Entries))
	slices.SortFunc(newest.Entries, func(a, b logservice.KeyedEntry) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, raw := range newest.Entries {
		if err := l.apply(raw); err != nil {
			return err // an undecodable entry must not count as zero tokens drawn
		}
		read[raw.Key] = struct{}{}
	}
	for account := range l.entries {
		if _, found := read[account]; !found {
			l.unwritten[account] = struct{}{}
		}
	}
	l.end, l.loaded, l.readAt = newest.End, true, time.Now()
	l.recordEra()
	return nil
}

// apply merges an entry that was read with the known one. The lock is held.
func (l *Ledger) apply(raw logservice.KeyedEntry) error {
	if raw.Key == markerKey {
		era, err := decodeMarker(raw)
		l.markedEra, l.markerAt, l.hadMarker = era, raw.Offset, true
		return err
	}
	read, err := decode(raw)
	if err != nil {
		return err
	}
	if read.Era < l.markedEra && raw.Offset > l.markerAt {
		// An append of an earlier era took effect late. Its entry may lack draws.
		l.events.Inc("late_append")
		l.logger.Warn().Str("account", raw.Key).Int64("offset", int64(raw.Offset)).Int64("era", int64(read.Era)).
			Msg("budget entry of an earlier era was written late")
		l.markedEra = 0
	}
	delete(l.unwritten, raw.Key)
	known := l.entries[raw.Key]
	if read.Count != known.Count {
		l.changedAt[raw.Key] = time.Now()
	}
	if read.covers(known) {
		l.entries[raw.Key] = read
		return nil
	}
	l.entries[raw.Key] = merge(read, known)
	l.unwritten[raw.Key] = struct{}{}
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

// Apply makes changes, and writes what the log lacks, in one append. It retries until the
// outcome of the append is known or ctx ends. The results are in the order of the changes.
// It fails with a NotWrittenError if nothing was or will be written, and with ErrUnresolved
// or ErrRestored if the outcome can't be determined.
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
	if l.NeedsRepair() {
		return nil, &NotWrittenError{Cause: errNeedsRepair}
	}
	for conflicts := 0; ; conflicts++ {
		results, entries := l.plan(changes)
		if !fresh && anyShortfall(changes, results) {
			if err := l.refresh(ctx); err != nil {
				return nil, &NotWrittenError{Cause: err}
			}
			fresh = true
			if l.NeedsRepair() {
				return nil, &NotWrittenError{Cause: errNeedsRepair}
			}
			results, entries = l.plan(changes)
		}
		if len(entries) == 0 {
			return results, nil
		}
		applied, err := l.write(ctx, entries, nil)
		if err != nil {
			return nil, err
		}
		if applied {
			return results, nil
		}
		l.events.Inc("conflicts")
		fresh = true
		if l.NeedsRepair() {
			return nil, &NotWrittenError{Cause: errNeedsRepair}
		}
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
		results[i].FreeBefore = e.Paid - e.Drawn
		if grant := min(c.Draw, results[i].FreeBefore); grant > 0 && grant >= c.MinDraw {
			results[i].Granted = grant
		}
		change := results[i].Granted - c.Return
		if change == 0 {
			continue
		}
		e = l.withOwnChange(c.Account, e, change)
		if c.Owner {
			e.Rates = e.withRate(l.node, c.Rate)
		}
		planned[c.Account] = e
	}
	for account := range l.unwritten {
		if _, alreadyPlanned := planned[account]; !alreadyPlanned && len(planned) < len(changes)+maxRepairs {
			planned[account] = l.withOwnChange(account, l.entries[account], 0)
		}
	}
	return results, planned
}

// withOwnChange returns the next entry of an account, in which this incarnation has drawn
// more tokens, or fewer. The lock is held.
func (l *Ledger) withOwnChange(account string, e entry, tokens int64) entry {
	e.Count++
	own, found := l.own[account]
	if !found && tokens == 0 {
		return e
	}
	if _, listed := e.Parts[own.writer]; found && !listed && e.holds(own.writer, own.part) {
		own = ownPart{folded: own.folded + 1}
	}
	if own.writer == 0 {
		own.writer = writerOf(l.incarnation + "/" + strconv.Itoa(own.folded))
	}
	own.Seq = max(e.Count, own.Seq+1, e.Parts[own.writer].Seq+1)
	e.Count = own.Seq
	l.own[account] = own // uses up the number, whatever becomes of the append
	return e.withPart(own.writer, part{Net: own.Net + tokens, Seq: own.Seq})
}

// Unavailable reports whether nothing can be drawn now: the log did not answer the last
// append or refresh, or draws that it lost are being collected.
func (l *Ledger) Unavailable() bool {
	return l.unavailableSince.Load() != nil || l.NeedsRepair()
}

// UnavailableFor returns how long nothing can be drawn; zero if tokens can be.
func (l *Ledger) UnavailableFor() time.Duration {
	longest := time.Duration(0)
	for _, since := range []*time.Time{l.unavailableSince.Load(), l.repairSince.Load()} {
		if since != nil {
			longest = max(longest, time.Since(*since))
		}
	}
	return longest
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
