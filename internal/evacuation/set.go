// Package evacuation holds the operators' orders to evacuate data centres. While
// an order is in force no request is sent to a server of its data centre.
package evacuation

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
)

// Order is an order that is in force.
type Order struct {
	DataCentre string
	Since      time.Time // when this router first read it
}

// Update is the newest record about one data centre.
type Update struct {
	DataCentre string
	InForce    bool  // false revokes the order
	Err        error // why the record cannot be decoded; an unreadable order is in force
}

// Set is the set of orders in force. It is safe for concurrent use; InForce takes
// no lock.
type Set struct {
	log    zerolog.Logger
	events *counter.Set
	now    func() time.Time

	mu     sync.Mutex // guards changes of orders
	orders atomic.Pointer[map[string]Order]
}

// New returns a set without orders.
func New(log zerolog.Logger, now func() time.Time) *Set {
	s := &Set{log: log.With().Str("part", "evacuation").Logger(), events: counter.NewSet("evacuation"), now: now}
	s.orders.Store(&map[string]Order{})
	return s
}

// InForce reports whether a data centre is to be evacuated.
func (s *Set) InForce(dataCentre string) bool {
	_, found := (*s.orders.Load())[dataCentre]
	return found
}

// Orders returns the orders in force, sorted by data centre.
func (s *Set) Orders() []Order {
	return slices.SortedFunc(maps.Values(*s.orders.Load()), func(a, b Order) int { return strings.Compare(a.DataCentre, b.DataCentre) })
}

// Apply applies records in the order of the log and returns the data centres whose
// state has changed.
func (s *Set) Apply(updates ...Update) (ordered, revoked []string) {
	return s.change(func(next map[string]Order) { s.apply(next, updates) })
}

// Reset applies the newest records of all data centres. Orders that are not among
// them are revoked.
func (s *Set) Reset(updates ...Update) (ordered, revoked []string) {
	return s.change(func(next map[string]Order) {
		present := make(map[string]struct{}, len(updates))
		for _, u := range updates {
			present[u.DataCentre] = struct{}{}
		}
		maps.DeleteFunc(next, func(dataCentre string, _ Order) bool {
			_, found := present[dataCentre]
			return !found
		})
		s.apply(next, updates)
	})
}

// apply applies records to the orders. The caller holds the lock.
func (s *Set) apply(next map[string]Order, updates []Update) {
	for _, u := range updates {
		if !u.InForce {
			delete(next, u.DataCentre)
			continue
		}
		if u.Err != nil {
			s.events.Inc("order_unreadable")
			s.log.Warn().Err(u.Err).Str("data_centre", u.DataCentre).Msg("evacuation order cannot be decoded; it is in force")
		}
		if _, found := next[u.DataCentre]; !found {
			next[u.DataCentre] = Order{DataCentre: u.DataCentre, Since: s.now()}
		}
	}
}

// change applies a change to a copy of the orders, publishes it and logs what has
// changed. An order that is revoked and given again by the same records is neither.
func (s *Set) change(apply func(next map[string]Order)) (ordered, revoked []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := *s.orders.Load()
	next := maps.Clone(previous)
	apply(next)
	for dataCentre, order := range next {
		if before, found := previous[dataCentre]; found {
			next[dataCentre] = before
			continue
		}
		ordered = append(ordered, order.DataCentre)
	}
	for dataCentre := range previous {
		if _, found := next[dataCentre]; !found {
			revoked = append(revoked, dataCentre)
		}
	}
	s.orders.Store(&next)
	s.report(previous, ordered, revoked)
	return ordered, revoked
}

// report logs and counts the orders that begin and end.
func (s *Set) report(previous map[string]Order, ordered, revoked []string) {
	slices.Sort(ordered)
	slices.Sort(revoked)
	for _, dataCentre := range ordered {
		s.events.Inc("ordered")
		s.log.Info().Str("data_centre", dataCentre).Msg("evacuation of a data centre is in force")
	}
	for _, dataCentre := range revoked {
		s.events.Inc("revoked")
		s.log.Info().Str("data_centre", dataCentre).Dur("after", s.now().Sub(previous[dataCentre].Since)).
			Msg("evacuation of a data centre is revoked")
	}
}
