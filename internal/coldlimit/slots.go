package coldlimit

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/camphorlever/camphorlever/internal/rendezvous"
)

// shares is how the rate of a cold server is divided into slots.
type shares struct {
	slots  int
	period time.Duration // between two requests of a slot
	// stale slots, the first ones, may be used by a router that has lost the log, and
	// the starting ones after them by a router that starts while all servers are cold.
	// Both come on top of the regular use of the same slots by another router.
	stale, starting int
}

// division divides a rate. Regular use, stale use and use at the start together stay
// below rate x overage + tolerance requests in any second.
func division(rate, overage, tolerance float64) shares {
	slots := max(int(rate), 1)
	spare := max(int(math.Ceil(rate*overage+tolerance))-1-slots, 0)
	stale := min(spare/2, (slots+1)/2)
	return shares{
		slots:    slots,
		period:   time.Duration(slotMargin * float64(slots) / rate * float64(time.Second)),
		stale:    stale,
		starting: min(spare-stale, slots-stale),
	}
}

// routerView is the set of routers that this router knows.
type routerView struct {
	loadedAt  time.Time // zero until the list was read
	selfFirst bool      // this router was on the list when it was first read
	version   int64
	members   map[string]*member
}

// member is a router on the list, or one that was on it lately.
type member struct {
	addedAt   time.Time
	removedAt time.Time // zero if it is on the list
}

// ResetRouters replaces the list of routers.
func (l *Limiter) ResetRouters(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	for name := range l.routers.members {
		if !slices.Contains(names, name) {
			l.routers.set(name, false, now)
		}
	}
	for _, name := range names {
		l.routers.set(name, true, now)
	}
	if l.routers.loadedAt.IsZero() {
		l.routers.loadedAt = now
		l.routers.selfFirst = slices.Contains(names, l.options.Self)
	}
}

// SetRouter records that a router is on the list, or no longer is.
func (l *Limiter) SetRouter(name string, listed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routers.set(name, listed, l.options.Now())
}

func (v *routerView) set(name string, listed bool, now time.Time) {
	m := v.members[name]
	isListed := m != nil && m.removedAt.IsZero()
	if listed == isListed {
		return
	}
	v.version++
	if listed {
		v.members[name] = &member{addedAt: now}
		return
	}
	m.removedAt = now
	for name, m := range v.members {
		if !m.removedAt.IsZero() && now.Sub(m.removedAt) > 2*staleTime {
			delete(v.members, name)
		}
	}
}

// contenders returns the routers that were on the list at or after a time, and how long
// that holds if nobody else leaves or comes.
func (v *routerView) contenders(since time.Time) (names []string, validity time.Duration) {
	names, validity = make([]string, 0, len(v.members)), ownedValidity
	for name, m := range v.members {
		if m.removedAt.IsZero() || m.removedAt.After(since) {
			names = append(names, name)
			if !m.removedAt.IsZero() {
				validity = leftValidity
			}
		}
	}
	return names, validity
}

// mode is by which rule a router uses slots.
type mode uint8

const (
	modeNone mode = iota
	modeRegular
	modeStarting
	modeStale
)

// ownedSlots are the slots of a server that a router may use by one rule. They are kept
// until the list of routers changes, or validUntil.
type ownedSlots struct {
	mode       mode
	version    int64
	validUntil time.Time
	slots      []int
}

// Slots that are gained only by the passage of time, after a router has left, are used up
// to leftValidity late. Without such routers the owned slots are kept for ownedValidity.
const (
	leftValidity  = time.Second
	ownedValidity = time.Minute
)

// usableSlots returns the slots of a server that this router may use now. The lock is
// held.
func (l *Limiter) usableSlots(s *server, d shares, now time.Time, lastResort bool) []int {
	m := l.mode(now, lastResort)
	if s.owned.mode == m && s.owned.version == l.routers.version && now.Before(s.owned.validUntil) {
		return s.owned.slots
	}
	slots, validity := l.ownedSlots(s, d, now, m)
	s.owned = ownedSlots{mode: m, version: l.routers.version, validUntil: now.Add(validity), slots: slots}
	return s.owned.slots
}

// mode returns the rule by which this router uses slots now. The lock is held.
func (l *Limiter) mode(now time.Time, lastResort bool) mode {
	self := l.routers.members[l.options.Self]
	if l.stopped || self == nil || !self.removedAt.IsZero() {
		return modeNone
	}
	syncedAt := l.options.SyncedAt()
	switch age := now.Sub(syncedAt); {
	case age > staleTime:
		return modeNone
	case age > freshTime:
		if syncedAt.Sub(self.addedAt) < staleTime {
			return modeNone
		}
		return modeStale
	case now.Sub(self.addedAt) >= settleTime:
		return modeRegular
	case lastResort && l.routers.selfFirst && self.addedAt.Equal(l.routers.loadedAt):
		return modeStarting
	default:
		return modeNone
	}
}

// ownedSlots returns the slots that this router may use by a rule, and how long that
// holds. The lock is held.
func (l *Limiter) ownedSlots(s *server, d shares, now time.Time, m mode) (owned []int, validity time.Duration) {
	var first, end int
	var since time.Time // contenders are the routers on the list since then
	switch m {
	case modeRegular:
		end, since = d.slots, now.Add(-settleTime)
	case modeStarting:
		first, end, since = d.stale, d.stale+d.starting, now
	case modeStale:
		end, since = d.stale, l.options.SyncedAt().Add(-staleTime)
	default:
		return nil, ownedValidity
	}
	contenders, validity := l.routers.contenders(since)
	for i := first; i < end; i++ {
		seed := []byte(s.id + "/" + strconv.Itoa(i))
		if rendezvous.First(seed, contenders, 1, func(name string) string { return name })[0] == l.options.Self {
			owned = append(owned, i)
		}
	}
	return owned, validity
}
