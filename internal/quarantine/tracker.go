// Package quarantine withholds requests whose prompts have a part that crashes
// backend servers. Such a part is told from the others by what the routers see: it
// is in a request that had no answer yet at each of several crashes, one after
// another, and no request with it is ever answered. The routers share what they see,
// so that the part is found though each of them sees few of the crashes.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/membership"
)

// Parameters of the decision.
const (
	// quarantineDepth is how many crashes, each caused by a request that was sent
	// after the one before was known, put a part into quarantine.
	quarantineDepth = 2
	// provenPeriod is how long an answer to a request proves that its parts do not
	// crash servers.
	provenPeriod = 2 * time.Second
	// familiarPeriod is how long after an answer to a request with it a part counts as
	// familiar: it takes familiarCrashes more to put it into quarantine, and for a long
	// one. Its requests may rather have been lost to servers that crash by themselves.
	familiarPeriod  = 30 * time.Second
	familiarCrashes = 1
	// firstQuarantine is how long a part is withheld after two crashes. The parts of
	// a sound request may be lost twice by chance. The end of a quarantine is random
	// between its period and twice that, so that one router tries the part again
	// before the others. A trial costs one server whenever it is made.
	firstQuarantine = 3 * time.Second
	// longQuarantine is how long it is withheld after more crashes.
	longQuarantine = 10 * time.Minute
	// certainCrashes is from how many crashes on the quarantine is long.
	certainCrashes = 3
	// suspicionPeriod is how long a crash counts against a part that is not in
	// quarantine.
	suspicionPeriod = time.Minute
	// clearedPeriod is how long the epoch of a cleared part is remembered of which the
	// log has an entry, so that evidence which is still on its way is not taken for new.
	clearedPeriod = 10 * time.Minute
	// unconfirmedPeriod is how long a broken attempt waits for a sign that its
	// server has crashed.
	unconfirmedPeriod = 10 * time.Second
	// unframedPeriod is after what time without a sign of a crash an answer that ended
	// with its connection counts as whole. The list of servers shows crashes sooner.
	unframedPeriod = 5 * time.Second
	// trialRetryAfter is the Retry-After of a request that has to wait for the end
	// of a trial.
	trialRetryAfter = time.Second
)

// Limits on memory.
const (
	maxPartID    = 71             // bytes, the length of a hashed ID
	maxSuspects  = 8192           // parts with evidence
	maxProven    = 8192           // parts whose last answer is remembered
	maxNewProven = 1024           // of one answer
	maxPending   = 1 << 16        // parts of broken attempts that wait for a sign of a crash
	maxLeft      = maxPending / 2 // up to which callers that left may fill that
	hashedPrefix = "sha256:"

	// evictedShare is the share of the suspects that give way when there is no room.
	evictedShare = 1.0 / 8
	// maxLines limits the log lines on the parts of one event, such as a crash.
	maxLines = 16
)

// Tracker decides which requests are withheld. It is safe for concurrent use.
type Tracker struct {
	log    zerolog.Logger
	events *counter.Set

	// Each has a value if its task may have something to do.
	wakeGossip chan struct{}
	wakeWriter chan struct{}
	wakeProber chan struct{}

	mu          sync.Mutex // guards all below and the objects they point to
	change      uint64     // number of changes of evidence so far
	suspects    map[string]*suspect
	grouped     bool     // quarantined and groups are up to date
	quarantined int      // number of suspects in quarantine
	groups      []*group // of the suspects with more than one crash
	proven      *simplelru.LRU[string, time.Time]
	inFlight    map[*Attempt]struct{}
	unchecked   bool                       // a part came into quarantine since cancelBlocked
	pending     map[incarnation][]*Attempt // broken without an answer
	waiting     int                        // number of parts of these
	probed      map[incarnation]bool       // servers that were probed since the first of these
	probes      []membership.Server        // servers to probe
	gossip      map[string]struct{}        // parts whose evidence is sent to other routers
	refuted     map[string]struct{}        // the same, for which there is time
	unwritten   map[string]time.Time       // parts whose evidence is written to the log from a time on
}

// suspect is a part with evidence, or one that was cleared recently.
type suspect struct {
	evidence  Evidence
	changedAt time.Time // of the evidence
	changed   uint64    // number of the last change of the evidence
	learned   uint64    // number of the change that brought the first crash of the epoch
	logged    bool      // the log has an entry of the part
	releaseAt time.Time // when the part is tried again; zero if it is not in quarantine
	trial     *Attempt  // in progress; nil if none is
	group     *group    // nil if it has less than two crashes
}

// isQuarantined reports whether requests with the part are withheld.
func (s *suspect) isQuarantined() bool { return !s.releaseAt.IsZero() }

// incarnation identifies one incarnation of a server.
type incarnation struct {
	server    string
	startedMS int64
}

func incarnationOf(s membership.Server) incarnation {
	return incarnation{server: s.ID, startedMS: s.StartedMS}
}

// New returns a tracker without evidence.
func New(log zerolog.Logger) *Tracker {
	proven, err := simplelru.NewLRU[string, time.Time](maxProven, nil)
	if err != nil {
		panic(err) // only if the size is not positive
	}
	return &Tracker{
		log:       log.With().Str("part", "quarantine").Logger(),
		events:    counter.NewSet("quarantine"),
		suspects:  map[string]*suspect{},
		proven:    proven,
		inFlight:  map[*Attempt]struct{}{},
		pending:   map[incarnation][]*Attempt{},
		probed:    map[incarnation]bool{},
		gossip:    map[string]struct{}{},
		refuted:   map[string]struct{}{},
		unwritten: map[string]time.Time{},

		wakeGossip: make(chan struct{}, 1),
		wakeWriter: make(chan struct{}, 1),
		wakeProber: make(chan struct{}, 1),
	}
}

// Parts returns the names under which the tracker knows the parts of a prompt, given their
// IDs. Long IDs are replaced by a hash. Every part counts, wherever it stands, also the last
// one: a caller may repeat a whole prompt.
func Parts(ids []string) []string {
	parts := slices.Clone(ids)
	for i, id := range parts {
		if len(id) > maxPartID {
			sum := sha256.Sum256([]byte(id))
			parts[i] = hashedPrefix + hex.EncodeToString(sum[:])
		}
	}
	return parts
}

// Merge adds evidence from another router.
func (t *Tracker) Merge(evidence ...Evidence) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := lineLimit{}
	for _, e := range evidence {
		if err := e.check(); err != nil {
			t.events.Inc("malformed")
			t.log.Warn().Err(err).Msg("evidence of another router cannot be used")
			continue
		}
		s, changed := t.merge(e, &lines, now)
		switch {
		case changed && len(s.evidence.Crashes) == 0 && !s.logged:
			t.shareRefuted(s)
		case changed:
			t.share(s, randomRelayDelay())
		case s != nil && e.Epoch < s.evidence.Epoch:
			t.gossip[e.Part] = struct{}{} // the sender does not know that the part was cleared
			t.notify()
		}
	}
	t.cancelBlocked(now)
}

// merge adds evidence and reports whether any was new. It returns nil if the part has
// none and there is no room. The caller holds the lock.
func (t *Tracker) merge(e Evidence, lines *lineLimit, now time.Time) (s *suspect, changed bool) {
	s = t.suspect(e.Part, now)
	if s == nil {
		return nil, false
	}
	epoch, first := s.evidence.Epoch, len(s.evidence.Crashes) == 0
	if !s.evidence.merge(e) {
		return s, false
	}
	if s.evidence.Epoch != epoch {
		first = true
		t.release(s, lines)
	}
	t.recordChange(s, first, now)
	t.decide(s, lines, now)
	return s, true
}

// suspect returns the state of a part, and creates it if there is room. The caller holds
// the lock.
func (t *Tracker) suspect(part string, now time.Time) *suspect {
	s := t.suspects[part]
	if s == nil {
		if len(t.suspects) >= maxSuspects && !t.evict() {
			t.events.Inc("no_room")
			return nil
		}
		part = strings.Clone(part) // it may be a piece of a caller's header
		s = &suspect{evidence: Evidence{Part: part}, changedAt: now}
		t.suspects[part] = s
	}
	return s
}

// evict drops the suspects whose evidence is the oldest, but for those in quarantine or in
// the log. It reports whether there is room. The caller holds the lock.
func (t *Tracker) evict() bool {
	var candidates []*suspect
	for _, s := range t.suspects {
		if !s.isQuarantined() && !s.logged {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, func(a, b *suspect) int { return cmp.Compare(a.changed, b.changed) })
	for _, s := range candidates[:min(len(candidates), int(evictedShare*maxSuspects))] {
		delete(t.suspects, s.evidence.Part)
		t.events.Inc("evicted")
	}
	t.grouped = false
	return len(candidates) > 0
}

// recordChange records that evidence changed, by the first crash of its epoch or another.
// The caller holds the lock.
func (t *Tracker) recordChange(s *suspect, first bool, now time.Time) {
	t.change++
	s.changedAt, s.changed = now, t.change
	t.grouped = false
	if first {
		s.learned = t.change
	}
}

// release ends the quarantine of a part in favour of a new epoch. The caller holds the
// lock.
func (t *Tracker) release(s *suspect, lines *lineLimit) {
	if s.isQuarantined() {
		t.events.Inc("cleared")
		if lines.allow() {
			t.log.Info().Str("prompt_part", s.evidence.Part).Msg("prompt part is cleared, requests with it are served again")
		}
	}
	s.releaseAt, s.trial, t.grouped = time.Time{}, nil, false
}

// clearPart voids the evidence against a part, at all routers. The caller holds the lock.
func (t *Tracker) clearPart(s *suspect, lines *lineLimit, now time.Time) {
	s.evidence.Epoch++
	s.evidence.Crashes = nil
	withheld := s.isQuarantined()
	t.recordChange(s, true, now)
	t.release(s, lines)
	if withheld {
		t.writeLater(s.evidence.Part, 0)
		t.share(s, 0)
		return
	}
	t.shareRefuted(s)
}

// decide puts a part into quarantine, or extends its quarantine, after its evidence
// has changed. The caller holds the lock.
func (t *Tracker) decide(s *suspect, lines *lineLimit, now time.Time) {
	if s.evidence.successive() < quarantineDepth {
		return
	}
	extra := 0
	if t.wasAnswered(s.evidence.Part, familiarPeriod, now) {
		extra = familiarCrashes
	}
	if t.isProven(s.evidence.Part, now) {
		t.events.Inc("refuted")
		t.clearPart(s, lines, now)
		return
	}
	if s.evidence.successive() < quarantineDepth+extra {
		return
	}
	period := firstQuarantine
	if len(s.evidence.Crashes) >= certainCrashes+extra {
		period = longQuarantine
	}
	period += rand.N(period)
	first := !s.isQuarantined()
	s.releaseAt, t.grouped = now.Add(period), false
	if !first {
		return
	}
	t.events.Inc("quarantined")
	t.unchecked = true
	if lines.allow() {
		t.log.Warn().Str("prompt_part", s.evidence.Part).Int("crashes", len(s.evidence.Crashes)).Dur("for", period).
			Msg("prompt part crashes servers, requests with it are withheld")
	}
}

// cancelBlocked cancels, after a part came into quarantine, the requests in flight that would
// be withheld now and have no answer yet, so that servers which have not begun them survive.
// The caller holds the lock.
func (t *Tracker) cancelBlocked(now time.Time) {
	if !t.unchecked {
		return
	}
	t.unchecked = false
	for a := range t.inFlight {
		if a.begun || a.answered || a.cancelled || len(a.trials) > 0 {
			continue
		}
		if verdict, _ := t.judge(a.parts, now); verdict.Blocked {
			a.cancelled = true
			a.cancel()
			t.events.Inc("cancelled")
		}
	}
}

// prove records that a request with the part was answered. The caller holds the lock.
func (t *Tracker) prove(part string, now time.Time) {
	if !t.proven.Contains(part) {
		part = strings.Clone(part) // it may be a piece of a caller's header
	}
	t.proven.Add(part, now)
}

// isProven reports whether a request with the part was answered just now. The caller holds
// the lock.
func (t *Tracker) isProven(part string, now time.Time) bool {
	return t.wasAnswered(part, provenPeriod, now)
}

// wasAnswered reports whether a request with the part was answered in the last period. The
// caller holds the lock.
func (t *Tracker) wasAnswered(part string, period time.Duration, now time.Time) bool {
	at, ok := t.proven.Peek(part)
	return ok && now.Sub(at) <= period
}

// lineLimit limits the log lines of one event.
type lineLimit struct{ written int }

func (l *lineLimit) allow() bool {
	l.written++
	return l.written <= maxLines
}

// crashLines limits the log lines of one crash. Those on parts that may come into quarantine
// are not left out for the sake of the others.
type crashLines struct{ first, later lineLimit }

func (l *crashLines) allow(c Crash) bool {
	if c.Depth < quarantineDepth {
		return l.first.allow()
	}
	return l.later.allow()
}
