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

// fakeLog is one keyed stream in memory whose calls fail as told.
type fakeLog struct {
	mu      sync.Mutex
	entries []logservice.KeyedEntry
	first   ident.Offset // older ones are trimmed
	late    []func()     // appends without a reply that are done later
	faults  *rand.Rand   // nil: no faults
	down    bool         // calls fail
	appends int
	reads   int
	takes   time.Duration // a call
}

var errLost = errors.New("reply is lost")

func (l *fakeLog) roll(share float64) bool {
	return l.faults != nil && l.faults.Float64() < share
}

func (l *fakeLog) NewestPage(context.Context, logservice.Stream, string) (logservice.NewestPage, error) {
	l.work()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.roll(0.1) {
		return logservice.NewestPage{}, logservice.Unavailable(errLost)
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
	l.work()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down || l.roll(0.1) {
		return nil, 0, logservice.Unavailable(errLost)
	}
	if from < l.first {
		return nil, 0, logservice.ErrTrimmed
	}
	return append([]logservice.KeyedEntry(nil), l.entries[min(int(from), len(l.entries)):]...), ident.Offset(len(l.entries)), nil
}

func (l *fakeLog) AppendAt(_ context.Context, _ logservice.Stream, at ident.Offset, entries ...logservice.KeyedEntry) error {
	l.work()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.down {
		return logservice.Unavailable(errLost)
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
	case l.roll(0.1): // lost on the way
		return logservice.Unavailable(errLost)
	case l.roll(0.15): // done, the reply is lost
		apply()
		return logservice.Unavailable(errLost)
	case l.roll(0.1): // done later, if its condition still holds
		l.late = append(l.late, func() { apply() })
		return logservice.Unavailable(errLost)
	}
	if !apply() {
		return logservice.ErrMoved
	}
	if l.roll(0.02) { // the history goes, the newest entries stay
		l.first = ident.Offset(len(l.entries))
	}
	return nil
}

// work takes as long as a call does.
func (l *fakeLog) work() {
	l.mu.Lock()
	takes := l.takes
	l.mu.Unlock()
	time.Sleep(takes)
}

func (l *fakeLog) setTakes(takes time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takes = takes
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// catchUp does appends that were not answered.
func (l *fakeLog) catchUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, apply := range l.late {
		if l.roll(0.5) {
			apply()
		}
	}
	l.late = nil
}
