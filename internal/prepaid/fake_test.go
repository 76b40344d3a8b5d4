package prepaid

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
)

// fakeLog is one keyed stream in memory with injectable faults.
type fakeLog struct {
	mu      sync.Mutex
	entries []logservice.KeyedEntry
	first   ident.Offset // older ones are trimmed
	delayed []func()     // appends without a reply that may take effect later
	faults  *rand.Rand   // nil: no faults
	down    bool         // all calls fail
	appends int
	reads   int
	latency time.Duration // of each call
}

var errReplyLost = errors.New("reply is lost")

func (l *fakeLog) chance(share float64) bool {
	return l.faults != nil && l.faults.Float64() < share
}

func (l *fakeLog) NewestPage(context.Context, logservice.Stream, string) (logservice.NewestPage, error) {
	l.sleepLatency()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.chance(0.1) {
		return logservice.NewestPage{}, logservice.Unavailable(errReplyLost)
	}
	newest := map[string]logservice.KeyedEntry{}
	for _, e := range l.entries {
		newest[e.Key] = e
	}
	var list []logservice.KeyedEntry
	for _, e := range newest {
		list = append(list, e)
	}
	return logservice.NewestPage{Entries: list, End: ident.Offset(len(l.entries))}, nil
}

func (l *fakeLog) ReadKeyed(_ context.Context, _ logservice.Stream, from ident.Offset, _ time.Duration) ([]logservice.KeyedEntry, ident.Offset, error) {
	l.sleepLatency()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down || l.chance(0.1) {
		return nil, 0, logservice.Unavailable(errReplyLost)
	}
	if from < l.first {
		return nil, 0, logservice.ErrTrimmed
	}
	return append([]logservice.KeyedEntry(nil), l.entries[min(int(from), len(l.entries)):]...), ident.Offset(len(l.entries)), nil
}

func (l *fakeLog) AppendAt(_ context.Context, _ logservice.Stream, at ident.Offset, entries ...logservice.KeyedEntry) error {
	l.sleepLatency()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.down {
		return logservice.Unavailable(errReplyLost)
	}
	apply := func() bool {
		if at != ident.Offset(len(l.entries)) {
			return false
		}
		for i, e := range entries {
			e.Offset = at + ident.Offset(i)
			l.entries = append(l.entries, e)
		}
		return true
	}
	switch {
	case l.chance(0.1): // the request is lost
		return logservice.Unavailable(errReplyLost)
	case l.chance(0.15): // the append takes effect, the reply is lost
		apply()
		return logservice.Unavailable(errReplyLost)
	case l.chance(0.1): // the append is delayed; its condition is checked then
		l.delayed = append(l.delayed, func() { apply() })
		return logservice.Unavailable(errReplyLost)
	}
	if !apply() {
		return logservice.ErrMoved
	}
	if l.chance(0.02) { // the history is trimmed, the newest entries stay
		l.first = ident.Offset(len(l.entries))
	}
	return nil
}

// sleepLatency sleeps for the latency of a call.
func (l *fakeLog) sleepLatency() {
	l.mu.Lock()
	latency := l.latency
	l.mu.Unlock()
	time.Sleep(latency)
}

func (l *fakeLog) setLatency(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = latency
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// applyDelayed applies some of the delayed appends and drops the others.
func (l *fakeLog) applyDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, apply := range l.delayed {
		if l.chance(0.5) {
			apply()
		}
	}
	l.delayed = nil
}
