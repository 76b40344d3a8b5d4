package prepaid

import (
	"slices"

	"github.com/camphorlever/camphorlever/internal/rendezvous"
)

// ownersPerAccount is how many routers draw an account's tokens from the ledger;
// the others borrow from them. If all of many routers drew, the local balances of
// a small account would be smaller than a request, and the appends of the
// routers would conflict. A crash of one owner loses a quarter of the tokens that
// routers hold.
const ownersPerAccount = 4

// ownersOf returns the owners of an account among the routers, in the rendezvous
// order of the account. A router that joins or leaves changes at most one owner.
func ownersOf(account string, routers []string) []string {
	return rendezvous.First([]byte(account), routers, ownersPerAccount, func(name string) string { return name })
}

// Fleet is the set of routers as one router knows it.
type Fleet struct {
	Self    string
	Routers []string // names, including Self
	Version uint64   // changes whenever Routers changes
	Loaded  bool     // the other routers have been read at least once
}

// owners returns an account's owners, and whether this router is one of them.
func (bs *LocalBalances) owners(b *localBalance) (owners []string, isOwner bool) {
	fleet := bs.fleet()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owners == nil || b.ownersVersion != fleet.Version {
		b.owners, b.ownersVersion = ownersOf(b.account, fleet.Routers), fleet.Version
		b.isOwner = slices.Contains(b.owners, fleet.Self)
	}
	return b.owners, b.isOwner
}

// fleet returns the known routers: only this one if it has no peers.
func (bs *LocalBalances) fleet() Fleet {
	if bs.peers == nil {
		return Fleet{Self: bs.ledger.incarnation, Routers: []string{bs.ledger.incarnation}, Loaded: true}
	}
	return bs.peers.Fleet()
}
