package budget

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
)

// peerSetMaxAge is how long a peerSet is used. Only sizes depend on it; whether
// a router is sealed is always checked anew.
const peerSetMaxAge = time.Second

// peerSet is a snapshot of the live routers, prepared for sizing many budgets.
type peerSet struct {
	created           time.Time
	routers           []Router
	dataCentreRouters map[ident.Incarnation]bool // the routers of this data centre
	dataCentres       int                        // number of data centres
	fingerprint       uint64                     // changes if dataCentreRouters or dataCentres changes
}

// peerSet returns the cached snapshot, or a new one if it is older than
// peerSetMaxAge.
func (g *Grants) peerSet() *peerSet {
	now := g.config.Now()
	if r := g.cachedPeers.Load(); r != nil && now.Sub(r.created) < peerSetMaxAge && !now.Before(r.created) {
		return r
	}
	r := &peerSet{created: now, routers: g.config.Fleet.Routers(), dataCentreRouters: map[ident.Incarnation]bool{}}
	sites := map[ident.DataCentreID]bool{}
	for _, router := range r.routers {
		sites[router.DataCentre] = true
		if router.DataCentre == g.config.DataCentre {
			r.dataCentreRouters[router.Incarnation] = true
			r.fingerprint += hashNumber(uint64(router.Incarnation))
		}
	}
	r.dataCentres = len(sites)
	r.fingerprint += uint64(r.dataCentres)
	g.cachedPeers.Store(r)
	return r
}

// hashNumber hashes a number to 64 bits, so that the sum of the hashes
// identifies a set of numbers.
func hashNumber(n uint64) uint64 {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], n)
	return xxhash.Sum64(raw[:])
}

// owners returns a team's owner routers in this data centre. They are cached
// until the routers change.
func (g *Grants) owners(b *localBalance, r *peerSet) []ident.Incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owners == nil || b.ownersFingerprint != r.fingerprint {
		b.owners = ownersOf(b.team, r, g.config.DataCentre)
		b.ownersFingerprint = r.fingerprint
	}
	return b.owners
}

// dataCentreShare returns the part of the live routers that is in this data
// centre.
func (r *peerSet) dataCentreShare() float64 {
	return float64(len(r.dataCentreRouters)) / float64(max(len(r.routers), 1))
}

// billedInDataCentre sums the bills of runs that were begun by routers of this
// data centre.
func (r *peerSet) billedInDataCentre(s *ledger.State, team ident.TeamID) int64 {
	var total int64
	s.ForEachGrant(team, func(grant *ledger.Grant) {
		own := grant.Billed
		for _, f := range grant.BorrowerBills {
			own -= f.Billed
			if r.dataCentreRouters[f.Router] {
				total += f.Billed
			}
		}
		if r.dataCentreRouters[grant.Holder] {
			total += own
		}
	})
	return total
}
