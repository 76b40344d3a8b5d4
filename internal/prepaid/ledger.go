package prepaid

import (
	"context"
	"maps"
	"slices"
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

// Log is what the ledger needs of the platform's log.
type Log interface {
	logservice.Pager
	ReadKeyed(ctx context.Context, stream logservice.Stream, from ident.Offset, wait time.Duration) ([]logservice.KeyedEntry, ident.Offset, error)
	AppendAt(ctx context.Context, stream logservice.Stream, at ident.Offset, entries ...logservice.KeyedEntry) error
}

// Change asks for tokens, or gives some back.
type Change struct {
	Account string
	// Paid is the account's total as of Version of the settings.
	Paid            int64
	SettingsVersion int64
	// Draw is how many tokens are wanted; fewer are given when the account has
	// fewer, none when it has less than Least.
	Draw    int64
	MinDraw int64
	// Return is how many of the router's tokens are given back.
	Return int64
	// Rate is how many tokens a second a Owner of the account uses, with what it
	// lends.
	Owner bool
	Rate  float64
}

// Result is what became of a change.
type Result struct {
	Granted    int64 // tokens that are now the router's
	FreeBefore int64 // that the account had left before the change, for anybody to draw
}

// ErrUnresolved means that it could not be found out whether an append took
// effect. The tokens that it would have drawn are not given to anybody.
var ErrUnresolved = errors.New("outcome of the append cannot be known any more")

// NotWrittenError means that a change was not sent, since the log could not be
// read before.
type NotWrittenError struct{ Cause error }

// Error implements error.
func (e *NotWrittenError) Error() string {
	return "budget entries were not written: " + e.Cause.Error()
}

// Unwrap returns why the log could not be read.
func (e *NotWrittenError) Unwrap() error { return e.Cause }

// Times of the calls.
const (
	// callTimeout bounds one call; the log's client gives a silent one up
	// sooner, a slow link needs longer for a page.
	callTimeout = 3 * time.Second
	// loadTimeout bounds reading the entries of all accounts: some megabytes
	// over a slow link.
	loadTimeout = 10 * time.Second
	// retryPause is between two calls that failed.
	retryPause = 100 * time.Millisecond
)

// Ledger is a router's view of the entries of all accounts. One caller at a
// time changes it.
type Ledger struct {
	log    Log
	stream logservice.Stream
	life   string
	node   string // the part of the life's name that its successors share
	logger zerolog.Logger
	events *counter.Set

	mu      sync.Mutex // guards entries and read; only the caller of Apply changes them
	entries map[string]entry
	read    time.Time    // when the entries were the newest
	end     ident.Offset // up to which the entries are known; only Apply's caller uses it
	loaded  bool         // the same
	writes  uint64       // the same
	shared  bool         // the same; others had written when the stream was last read

	away atomic.Pointer[time.Time] // since when appends are not answered; nil if they are
}

// NewLedger returns a ledger for one life of a router, whose name no other
// life ever has. It begins with the node's name and a slash.
func NewLedger(log Log, stream logservice.Stream, life string, logger zerolog.Logger) *Ledger {
	node, _, _ := strings.Cut(life, "/")
	return &Ledger{
		log:     log,
		stream:  stream,
		life:    life,
		node:    node,
		logger:  logger.With().Str("part", "ledger").Logger(),
		events:  counter.NewSet("ledger"),
		entries: map[string]entry{},
	}
}

// Load reads the entries of all accounts.
func (l *Ledger) Load(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	// A load that failed is not gone on with: what is read counts as fresh.
	var newest logservice.Newest
	if err := newest.Read(call, l.log, l.stream); err != nil {
		return err
	}
	entries := make(map[string]entry, len(newest.Entries))
	for _, raw := range newest.Entries {
		e, err := decode(raw)
		if err != nil {
			return err // an unknown sum must not be taken for zero
		}
		entries[raw.Key] = e
	}
	l.mu.Lock()
	l.entries, l.read = entries, time.Now()
	l.mu.Unlock()
	l.end, l.loaded = newest.End, true
	return nil
}

// Drawn returns how much of an account was drawn, and when that was read.
func (l *Ledger) Drawn(account string) (int64, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[account].Drawn, l.read
}

// OtherOwnerRates returns how many tokens a second the other homes of an account use
// together, and how many of them have said so.
func (l *Ledger) OtherOwnerRates(account string) (tokens float64, homes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for node, r := range l.entries[account].Rates {
		if node != l.node {
			tokens += r.Tokens
			homes++
		}
	}
	return tokens, homes
}

// Apply makes changes in one append. It goes on until it is known what became
// of the append or ctx ends. The results are in the order of the changes. It
// fails with a NotWrittenError if nothing was sent.
//
// That an account has too few tokens is concluded only from a fresh read: other
// routers may have given some back. Where others write too, the stream is read
// first: an append at an old end costs a call and fails.
func (l *Ledger) Apply(ctx context.Context, changes []Change) ([]Result, error) {
	fresh := false
	if !l.loaded || l.shared {
		if err := l.Update(ctx); err != nil {
			return nil, &NotWrittenError{Cause: err}
		}
		fresh = true
	}
	for {
		results, entries := l.plan(changes)
		if !fresh && lacking(changes, results) {
			if err := l.refresh(ctx); err != nil {
				return nil, &NotWrittenError{Cause: err}
			}
			fresh = true
			continue
		}
		if len(entries) == 0 {
			return results, nil
		}
		won, err := l.write(ctx, entries)
		if err != nil {
			return nil, err
		}
		if won {
			return results, nil
		}
		l.events.Inc("conflicts")
		fresh = true
	}
}

// lacking reports whether some change was given less than it asked for.
func lacking(changes []Change, results []Result) bool {
	for i, c := range changes {
		if results[i].Granted < c.Draw {
			return true
		}
	}
	return false
}

// Update reads all entries, or those that are new. Apply's caller calls it.
func (l *Ledger) Update(ctx context.Context) error {
	if !l.loaded {
		return l.Load(ctx)
	}
	return l.refresh(ctx)
}

// refresh reads what others have written.
func (l *Ledger) refresh(ctx context.Context) error {
	l.events.Inc("refreshes")
	_, _, err := l.readBack(ctx, l.end)
	l.answered(err == nil || errors.Is(err, logservice.ErrTrimmed))
	if errors.Is(err, logservice.ErrTrimmed) {
		return l.Load(ctx)
	}
	return err
}

// plan works out the results of changes if they took effect now.
func (l *Ledger) plan(changes []Change) ([]Result, map[string]entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	results := make([]Result, len(changes))
	planned := map[string]entry{}
	for i, c := range changes {
		e, again := planned[c.Account]
		if !again {
			e = l.entries[c.Account]
		}
		if c.SettingsVersion > e.Version {
			e.Paid, e.Version = c.Paid, c.SettingsVersion
		}
		before := e.Drawn
		results[i].FreeBefore = e.Paid - e.Drawn
		if give := min(c.Draw, results[i].FreeBefore); give > 0 && give >= c.MinDraw {
			e.Drawn += give
			results[i].Granted = give
		}
		e.Drawn -= c.Return
		if e.Drawn == before {
			continue
		}
		e.Count++
		if c.Owner {
			e.Rates = e.noted(l.node, c.Rate)
		}
		planned[c.Account] = e
	}
	return results, planned
}

// write appends entries at the end that they were worked out for. It reports
// whether they took effect; if not they never will.
func (l *Ledger) write(ctx context.Context, planned map[string]entry) (bool, error) {
	l.writes++
	batch := make([]logservice.KeyedEntry, 0, len(planned))
	accounts := slices.Sorted(maps.Keys(planned))
	for _, account := range accounts {
		e := planned[account]
		e.Life, e.Write = l.life, l.writes
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
		l.answered(err == nil || errors.Is(err, logservice.ErrMoved))
		if err == nil {
			l.recordWrite(planned, at+ident.Offset(len(batch)))
			return true, nil
		}
		if !errors.Is(err, logservice.ErrMoved) {
			l.events.Inc("append_unknown")
			l.logger.Debug().Err(err).Int64("offset", int64(at)).Msg("append has no reply, it is read back")
		}
		mine, known, err := l.readBack(ctx, at)
		if errors.Is(err, logservice.ErrTrimmed) {
			return l.resolveTrimmed(ctx, accounts)
		}
		if err == nil && known {
			return mine, nil
		}
		// Nothing is there yet. Appending the same at the same end again is
		// safe: only one of the two can take effect.
		select {
		case <-ctx.Done():
			return false, errors.Wrap(ctx.Err(), "append of budget entries")
		case <-time.After(retryPause):
		}
	}
}

// Unavailable reports whether the last append was not answered.
func (l *Ledger) Unavailable() bool {
	return l.away.Load() != nil
}

// UnavailableFor returns for how long appends have not been answered; zero if they
// are.
func (l *Ledger) UnavailableFor() time.Duration {
	if since := l.away.Load(); since != nil {
		return time.Since(*since)
	}
	return 0
}

func (l *Ledger) answered(ok bool) {
	if ok {
		if since := l.away.Swap(nil); since != nil {
			l.logger.Info().Int64("offset", int64(l.end)).Dur("after", time.Since(*since)).
				Msg("budget entries can be written again")
		}
		return
	}
	now := time.Now()
	if l.away.CompareAndSwap(nil, &now) {
		l.logger.Warn().Int64("offset", int64(l.end)).Msg("budget entries cannot be written, tokens in hand are spent on")
	}
}

func (l *Ledger) recordWrite(planned map[string]entry, end ident.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.Copy(l.entries, planned)
	l.end, l.read = end, time.Now()
}

// readBack reads what stands at the offset and after, and reports whether it is
// this life's last append. It is not known as long as nothing stands there.
func (l *Ledger) readBack(ctx context.Context, at ident.Offset) (mine, known bool, err error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	read, _, err := l.log.ReadKeyed(call, l.stream, at, 0)
	if err != nil {
		return false, false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.read = asked
	l.shared = len(read) > 0
	if len(read) == 0 {
		return false, false, nil
	}
	for i, raw := range read {
		e, err := decode(raw)
		if err != nil {
			return false, false, err
		}
		if i == 0 {
			mine = e.Life == l.life && e.Write == l.writes
		}
		l.entries[raw.Key] = e
	}
	l.end = read[len(read)-1].Offset + 1
	return mine, true, nil
}

// resolveTrimmed looks for an append that was trimmed before it was read back.
// If another one stands over it, nobody can know whether it took effect.
func (l *Ledger) resolveTrimmed(ctx context.Context, accounts []string) (bool, error) {
	l.loaded = false
	if err := l.Load(ctx); err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, account := range accounts {
		if e := l.entries[account]; e.Life == l.life && e.Write == l.writes {
			return true, nil // an append takes effect whole
		}
	}
	return false, ErrUnresolved
}
