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

// ownerToAsk returns the owner router of a budget in this data centre, if that
// is another router and the budget is in low use here, or scarce.
func (g *Grants) ownerToAsk(s SizingInput, b *localBalance) (ident.Incarnation, bool) {
	policy := g.policy(b)
	if s.IsOwner || !policy.IsLowUse(s) && policy.Scarcity(s) != Scarce {
		return 0, false
	}
	owners := g.owners(b, g.peerSet())
	if len(owners) == 0 {
		return 0, false
	}
	return owners[0], true
}

// ownersOf returns a data centre's owner routers of a team. If it is the only
// data centre there are two, so that the loss of one router does not make all
// tokens unreachable.
func ownersOf(team ident.TeamID, peers *peerSet, dc ident.DataCentreID) []ident.Incarnation {
	first := ownerRouter(team, peers.routers, dc)
	if first == 0 {
		return nil
	}
	owners := []ident.Incarnation{first}
	if peers.dataCentres > 1 {
		return owners
	}
	others := slices.DeleteFunc(slices.Clone(peers.routers), func(o Router) bool { return o.Incarnation == first })
	if second := ownerRouter(team, others, dc); second != 0 {
		owners = append(owners, second)
	}
	return owners
}

// ownerRouter picks a data centre's owner router of a team by rendezvous
// hashing. It returns zero if the data centre has no router. Two routers may
// disagree for a while; then both draw, which costs appends and nothing else.
func ownerRouter(team ident.TeamID, routers []Router, dc ident.DataCentreID) ident.Incarnation {
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

func sortLenders(l []lenderCandidate) {
	slices.SortFunc(l, func(a, b lenderCandidate) int {
		if a.sameDataCentre != b.sameDataCentre {
			if a.sameDataCentre {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.outstanding, a.outstanding), cmp.Compare(a.router, b.router))
	})
}

func (g *Grants) policy(b *localBalance) Policy {
	return g.config.Policy(b.team)
}

// sizingInput collects what the policy needs to size a budget.
func (g *Grants) sizingInput(b *localBalance, budget ledger.Budget) SizingInput {
	r := g.peerSet()
	owners := g.owners(b, r)
	b.mu.Lock()
	defer b.mu.Unlock()
	s := SizingInput{
		Free:              budget.Free,
		Outstanding:       budget.Outstanding,
		OwnFree:           b.own.free,
		Rate:              b.demand.rate(),
		FleetRate:         b.fleetDemand.rate(),
		DataCentreShare:   r.dataCentreShare(),
		RecentBound:       int64(b.demand.recentBound),
		Routers:           max(len(r.routers), 1),
		DataCentreRouters: len(r.dataCentreRouters),
		Owners:            len(owners),
		IsOwner:           len(owners) == 0 || slices.Contains(owners, g.config.Self),
	}
	if b.fleetDemand.longAverage > 0 {
		s.DataCentreShare = min(b.dataCentreDemand.longAverage/b.fleetDemand.longAverage, 1)
	}
	return s
}
