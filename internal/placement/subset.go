package placement

import (
	"encoding/binary"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/rendezvous"
)

// OwnerCount is the number of owner gates of a key.
const OwnerCount = 2

// Subset returns the servers that a router uses: the first ones in the
// rendezvous order of the router. A server that is added or removed changes at
// most one entry of it.
func Subset(router ident.Incarnation, servers []*Server, size int) []*Server {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(router))
	return firstByRendezvous(seed[:], servers, size)
}

// Owners returns the servers on which a request with an idempotency key may run,
// best first. All routers get the same ones. Leaving servers are included, since
// they may hold the answer of an earlier attempt.
func Owners(key ident.Key, servers []*Server) []*Server {
	return firstByRendezvous(key[:], servers, OwnerCount)
}

// firstByRendezvous returns at most size servers, the first ones in the
// rendezvous order of a seed.
func firstByRendezvous(seed []byte, servers []*Server, size int) []*Server {
	return rendezvous.First(seed, servers, size, func(s *Server) string { return string(s.ID) })
}
