package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// HomeCount is the number of home gates of a key.
const HomeCount = 2

// Subset returns the servers that a router deals with: the first ones in the
// rendezvous order of the router. A server that comes or goes changes at most
// one place in it.
func Subset(router ident.Incarnation, servers []*Server, size int) []*Server {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(router))
	return first(seed[:], servers, size)
}

// Homes returns the servers at which a keyed request may run, best first. It
// does not depend on the router. Leaving servers are among them, since they
// may have the answer of an earlier attempt.
func Homes(key ident.Key, servers []*Server) []*Server {
	return first(key[:], servers, HomeCount)
}

// first returns the first servers in the rendezvous order of a seed.
func first(seed []byte, servers []*Server, size int) []*Server {
	type scored struct {
		server *Server
		score  uint64
	}
	all := make([]scored, len(servers))
	digest := xxhash.New()
	for i, s := range servers {
		digest.Reset()
		digest.Write(seed)
		digest.WriteString(string(s.ID))
		all[i] = scored{server: s, score: digest.Sum64()}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if order := cmp.Compare(b.score, a.score); order != 0 {
			return order
		}
		return cmp.Compare(a.server.ID, b.server.ID)
	})
	size = min(size, len(all))
	picked := make([]*Server, size)
	for i := range picked {
		picked[i] = all[i].server
	}
	return picked
}
