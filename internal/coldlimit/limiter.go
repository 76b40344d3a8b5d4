// Package coldlimit limits the requests to backend servers that are cold. All routers
// together send a cold server no more than its rate, without exchanging messages: the
// rate is divided into slots, rendezvous hashing assigns each slot to one router, and a
// slot admits one request in slightly more than a second.
//
// Routers may know different sets of routers. A router uses a slot only if it has known
// for settleTime that the slot is its own, and gives it up as soon as it learns of a
// router that comes before it. Since it uses slots only while its list of routers is at
// most freshTime old, which is less, no two routers use one slot. What is allowed
// beyond the rate is divided among the exceptions, which use different slots each:
// routers that have lost the log, and routers that start while all servers are cold.
package coldlimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/membership"
)

const (
	// slotMargin is the time between two requests of a slot, as a multiple of a second
	// at a rate of one. It allows for differences in the time that requests need to arrive.
	slotMargin = 1.05
	// freshTime is how old the list of routers may be for a router to use all its slots.
	// Routers read it every 3 s at most.
	freshTime = 3500 * time.Millisecond
	// settleTime is how long a router must have owned a slot before it uses it. The
	// difference to freshTime covers the time from the choice of a server to the send.
	settleTime = 5 * time.Second
	// staleTime is how long a router that has lost the log uses some of its slots, and
	// how long it must have owned them. Because the two are equal, a router that takes
	// such a slot over cannot use it as an exception while the previous one still does.
	staleTime = time.Minute
	// maxHold is how long after the choice of a server a request may still be sent.
	maxHold = time.Second
)

// Options describes the fleet.
type Options struct {
	Self      string           // name of this router
	Overage   float64          // factor on the rate of a cold server that is allowed in any second
	Tolerance float64          // requests in any second that are allowed beyond that
	SyncedAt  func() time.Time // time up to which the list of routers is known
	Now       func() time.Time
}

// Limiter limits requests to cold servers. It is safe for concurrent use.
type Limiter struct {
	options Options
	log     zerolog.Logger
	events  *counter.Set
	cold    atomic.Int64 // servers in state servers that may be cold

	mu      sync.Mutex // guards all below and the objects they point to
	rates   map[string]float64
	servers map[string]*server
	routers routerView
	stopped bool
}

// server is the state of one incarnation of a server that is or was cold.
type server struct {
	id        string
	service   string
	startedMS int64
	sequence  int64     // of the newest entry that was observed
	coldUntil time.Time // zero if it was never cold
	slots     []slot
	admitted  int64 // requests sent in this cold period

	owned ownedSlots
}

// slot admits one request at a time.
type slot struct {
	nextAt time.Time // when it admits the next request
	held   bool      // a server was chosen, but the request is not sent yet
}

// New returns a limiter for a router that knows no routers.
func New(o Options, log zerolog.Logger) *Limiter {
	return &Limiter{
		options: o,
		log:     log.With().Str("part", "coldlimit").Logger(),
		events:  counter.NewSet("coldlimit"),
		rates:   map[string]float64{},
		servers: map[string]*server{},
		routers: routerView{members: map[string]*member{}},
	}
}

// SetRates sets the requests per second that a cold server of each service accepts.
// Services that are absent, or have the rate zero, are not limited.
func (l *Limiter) SetRates(rates map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates = rates
}

// ObserveEntry records the entry of a server in the list of servers, which says for how
// long the server is still cold. An entry that is read again is ignored.
func (l *Limiter) ObserveEntry(s membership.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.ColdPeriod <= 0 && l.servers[s.ID] == nil {
		return
	}
	state := l.state(s)
	if state == nil || s.Sequence <= state.sequence {
		return
	}
	state.sequence = s.Sequence
	l.extend(state, s, s.ColdPeriod)
}

// Observe records that a server is cold for a time from now. It never shortens a cold
// period.
func (l *Limiter) Observe(s membership.Server, coldFor time.Duration) {
	if coldFor <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if state := l.state(s); state != nil {
		l.extend(state, s, coldFor)
	}
}

// state returns the state of an incarnation, creating it if needed, and nil if a later
// one is known. The lock is held.
func (l *Limiter) state(s membership.Server) *server {
	state := l.servers[s.ID]
	switch {
	case state != nil && state.startedMS > s.StartedMS:
		return nil
	case state == nil || state.startedMS < s.StartedMS:
		state = &server{id: s.ID, service: s.Service, startedMS: s.StartedMS, sequence: math.MinInt64}
		l.servers[s.ID] = state
		l.cold.Store(int64(len(l.servers)))
	}
	return state
}

// extend extends the cold period of a server. The lock is held.
func (l *Limiter) extend(state *server, s membership.Server, coldFor time.Duration) {
	now := l.options.Now()
	until := now.Add(coldFor)
	if coldFor <= 0 || !until.After(state.coldUntil) {
		return
	}
	begins := !now.Before(state.coldUntil)
	state.coldUntil = until
	if !begins {
		return
	}
	state.admitted = 0
	l.events.Inc("cold_began")
	l.log.Info().Str("server", s.ID).Str("service", s.Service).Int64("born", s.StartedMS).Dur("for", coldFor).
		Float64("rate", l.rates[s.Service]).Msg("backend server is cold")
}

// AnyCold reports whether a server may be cold. It takes no lock.
func (l *Limiter) AnyCold() bool { return l.cold.Load() > 0 }

// IsCold reports whether requests to a server are limited now.
func (l *Limiter) IsCold(s *membership.Server, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coldState(s, now) != nil
}

// coldState returns the state of a server whose requests are limited now, nil for others.
// The lock is held.
func (l *Limiter) coldState(s *membership.Server, now time.Time) *server {
	state := l.servers[s.ID]
	if state == nil || state.startedMS != s.StartedMS || !now.Before(state.coldUntil) || l.rates[s.Service] <= 0 {
		return nil
	}
	return state
}

// Reservation is the right to send one request to a cold server. It must be confirmed or
// released.
type Reservation struct {
	limiter *Limiter
	server  *server
	slot    *slot
	at      time.Time
	period  time.Duration
}

// Reserve reserves a request to a server if it is cold, and reports whether a request may
// be sent. The reservation is nil for a server whose requests are not limited. lastResort
// says that no warm server can take the request.
func (l *Limiter) Reserve(s *membership.Server, now time.Time, lastResort bool) (*Reservation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.coldState(s, now)
	if state == nil {
		return nil, true
	}
	d := division(l.rates[s.Service], l.options.Overage, l.options.Tolerance)
	if len(state.slots) != d.slots {
		state.slots = make([]slot, d.slots)
		state.owned = ownedSlots{}
	}
	for _, i := range l.usableSlots(state, d, now, lastResort) {
		if slot := &state.slots[i]; !slot.held && !now.Before(slot.nextAt) {
			slot.held = true
			return &Reservation{limiter: l, server: state, slot: slot, at: now, period: d.period}, true
		}
	}
	l.events.Inc("denied")
	return nil, false
}

// Allow reports whether a request may be sent to a server now, and counts it as sent.
func (l *Limiter) Allow(s *membership.Server, now time.Time) bool {
	r, ok := l.Reserve(s, now, false)
	return ok && (r == nil || r.Confirm(now))
}

// Confirm records that the request is sent now. It returns false if too much time has
// passed, so that the request must not be sent.
func (r *Reservation) Confirm(now time.Time) bool {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.slot == nil {
		return false
	}
	r.slot.held = false
	if now.Sub(r.at) > maxHold {
		r.slot = nil
		l.events.Inc("held_too_long")
		return false
	}
	r.slot.nextAt = now.Add(r.period)
	r.slot = nil
	r.server.admitted++
	l.events.Inc("admitted")
	return true
}

// Release returns a reservation that was not confirmed. It does nothing after Confirm.
func (r *Reservation) Release() {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	if r.slot != nil {
		r.slot.held = false
		r.slot = nil
	}
}

// Stop ends the use of all slots, before this router is removed from the list of routers.
func (l *Limiter) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
}

// Expire drops the servers whose cold period is over. It must be called periodically.
func (l *Limiter) Expire() {
	if !l.AnyCold() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	for id, state := range l.servers {
		if now.Before(state.coldUntil) {
			continue
		}
		if !state.coldUntil.IsZero() {
			l.log.Info().Str("server", id).Str("service", state.service).Int64("sent", state.admitted).
				Msg("cold period of a backend server is over")
		}
		delete(l.servers, id)
	}
	l.cold.Store(int64(len(l.servers)))
}
