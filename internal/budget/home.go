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
	homes := g.homes(h, g.roster())
	if len(homes) == 0 {
		return 0, false
	}
	return homes[0], true
}

// homesOf picks a data centre's home routers of a team. Where it is the only
// data centre, there are two: the loss of one router must not take all tokens
// out of reach.
func homesOf(team ident.TeamID, r *roster, dc ident.DataCentreID) []ident.Incarnation {
	first := homeRouter(team, r.routers, dc)
	if first == 0 {
		return nil
	}
	homes := []ident.Incarnation{first}
	if r.sites > 1 {
		return homes
	}
	others := slices.DeleteFunc(slices.Clone(r.routers), func(o Router) bool { return o.Incarnation == first })
	if second := homeRouter(team, others, dc); second != 0 {
		homes = append(homes, second)
	}
	return homes
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
	homes := g.homes(h, r)
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
		Homes:     len(homes),
		Home:      len(homes) == 0 || slices.Contains(homes, g.config.Self),
	}
	if h.fleet.long > 0 {
		s.SiteShare = min(h.site.long/h.fleet.long, 1)
	}
	return s
}
