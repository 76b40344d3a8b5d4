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

// littleUseRuns is the demand over the horizon, in runs of a recent bound, up
// to which a budget is in little use: then only its home router in each data
// centre draws, and the others borrow from it.
const littleUseRuns = 4

// homeOf returns the home router of a budget in this data centre, if it is
// another one and the budget is in little use here.
func (g *Grants) homeOf(h *hand) (ident.Incarnation, bool) {
	h.mu.Lock()
	rate, bound := h.demand.rate(), h.demand.bound
	h.mu.Unlock()
	if rate*g.policy(h).Horizon.Seconds() > littleUseRuns*bound {
		return 0, false
	}
	home := homeRouter(h.team, g.config.Fleet.Routers(), g.config.DataCentre)
	return home, home != 0 && home != g.config.Self
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
	routers := max(len(g.config.Fleet.Routers()), 1)
	h.mu.Lock()
	defer h.mu.Unlock()
	return Situation{
		Free:    budget.Free,
		Hand:    h.own.free,
		Rate:    h.demand.rate(),
		Share:   1 / float64(routers),
		Bound:   int64(h.demand.bound),
		Routers: routers,
	}
}
