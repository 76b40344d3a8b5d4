// Package catalog holds one version of what the operators have published:
// routes, services, client accounts and limits. A Settings value is never
// changed once built; a request is served by one of them from start to end.
package catalog

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a request on a route.
type Kind uint8

// Kinds of routes.
const (
	NonIdempotent Kind = iota // may run once at most
	Idempotent                // may run any number of times
	Streaming                 // a stream of events; runs once unless it can be resumed
)

// Target is a service that serves a part of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route is one way into the system.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string // begins and ends with a slash
	Kind             Kind
	Resumable        bool          // a stream may go on at another backend server
	Timeout          time.Duration // longest time that a request may take; zero is none
	LatencyObjective time.Duration // time to the answer or the first event that is still good
	MaxEventGap      time.Duration // longest pause between two events that is still good
	Priority         int           // 0 is the most urgent
	MaxAttempts      int           // backend servers to which one request may be sent
	Anonymous        bool          // needs no key
	Targets          []Target
}

// AllowsRerun reports whether a request on the route may run a second time.
func (r *Route) AllowsRerun() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// PickService chooses the service for a request. The same request always gets the
// same one, so that a change of weights moves no more than it must.
func (r *Route) PickService(request string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(request)) // a hash takes everything
	at := int(h.Sum64() % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return ""
}

// Engine describes the model engines of a service.
type Engine struct {
	BatchSize      int   // requests that run together
	CacheTokens    int64 // memory for prompts and running requests
	TokensPerEvent int64 // output tokens in one event
	SupportsBackup bool  // a run's memory can be copied to a second server
}

// Service is a group of equal backend servers.
type Service struct {
	Name           string
	MaxConnections int     // that one server takes, from all routers together
	Engine         *Engine // nil for a plain service
}

// Account is a client account with its prepaid tokens.
type Account struct {
	Name              string
	PrepaidTokens     int64 // total that may be consumed
	Metered           bool  // whether Prepaid binds
	Priority          int
	OverridesPriority bool // whether Priority goes before the route's
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Settings is one version of everything published.
type Settings struct {
	Version     int64
	Limits      Limits
	RequiresKey bool // requests need a key unless their route is anonymous
	hosts       map[string][]*Route
	keys        map[string]*Account
	accounts    map[string]*Account
	services    map[string]*Service
}

// Draft is what a Settings value is built from.
type Draft struct {
	Version  int64
	Limits   Limits
	Routes   []*Route
	Services []*Service
	Accounts []*Account
	Keys     map[string]string // key to account name
}

// Build returns the settings of a draft.
func Build(d Draft) *Settings {
	s := &Settings{
		Version:     d.Version,
		Limits:      d.Limits,
		RequiresKey: len(d.Accounts) > 0,
		hosts:       map[string][]*Route{},
		keys:        map[string]*Account{},
		accounts:    map[string]*Account{},
		services:    map[string]*Service{},
	}
	for _, r := range d.Routes {
		s.hosts[r.Host] = append(s.hosts[r.Host], r)
	}
	for _, routes := range s.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, service := range d.Services {
		s.services[service.Name] = service
	}
	for _, a := range d.Accounts {
		s.accounts[a.Name] = a
	}
	for key, name := range d.Keys {
		if a := s.accounts[name]; a != nil {
			s.keys[key] = a
		}
	}
	return s
}

// MatchRoute returns the route of the host with the longest prefix of the path, nil
// if there is none.
func (s *Settings) MatchRoute(host, path string) *Route {
	for _, r := range s.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// AccountByKey returns the account that holds a key, nil if none does.
func (s *Settings) AccountByKey(key string) *Account {
	return s.keys[key]
}

// Account returns an account by name, nil if there is none.
func (s *Settings) Account(name string) *Account {
	return s.accounts[name]
}

// ForEachAccount calls visit for every account, in no particular order.
func (s *Settings) ForEachAccount(visit func(*Account)) {
	for _, a := range s.accounts {
		visit(a)
	}
}

// Service returns a service by name, nil if there is none.
func (s *Settings) Service(name string) *Service {
	return s.services[name]
}
