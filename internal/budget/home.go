package budget

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
)

// homeOf returns the home router of a budget in this data centre, if it is
// another one and the budget is in little use here, or scarce.
func (g *Grants) homeOf(s Situation, h *hand) (ident.Incarnation, bool) {
	policy := g.policy(h)
	if s.Home || !policy.LittleUse(s) && policy.Scarcity(s) != Scarce {
		return 0, false
	}
	home := g.home(h, g.roster())
	return home, home != 0
}

// homeRouter picks a data centre's home router of a team by rendezvous
// hashing, zero if there is none. Two routers may disagree for a while; then
// both draw, which costs appends and nothing else.
func homeRouter(team ident.TeamID, routers []Router, dc ident.DataCentreID) ident.Incarnation {
	var names []string
	for _, r := range routers {
		if r.DataCentre == dc {
			names = append(names, strconv.FormatUint(uint64(r.Incarnation), 10))
		}
	}
	if len(names) == 0 {
		return 0
	}
	slices.Sort(names)
	chosen := rendezvous.New(names, xxhash.Sum64String).Lookup(string(team))
	number, err := strconv.ParseUint(chosen, 10, 64)
	if err != nil {
		return 0
	}
	return ident.Incarnation(number)
}

func sortLenders(l []lender) {
	slices.SortFunc(l, func(a, b lender) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.holds, a.holds), cmp.Compare(a.router, b.router))
	})
}

func (g *Grants) policy(h *hand) Policy {
	return g.config.Policy(h.team)
}

// situation describes a budget to the policy.
func (g *Grants) situation(h *hand, budget ledger.Budget) Situation {
	r := g.roster()
	home := g.home(h, r)
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Situation{
		Free:      budget.Free,
		Spread:    budget.Outstanding,
		Hand:      h.own.free,
		Rate:      h.demand.rate(),
		FleetRate: h.fleet.rate(),
		SiteShare: r.siteShare(),
		Bound:     int64(h.demand.bound),
		Routers:   max(len(r.routers), 1),
		Here:      len(r.here),
		Home:      home == 0 || home == g.config.Self,
	}
	if h.fleet.long > 0 {
		s.SiteShare = min(h.site.long/h.fleet.long, 1)
	}
	return s
}
