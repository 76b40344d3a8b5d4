package quarantine

import (
	"slices"
	"time"

	"github.com/camphorlever/camphorlever/internal/membership"
)

// Attempt is a request in flight to one server. Its methods may be called on nil,
// which stands for a request without prompt parts.
type Attempt struct {
	tracker  *Tracker
	server   membership.Server
	parts    []string
	change   uint64   // last change of any evidence that was known when the request was sent
	previous *Attempt // of the same request
	cancel   func()

	// The tracker's lock guards all below.
	unframed  bool       // the answer ended with its connection
	trials    []*suspect // parts in quarantine that the request tries
	begun     bool       // the server has begun to answer
	answered  bool
	cancelled bool // because of the quarantine
	brokenAt  time.Time
	unproven  []string       // parts without a recent answer when the attempt broke
	crashes   map[string]int // depth of the crash that ended the attempt, by part
}

// Start registers a request that is about to be sent to a server, after an earlier
// attempt of the same request or nil. It returns false if the request is withheld.
// cancel is called if the request must not go on; it must not block.
func (t *Tracker) Start(server membership.Server, parts []string, previous *Attempt, cancel func()) (*Attempt, Verdict) {
	if len(parts) == 0 {
		return nil, Verdict{}
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict, trials := t.judge(parts, now)
	if verdict.Blocked {
		return nil, verdict
	}
	a := &Attempt{tracker: t, server: server, parts: parts, change: t.change, previous: previous, cancel: cancel, trials: trials}
	lines := lineLimit{}
	for _, s := range trials {
		s.trial = a
		if !lines.allow() {
			continue
		}
		t.log.Info().Str("prompt_part", s.evidence.Part).Str("server", server.ID).Msg("prompt part in quarantine is tried again")
	}
	t.inFlight[a] = struct{}{}
	return a, Verdict{}
}

// Began records that the server has begun to answer. It may still crash on the request, but
// the request is not cancelled any more.
func (a *Attempt) Began() {
	if a == nil {
		return
	}
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.begun = true
}

// Answered records that the server has written so much of an answer that the request
// did not crash it. That voids what was known against its parts when it was sent.
func (a *Attempt) Answered() {
	if a == nil {
		return
	}
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.tracker.recordAnswer(a, time.Now())
}

// recordAnswer is Answered for a caller that holds the lock.
func (t *Tracker) recordAnswer(a *Attempt, now time.Time) {
	if a.answered {
		return
	}
	a.answered = true
	for _, part := range a.parts[max(len(a.parts)-maxNewProven, 0):] {
		t.prove(part, now)
	}
	if len(t.suspects) == 0 {
		return
	}
	lines := lineLimit{}
	for _, part := range a.parts {
		s := t.suspects[part]
		if s != nil && len(s.evidence.Crashes) > 0 && a.change >= s.learned {
			t.clearPart(s, &lines, now)
		}
	}
}

// Broke ends an attempt whose connection failed or stayed silent. If no answer had
// begun, it counts against the request's parts once the crash of the server is
// confirmed. With probe, the server is probed for that.
func (a *Attempt) Broke(probe bool) {
	if a != nil {
		a.await(probe, maxPending)
	}
}

// Left ends an attempt whose caller has left. The server may be sound, or have crashed: if
// its crash is confirmed before it responds to a later request, the attempt counts like one
// that broke.
func (a *Attempt) Left() {
	if a != nil {
		a.await(false, maxLeft)
	}
}

// EndedWithConnection ends an attempt whose answer had neither a length nor chunks. It was
// whole, or the server has crashed: if its crash is confirmed, the attempt counts like one
// that broke. It counts as answered if the server responds to a later request before, or
// within unframedPeriod nothing tells of a crash.
func (a *Attempt) EndedWithConnection() {
	if a == nil {
		return
	}
	a.tracker.mu.Lock()
	a.unframed = true
	a.tracker.mu.Unlock()
	a.await(true, maxLeft)
}

// await keeps an attempt until it is known whether its server has crashed, if it leaves no
// more than limit parts waiting.
func (a *Attempt) await(probe bool, limit int) {
	t, now := a.tracker, time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, a)
	if a.answered || a.cancelled {
		t.endTrials(a)
		return
	}
	a.unproven = slices.DeleteFunc(slices.Clone(a.parts), func(part string) bool { return t.isProven(part, now) })
	if t.waiting+len(a.unproven) > limit {
		t.events.Inc("no_room_pending")
		t.endTrials(a)
		return
	}
	a.brokenAt = now
	t.waiting += len(a.unproven)
	key := incarnationOf(a.server)
	if probe && !t.probed[key] {
		t.probed[key] = true
		t.probes = append(t.probes, a.server)
		t.notify()
	}
	t.pending[key] = append(t.pending[key], a)
}

// End ends an attempt that tells nothing about its parts.
func (a *Attempt) End() {
	if a == nil {
		return
	}
	t := a.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, a)
	if a.brokenAt.IsZero() {
		t.endTrials(a)
	}
}

// endTrials allows other trials of the parts that the attempt tried. The caller holds the
// lock.
func (t *Tracker) endTrials(a *Attempt) {
	for _, s := range a.trials {
		if s.trial == a {
			s.trial = nil
		}
	}
}

// ServerCrashed records that an incarnation of a server has ended without a planned
// stop. What it had not begun to answer counts against the parts of these requests.
func (t *Tracker) ServerCrashed(server membership.Server) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	key := incarnationOf(server)
	attempts := t.pending[key]
	t.forgetPending(key)
	changed, lines := map[string]*suspect{}, crashLines{}
	for _, a := range attempts {
		t.waiting -= len(a.unproven)
		for _, part := range a.unproven {
			depth := t.depthKnown(a, part) + 1
			if s, ok := t.accuse(part, Crash{Server: server.ID, StartedMS: server.StartedMS, Depth: depth}, &lines, now); ok {
				changed[part] = s
			}
			a.setCrashDepth(part, depth)
		}
		t.endTrials(a)
	}
	decisions := lineLimit{}
	for _, s := range changed {
		t.decide(s, &decisions, now)
		t.share(s, 0)
	}
	t.cancelBlocked(now)
}

// accuse adds a crash to the evidence against a part and reports whether it is new. The
// caller holds the lock.
func (t *Tracker) accuse(part string, crash Crash, lines *crashLines, now time.Time) (*suspect, bool) {
	s := t.suspect(part, now)
	if s == nil {
		return nil, false
	}
	first := len(s.evidence.Crashes) == 0
	if !s.evidence.add(crash) {
		return s, false
	}
	t.recordChange(s, first, now)
	t.events.Inc("crash_counted")
	if lines.allow(crash) {
		t.log.Info().Str("prompt_part", part).Str("server", crash.Server).Int("depth", crash.Depth).
			Int("crashes", len(s.evidence.Crashes)).Msg("server crashed before it answered a request with the prompt part")
	}
	return s, true
}

// depthKnown returns the depth of the crashes of a part that were known when a request
// was sent. The caller holds the lock.
func (t *Tracker) depthKnown(a *Attempt, part string) int {
	known := 0
	if s := t.suspects[part]; s != nil && len(s.evidence.Crashes) > 0 && a.change >= s.learned {
		known = s.evidence.depth()
		if a.change < s.changed { // some became known later
			known = max(known-1, 1)
		}
	}
	if a.previous != nil {
		known = max(known, a.previous.crashes[part])
	}
	return known
}

func (a *Attempt) setCrashDepth(part string, depth int) {
	if a.crashes == nil {
		a.crashes = map[string]int{}
	}
	a.crashes[part] = depth
}

// ServerAlive records that an incarnation of a server responded to a request that was sent
// at a time: attempts that ended before ended for another reason than a crash.
func (t *Tracker) ServerAlive(server membership.Server, sentAt time.Time) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	key := incarnationOf(server)
	if len(t.pending[key]) == 0 {
		return
	}
	t.keepPending(key, func(a *Attempt) bool {
		if !a.brokenAt.Before(sentAt) {
			return true
		}
		if a.unframed {
			t.recordAnswer(a, now)
		}
		return false
	})
}

// expirePending drops the attempts for which there was no sign of a crash in time. The caller
// holds the lock.
func (t *Tracker) expirePending(now time.Time) {
	for key := range t.pending {
		t.keepPending(key, func(a *Attempt) bool {
			if a.unframed && now.Sub(a.brokenAt) >= unframedPeriod {
				t.recordAnswer(a, now)
				return false
			}
			return now.Sub(a.brokenAt) < unconfirmedPeriod
		})
	}
}

// keepPending drops the pending attempts at a server for which keep returns false. The
// caller holds the lock.
func (t *Tracker) keepPending(key incarnation, keep func(*Attempt) bool) {
	kept := slices.DeleteFunc(t.pending[key], func(a *Attempt) bool {
		if keep(a) {
			return false
		}
		t.waiting -= len(a.unproven)
		t.endTrials(a)
		return true
	})
	if len(kept) == 0 {
		t.forgetPending(key)
		return
	}
	t.pending[key] = kept
}

// forgetPending removes what is kept of attempts at a server. The caller holds the lock.
func (t *Tracker) forgetPending(key incarnation) {
	delete(t.pending, key)
	delete(t.probed, key)
}
