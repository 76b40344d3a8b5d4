// Package intake bounds what the clients of a process may make it hold: bytes of
// request heads, bodies and buffered responses, and connections. When a budget is
// used up by requests that have not arrived whole, some of these are given up, so
// that others are still served.
package intake

import (
	"runtime/debug"

	"github.com/pkg/errors"
)

const (
	// byteShare is the share of the VM's memory that clients' bytes may take. It
	// is half of the Go runtime's memory limit, so that the garbage of requests
	// that have ended fits beside them.
	byteShare = 0.3
	// reservedDescriptors are not available for sockets.
	reservedDescriptors = 200
	// connShare is the share of the sockets that callers' connections may take.
	// The rest is for connections to servers, to the log and between routers.
	connShare = 0.6
	// connBytes is what a connection takes in the process besides the bytes of
	// its requests: buffers of net/http and a goroutine; 7.5 KB were measured.
	connBytes = 8 << 10
	// maxConnMemoryShare is the largest share of the byte budget that idle
	// connections may take.
	maxConnMemoryShare = 1.0 / 3
	// minConns is the least number of connections of a listener.
	minConns = 8
)

// defaultMemoryBytes is assumed of a VM whose settings do not state its memory.
const defaultMemoryBytes = 1 << 30

// Limits are the limits of a VM. Zero stands for an unknown limit.
type Limits struct {
	MemoryBytes     int64
	FileDescriptors int
	// Bytes is the byte budget; zero for a share of the memory.
	Bytes int64
}

// memoryLimitShare is the share of the VM's memory that SetMemoryLimit sets.
const memoryLimitShare = 0.6

// SetMemoryLimit sets the soft memory limit of the Go runtime, near which the
// garbage collector runs more often, if the memory of the VM is known.
func (l Limits) SetMemoryLimit() {
	if l.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(l.MemoryBytes)))
	}
}

// FromSettings returns limits from the values of a settings file, of which
// memory and the byte budget are in MB.
func FromSettings(memoryMB float64, descriptors int, budgetMB float64) Limits {
	const mb = 1 << 20
	return Limits{MemoryBytes: int64(memoryMB * mb), FileDescriptors: descriptors, Bytes: int64(budgetMB * mb)}
}

// Validate returns an error if the byte budget does not fit in the memory.
func (l Limits) Validate() error {
	if l.MemoryBytes < 0 || l.FileDescriptors < 0 {
		return errors.New("limits of the VM are negative")
	}
	if l.Bytes < 0 || l.MemoryBytes > 0 && l.Bytes > l.MemoryBytes {
		return errors.Errorf("the byte budget for clients is %d, but the VM has %d bytes of memory", l.Bytes, l.MemoryBytes)
	}
	return nil
}

func (l Limits) memory() int64 {
	if l.MemoryBytes > 0 {
		return l.MemoryBytes
	}
	return defaultMemoryBytes
}

// byteBudget returns the number of bytes that clients may make the process hold.
func (l Limits) byteBudget() int64 {
	if l.Bytes > 0 {
		return l.Bytes
	}
	return int64(byteShare * float64(l.memory()))
}

// Conns returns the limit of connections of a listener that gets a share of
// those that callers may have.
func (l Limits) Conns(share float64) int {
	n := maxConnMemoryShare * float64(l.byteBudget()) / connBytes
	if l.FileDescriptors > 0 {
		n = min(n, connShare*float64(l.FileDescriptors-reservedDescriptors))
	}
	return max(int(share*n), minConns)
}
