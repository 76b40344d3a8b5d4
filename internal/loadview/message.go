package loadview

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"
)

// messageVersion is the first byte of each message.
const messageVersion = 1

// maxNameBytes limits the length of a server's id.
const maxNameBytes = 256

var errMalformed = errors.New("message with loads is malformed")

// header begins a message. Servers are identified by their positions at the sender, whose
// names are sent once. Loads are sent as absolute values, of the servers where they differ
// from what the receiver has.
type header struct {
	epoch    uint32 // of the sender's positions
	number   uint64 // counts the messages of a link in one direction, from 1
	base     uint64 // number of the message whose content the receiver must have; 0: none
	ackEpoch uint32 // epoch and number of the last message received in the other direction
	ack      uint64
	age      time.Duration // mean age of the loads
	routers  int           // whose loads are included
}

func (h header) append(b []byte) []byte {
	b = append(b, messageVersion)
	b = binary.BigEndian.AppendUint32(b, h.epoch)
	b = binary.BigEndian.AppendUint32(b, h.ackEpoch)
	b = binary.AppendUvarint(b, h.number)
	b = binary.AppendUvarint(b, h.base)
	b = binary.AppendUvarint(b, h.ack)
	b = binary.AppendUvarint(b, uint64(max(h.age, 0)/time.Millisecond))
	return binary.AppendUvarint(b, uint64(h.routers))
}

// reader reads a message. After an error all values are zero.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) bytes(n uint64) []byte {
	if r.err != nil || n > uint64(len(r.rest)) {
		r.err = errMalformed
		return nil
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

// uvarint reads a number up to a limit.
func (r *reader) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.rest)
	if r.err != nil || n <= 0 || v > limit {
		r.err = errMalformed
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) uint32() uint32 {
	if b := r.bytes(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

// Limits on numbers in messages.
const (
	maxNumber  = 1 << 62
	maxAgeMS   = 60_000
	maxRouters = 1 << 14
)

// maxChildren limits the routers that report to one. Few do, but all of a fleet may while
// others are lost. Each takes some KB.
const maxChildren = 1 << 10

func (r *reader) header() header {
	if v := r.bytes(1); v == nil || v[0] != messageVersion {
		r.err = errMalformed
		return header{}
	}
	return header{
		epoch: r.uint32(), ackEpoch: r.uint32(),
		number: r.uvarint(maxNumber), base: r.uvarint(maxNumber), ack: r.uvarint(maxNumber),
		age: min(time.Duration(r.uvarint(maxAgeMS))*time.Millisecond, staleAge), routers: int(r.uvarint(maxRouters)),
	}
}

func appendName(b []byte, id ID) []byte {
	name := id.Server[:min(len(id.Server), maxNameBytes)]
	b = binary.AppendUvarint(b, uint64(len(name)))
	b = append(b, name...)
	return binary.AppendVarint(b, id.StartedMS)
}

func (r *reader) name() ID {
	id := ID{Server: string(r.bytes(r.uvarint(maxNameBytes)))}
	started, n := binary.Varint(r.rest)
	if r.err != nil || n <= 0 {
		r.err = errMalformed
		return ID{}
	}
	r.rest = r.rest[n:]
	id.StartedMS = started
	return id
}
