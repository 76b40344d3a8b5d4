// Package counter publishes counters by reason through expvar.
package counter

import (
	"expvar"
	"sync"
)

// Set is a family of counters, one per reason. It is safe for concurrent use. Its
// zero value is not usable; use NewSet.
type Set struct {
	vars *expvar.Map
}

var (
	registryMu sync.Mutex // guards registry; expvar panics when a name is published twice
	registry   = map[string]*Set{}
)

// NewSet returns the set published in expvar under a name, and creates it if
// needed.
func NewSet(name string) *Set {
	registryMu.Lock()
	defer registryMu.Unlock()
	if set, ok := registry[name]; ok {
		return set
	}
	set := &Set{vars: expvar.NewMap(name)}
	registry[name] = set
	return set
}

// Add adds to the counter of a reason.
func (s *Set) Add(reason string, delta int64) {
	s.vars.Add(reason, delta)
}

// Inc adds one to the counter of a reason.
func (s *Set) Inc(reason string) {
	s.vars.Add(reason, 1)
}

// Value returns the counter of a reason; zero if it was never incremented.
func (s *Set) Value(reason string) int64 {
	v, ok := s.vars.Get(reason).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}
