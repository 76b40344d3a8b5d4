package prepaid

import (
	"slices"

	"github.com/camphorlever/camphorlever/internal/rendezvous"
)

// homeRouters is how many routers draw an account's tokens from the ledger; the
// others borrow from them. It answers many routers before many accounts: drawn
// by all, the tokens of a small account lie in pieces that are smaller than a
// request, and the appends of all routers get into each other's way. The death
// of one home takes a quarter of what is in hands.
const homeRouters = 4

// homesOf returns the homes of an account among the routers, best first, in the
// rendezvous order of the account: a router that comes or goes changes one.
func homesOf(account string, routers []string) []string {
	return rendezvous.First([]byte(account), routers, homeRouters, func(name string) string { return name })
}

// Fleet is the routers as one of them knows them.
type Fleet struct {
	Self    string
	Routers []string // names, with the own one
	Version uint64   // changes with the routers
	Loaded  bool     // the others were read once
}

// homes returns an account's homes, and whether this router is one.
func (g *LocalBalances) homes(h *hand) (homes []string, home bool) {
	fleet := g.fleet()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.homes == nil || h.homesOf != fleet.Version {
		h.homes, h.homesOf = homesOf(h.account, fleet.Routers), fleet.Version
		h.home = slices.Contains(h.homes, fleet.Self)
	}
	return h.homes, h.home
}

// fleet returns the routers; this one alone if there are no others to call.
func (g *LocalBalances) fleet() Fleet {
	if g.peers == nil {
		return Fleet{Self: g.ledger.life, Routers: []string{g.ledger.life}, Loaded: true}
	}
	return g.peers.Fleet()
}
