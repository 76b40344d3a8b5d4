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

// fakeLog is keyed streams in memory with injectable faults.
type fakeLog struct {
	mu         sync.Mutex
	era        logservice.Era // zero: the log has no eras
	streams    map[logservice.Stream]*fakeStream
	delayed    []func()      // appends without a reply that may take effect later
	faults     *rand.Rand    // nil: no faults
	down       bool          // all calls fail
	appends    int           // to the streams of the ledger
	reads      int           // of the streams of the ledger
	latency    time.Duration // of each call
	appendTime time.Duration // that an append occupies its stream, also if its condition fails
}

// fakeStream is one keyed stream.
type fakeStream struct {
	entries   []logservice.KeyedEntry
	first     ident.Offset // older ones are trimmed
	busyUntil time.Time    // when the appends that wait are done
}

// maxAppendQueue is for how long appends may wait before further ones are refused.
const maxAppendQueue = 2 * time.Second

// stream returns a stream and creates it on first use. The lock is held.
func (l *fakeLog) stream(name logservice.Stream) *fakeStream {
	if l.streams == nil {
		l.streams = map[logservice.Stream]*fakeStream{}
	}
	if l.streams[name] == nil {
		l.streams[name] = &fakeStream{}
	}
	return l.streams[name]
}

// callCounts returns how many calls went to the streams of the ledger.
func (l *fakeLog) callCounts() (appends, reads int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

var errReplyLost = errors.New("reply is lost")

func (l *fakeLog) chance(share float64) bool {
	return l.faults != nil && l.faults.Float64() < share
}

func (l *fakeLog) NewestPage(_ context.Context, name logservice.Stream, _ string) (logservice.NewestPage, error) {
	l.sleepLatency()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.chance(0.1) {
		return logservice.NewestPage{}, logservice.Unavailable(errReplyLost)
	}
	s := l.stream(name)
	newest := map[string]logservice.KeyedEntry{}
	for _, e := range s.entries {
		newest[e.Key] = e
	}
	var list []logservice.KeyedEntry
	for _, e := range newest {
		list = append(list, e)
	}
	return logservice.NewestPage{Entries: list, End: logservice.Position{Era: l.era, Offset: ident.Offset(len(s.entries))}}, nil
}

func (l *fakeLog) ReadKeyed(_ context.Context, name logservice.Stream, from logservice.Position, _ time.Duration) (logservice.KeyedPage, error) {
	l.sleepLatency()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down || l.chance(0.1) {
		return logservice.KeyedPage{}, logservice.Unavailable(errReplyLost)
	}
	s := l.stream(name)
	if from.Era != 0 && from.Era != l.era {
		return logservice.KeyedPage{}, logservice.ErrRestored
	}
	if from.Offset < s.first || int(from.Offset) > len(s.entries) {
		return logservice.KeyedPage{}, logservice.ErrTrimmed
	}
	found := append([]logservice.KeyedEntry(nil), s.entries[from.Offset:]...)
	return logservice.KeyedPage{Entries: found, Next: logservice.Position{Era: l.era, Offset: from.Offset}.After(len(found))}, nil
}

// AppendAt implements Log.
func (l *fakeLog) AppendAt(ctx context.Context, name logservice.Stream, at logservice.Position, entries ...logservice.KeyedEntry) error {
	l.sleepLatency()
	if err := l.queueAppend(ctx, name); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return logservice.Unavailable(errReplyLost)
	}
	s := l.stream(name)
	apply := func() bool {
		if at.Offset != ident.Offset(len(s.entries)) {
			return false
		}
		for i, e := range entries {
			e.Offset = at.Offset + ident.Offset(i)
			s.entries = append(s.entries, e)
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
	applied := apply()
	if at.Era != 0 && at.Era != l.era {
		return logservice.ErrRestored
	}
	if !applied {
		return logservice.ErrMoved
	}
	if l.chance(0.02) { // the history is trimmed, the newest entries stay
		s.first = ident.Offset(len(s.entries))
	}
	return nil
}

// queueAppend waits for the appends before this one.
func (l *fakeLog) queueAppend(ctx context.Context, name logservice.Stream) error {
	l.mu.Lock()
	l.appends++
	s := l.stream(name)
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	wait := s.busyUntil.Sub(now) + l.appendTime
	if wait > maxAppendQueue {
		l.mu.Unlock()
		return logservice.Unavailable(errors.New("too many appends wait"))
	}
	s.busyUntil = now.Add(wait)
	l.mu.Unlock()
	if wait > 0 && !sleepOrWake(ctx, wait, nil) { // a timer of no time upsets the race detector within a bubble
		return logservice.Unavailable(ctx.Err())
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

// copyStreams returns the number of entries of each stream, to restore the log from.
func (l *fakeLog) copyStreams() map[logservice.Stream]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	lengths := map[logservice.Stream]int{}
	for name, s := range l.streams {
		lengths[name] = len(s.entries)
	}
	return lengths
}

// restore goes back to an older copy, in a new era.
func (l *fakeLog) restore(lengths map[logservice.Stream]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era++
	for name, s := range l.streams {
		s.entries = s.entries[:lengths[name]:lengths[name]]
		s.first = min(s.first, ident.Offset(lengths[name]))
	}
}
