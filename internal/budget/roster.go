package budget

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
)

// rosterAge is how long a list of the routers is used. Only sizes depend on
// it; whether a router is sealed is asked anew.
const rosterAge = time.Second

// roster is the live routers, prepared for the sizing of many budgets.
type roster struct {
	at      time.Time
	routers []Router
	here    map[ident.Incarnation]bool // those of this data centre
	sites   int                        // data centres
	print   uint64                     // differs if here or sites does
}

// roster returns the current list.
func (g *Grants) roster() *roster {
	now := g.config.Now()
	if r := g.known.Load(); r != nil && now.Sub(r.at) < rosterAge && !now.Before(r.at) {
		return r
	}
	r := &roster{at: now, routers: g.config.Fleet.Routers(), here: map[ident.Incarnation]bool{}}
	sites := map[ident.DataCentreID]bool{}
	for _, router := range r.routers {
		sites[router.DataCentre] = true
		if router.DataCentre == g.config.DataCentre {
			r.here[router.Incarnation] = true
			r.print += mix(uint64(router.Incarnation))
		}
	}
	r.sites = len(sites)
	r.print += uint64(r.sites)
	g.known.Store(r)
	return r
}

// mix spreads a number over 64 bits.
func mix(n uint64) uint64 {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], n)
	return xxhash.Sum64(raw[:])
}

// homes returns a team's home routers in this data centre. The hand keeps them
// until the routers change.
func (g *Grants) homes(h *hand, r *roster) []ident.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.homes == nil || h.homePrint != r.print {
		h.homes = homesOf(h.team, r, g.config.DataCentre)
		h.homePrint = r.print
	}
	return h.homes
}

// siteShare is the part of the routers that is in this data centre.
func (r *roster) siteShare() float64 {
	return float64(len(r.here)) / float64(max(len(r.routers), 1))
}

// billedHere sums what the runs begun by this data centre's routers cost.
func (r *roster) billedHere(s *ledger.State, team ident.TeamID) int64 {
	var total int64
	s.ForEachGrant(team, func(grant *ledger.Grant) {
		own := grant.Billed
		for _, f := range grant.BorrowerBills {
			own -= f.Billed
			if r.here[f.Router] {
				total += f.Billed
			}
		}
		if r.here[grant.Holder] {
			total += own
		}
	})
	return total
}
