package prepaid

import (
	"github.com/camphorlever/camphorlever/internal/rendezvous"
)

// ownersPerShard is how many routers draw the tokens of a shard's accounts from
// the ledger; the others borrow from them. If all of many routers drew, the local
// balances of a small account would be smaller than a request, and the appends of
// the routers would conflict. A crash of one owner loses a quarter of the tokens
// that routers hold.
const ownersPerShard = 4

// ownersOf returns the owners of a shard among the routers, in the rendezvous
// order of the shard. A router that joins or leaves changes at most one owner.
func ownersOf(shard string, routers []string) []string {
	return rendezvous.First([]byte(shard), routers, ownersPerShard, func(name string) string { return name })
}

// Fleet is the set of routers as one router knows it.
type Fleet struct {
	Self    string
	Routers []string // names, including Self
	Version uint64   // changes whenever Routers changes
	Loaded  bool     // the other routers have been read at least once
}

// owners returns an account's owners in the order in which they are asked, and whether
// this router acts as one of them. There are none until the layout was loaded.
//
// While the log answers, only the first reachable owner draws for an account that is
// nearly used up, and the others borrow from it like any router. If all owners drew the
// last tokens in small amounts, they would make each other's appends fail, and none would
// know how much is left.
func (bs *LocalBalances) owners(b *localBalance) (owners []string, isOwner bool) {
	s := bs.shardOf(b.account)
	if s == nil {
		return nil, false
	}
	fleet := bs.fleet()
	owners, isOwner = s.ownersIn(fleet)
	if b.isGathered() && !s.ledger.Unavailable() {
		ranked, isGatherer := s.gathererIn(fleet, bs.unreachable)
		owners, isOwner = ranked, isOwner && isGatherer
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isOwner = isOwner
	return owners, isOwner
}

// unreachable reports whether a router did not answer recent calls.
func (bs *LocalBalances) unreachable(name string) bool {
	return bs.peers != nil && bs.peers.Unreachable(name)
}

// fleet returns the known routers: only this one if it has no peers.
func (bs *LocalBalances) fleet() Fleet {
	if bs.peers == nil {
		return Fleet{Self: bs.incarnation, Routers: []string{bs.incarnation}, Version: 1, Loaded: true}
	}
	return bs.peers.Fleet()
}
