package placement

import (
	"encoding/binary"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/rendezvous"
)

// OwnerCount is the number of home gates of a key.
const OwnerCount = 2

// Subset returns the servers that a router deals with: the first ones in the
// rendezvous order of the router. A server that comes or goes changes at most
// one place in it.
func Subset(router ident.Incarnation, servers []*Server, size int) []*Server {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(router))
	return first(seed[:], servers, size)
}

// Owners returns the servers at which a keyed request may run, best first. It
// does not depend on the router. Leaving servers are among them, since they
// may have the answer of an earlier attempt.
func Owners(key ident.Key, servers []*Server) []*Server {
	return first(key[:], servers, OwnerCount)
}

// first returns the first servers in the rendezvous order of a seed.
func first(seed []byte, servers []*Server, size int) []*Server {
	return rendezvous.First(seed, servers, size, func(s *Server) string { return string(s.ID) })
}
