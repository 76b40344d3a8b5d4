// Package catalog holds one version of the published settings of the operators:
// routes, services, client accounts and limits. A Settings value never changes
// after Build; a request is served with one of them from start to end.
package catalog

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Kind is the class of the requests on a route: whether they may be executed
// again.
type Kind uint8

// Kinds of routes.
const (
	NonIdempotent Kind = iota // may be executed once at most
	Idempotent                // may be executed any number of times
	Streaming                 // a stream of events; executed once unless it can be resumed
)

// Target is a service that gets a part of a route's requests, in proportion to
// its weight.
type Target struct {
	Service string
	Weight  int
}

// Route maps requests by host and path to services.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string // begins and ends with a slash
	Kind             Kind
	Resumable        bool          // a stream may continue at another backend server
	Timeout          time.Duration // of a request; zero if there is none
	LatencyObjective time.Duration // for the time to the first event, or to the whole response
	MaxEventGap      time.Duration // objective for the longest pause between two events
	Priority         int           // 0 is the most urgent
	MaxAttempts      int           // largest number of backend servers to which one request is sent
	Anonymous        bool          // requests need no key
	AllowedRegions   []string      // regions whose servers may get the requests; empty if all may
	Targets          []Target
}

// AllowsRerun reports whether a request on the route may be executed a second
// time.
func (r *Route) AllowsRerun() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// AllowsRegion reports whether a request of an account on the route may be sent to a
// region; the account may be nil. An empty region stands for one that is not known, and is
// on no list.
func (r *Route) AllowsRegion(a *Account, region string) bool {
	return isOnList(r.AllowedRegions, region) && (a == nil || isOnList(a.AllowedRegions, region))
}

// RestrictsRegions reports whether a request of an account on the route may not be sent to
// all regions.
func (r *Route) RestrictsRegions(a *Account) bool {
	return len(r.AllowedRegions) > 0 || (a != nil && len(a.AllowedRegions) > 0)
}

func isOnList(list []string, region string) bool {
	return len(list) == 0 || (region != "" && slices.Contains(list, region))
}

// IsStream reports whether the route's responses are event streams.
func (r *Route) IsStream() bool { return r.Kind == Streaming }

// PickService returns the service for a request; empty if the weights are all
// zero. The same request always gets the same service, so that a change of
// weights moves no more requests than necessary.
func (r *Route) PickService(requestID string) string {
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
	_, _ = h.Write([]byte(requestID)) // writing to a hash never fails
	point := int(h.Sum64() % uint64(total))
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return ""
}

// Engine describes the model engines of a service.
type Engine struct {
	BatchSize      int   // requests that an engine runs at the same time
	CacheTokens    int64 // capacity of the memory for prompts and running requests
	TokensPerEvent int64 // output tokens in one event
	SupportsBackup bool  // the memory of a run can be copied to a second server
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name           string
	MaxConnections int     // that one server accepts, from all routers together
	Engine         *Engine // nil for a plain service
	ColdRate       float64 // requests per second that all routers together send to a cold server; zero if not limited
}

// Account is a client account with its prepaid tokens.
type Account struct {
	Name              string
	PrepaidTokens     int64 // total that the account may consume
	Metered           bool  // whether PrepaidTokens limits the account
	Priority          int
	OverridesPriority bool     // whether Priority replaces the route's
	AllowedRegions    []string // regions whose servers may get the requests; empty if all may
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Settings is one version of all that the operators have published.
type Settings struct {
	Version        int64
	Limits         Limits
	RequiresKey    bool // requests need a key unless their route is anonymous
	routesByHost   map[string][]*Route
	accountsByKey  map[string]*Account
	accountsByName map[string]*Account
	servicesByName map[string]*Service
}

// Draft holds the values from which Build makes Settings.
type Draft struct {
	Version  int64
	Limits   Limits
	Routes   []*Route
	Services []*Service
	Accounts []*Account
	Keys     map[string]string // account names by key
	// AccountKeys holds the keys of each account, in the order of Accounts. Keys
	// cannot represent a key that is listed twice.
	AccountKeys [][]string
}

// Build returns the settings of a draft. Keys of unknown accounts are left out.
func Build(d Draft) *Settings {
	s := &Settings{
		Version:        d.Version,
		Limits:         d.Limits,
		RequiresKey:    len(d.Accounts) > 0,
		routesByHost:   map[string][]*Route{},
		accountsByKey:  map[string]*Account{},
		accountsByName: map[string]*Account{},
		servicesByName: map[string]*Service{},
	}
	for _, r := range d.Routes {
		s.routesByHost[r.Host] = append(s.routesByHost[r.Host], r)
	}
	for _, routes := range s.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, service := range d.Services {
		s.servicesByName[service.Name] = service
	}
	for _, a := range d.Accounts {
		s.accountsByName[a.Name] = a
	}
	for key, name := range d.Keys {
		if a := s.accountsByName[name]; a != nil {
			s.accountsByKey[key] = a
		}
	}
	return s
}

// MatchRoute returns the route of the host with the longest matching path
// prefix, nil if there is none.
func (s *Settings) MatchRoute(host, path string) *Route {
	for _, r := range s.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// AccountByKey returns the account that a key belongs to, nil if there is none.
func (s *Settings) AccountByKey(key string) *Account {
	return s.accountsByKey[key]
}

// Account returns the account with a name, nil if there is none.
func (s *Settings) Account(name string) *Account {
	return s.accountsByName[name]
}

// ForEachAccount calls visit for every account, in no particular order.
func (s *Settings) ForEachAccount(visit func(*Account)) {
	for _, a := range s.accountsByName {
		visit(a)
	}
}

// ForEachService calls visit for every service, in no particular order.
func (s *Settings) ForEachService(visit func(*Service)) {
	for _, service := range s.servicesByName {
		visit(service)
	}
}

// Service returns the service with a name, nil if there is none.
func (s *Settings) Service(name string) *Service {
	return s.servicesByName[name]
}
