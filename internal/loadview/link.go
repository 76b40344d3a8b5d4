package loadview

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"
)

// ErrUnknownBase means that a router does not have the state to which a message adds. The
// sender has to send all loads.
var ErrUnknownBase = errors.New("loads before this message are not known")

// link is the connection to a router with which this one exchanges loads.
type link struct {
	peer string
	in   inbound
	out  outbound
}

// inbound is what a router has reported.
type inbound struct {
	epoch     uint32
	number    uint64 // of the last message; 0: none
	positions []int  // of this tracker, by the sender's; -1 if the server was removed
	reported  []load // by this tracker's positions; may be shorter
	part      []load // what counts of it, see plausible; has the same length
	age       time.Duration
	routers   int
	at        time.Time // when the last message was received, or the report sent to which it is the reply
	empty     bool      // the part has no load
}

// ageAt returns the mean age of the part.
func (in *inbound) ageAt(now time.Time) time.Duration { return in.age + max(now.Sub(in.at), 0) }

// partAge returns the mean age of the part of a router that reports to this one.
func (in *inbound) partAge(now time.Time) time.Duration {
	if in.empty {
		return min(in.ageAt(now), idlePartAge)
	}
	return in.ageAt(now)
}

// load returns the load of the server at a position.
func (in *inbound) load(position int) load {
	if position < len(in.part) {
		return in.part[position]
	}
	return load{}
}

// outbound is what a router was told.
type outbound struct {
	number    uint64 // of the last message sent
	confirmed uint64 // of the last message that the receiver has; 0: it has none
	names     int    // how many positions have been named to it
	acked     []load // what the receiver has, by position
	pending   []int  // positions of the changes in the last message
	pendNames int    // names once that message is confirmed
}

// ackedAt returns what the receiver has of the server at a position.
func (o *outbound) ackedAt(position int) load {
	if position < len(o.acked) {
		return o.acked[position]
	}
	return load{}
}

// confirm records that the receiver has the last message.
func (o *outbound) confirm() {
	o.confirmed, o.names, o.pending = o.number, o.pendNames, o.pending[:0]
}

// lost records that it is not known whether the receiver has the last message.
func (o *outbound) lost() {
	for _, position := range o.pending {
		o.acked[position] = unknown
	}
	o.pending = o.pending[:0]
}

// reset makes the next message carry everything.
func (o *outbound) reset() {
	*o = outbound{acked: o.acked[:0], pending: o.pending[:0]}
}

// write appends the message that brings the receiver up to date with the loads, by position.
func (o *outbound) write(h header, servers []*Server, loadAt func(position int, s *Server) load) []byte {
	o.number, h.base = h.number, o.confirmed
	b := h.append(make([]byte, 0, 256))
	b = binary.AppendUvarint(b, uint64(o.names))
	b = binary.AppendUvarint(b, uint64(len(servers)-o.names))
	for _, s := range servers[o.names:] {
		b = appendName(b, s.id)
	}
	for len(o.acked) < len(servers) {
		o.acked = append(o.acked, load{})
	}
	next := 0
	for i, s := range servers {
		l := loadAt(i, s).clamped()
		if l == o.acked[i] {
			continue
		}
		b = binary.AppendUvarint(b, uint64(i-next))
		b = binary.AppendUvarint(b, uint64(l.requests))
		b = binary.AppendUvarint(b, uint64(l.units))
		next = i + 1
		o.acked[i] = l
		o.pending = append(o.pending, i)
	}
	o.pendNames = len(servers)
	return b
}

// renumber adapts the link to new positions of this tracker.
func (l *link) renumber(moved []int) {
	for i, position := range l.in.positions {
		if position >= 0 {
			l.in.positions[i] = moved[position]
		}
	}
	l.in.reported, l.in.part = movedLoads(l.in.reported, moved), movedLoads(l.in.part, moved)
	l.out.reset()
}

func movedLoads(loads []load, moved []int) []load {
	result := make([]load, 0, len(loads))
	for i, value := range loads {
		if to := moved[i]; to >= 0 {
			for len(result) <= to {
				result = append(result, load{})
			}
			result[to] = value
		}
	}
	return result
}

// merge applies a message to the part of a link, and adds each change of it to the servers'
// sums by add. The loads are those of the time at, or later.
func (t *Tracker) merge(l *link, h header, r *reader, at time.Time, add func(s *Server, change load)) error {
	in := &l.in
	switch {
	case h.number == 0 || (h.epoch == in.epoch && h.number <= in.number):
		return errors.New("message with loads is older than one before")
	case h.base != 0 && (h.epoch != in.epoch || in.number < h.base):
		return ErrUnknownBase
	case h.base == 0:
		t.clear(l, add)
		in.positions = in.positions[:0]
	}
	first, named := int(r.uvarint(maxServers)), int(r.uvarint(maxServers))
	if r.err != nil || first > len(in.positions) || first+named > maxServers || len(t.servers)+named > 2*maxServers {
		return errMalformed
	}
	in.positions = in.positions[:first]
	for range named {
		id := r.name()
		if r.err != nil {
			return r.err
		}
		in.positions = append(in.positions, t.server(id).position)
	}
	in.epoch, in.number, in.age, in.at = h.epoch, h.number, h.age, at
	// A load that is said to be that of more routers than there are must not be plausible.
	in.routers = min(h.routers, max(t.fleet, 1))
	err := t.readChanges(in, r)
	t.count(l, add)
	return err
}

// readChanges applies the changed loads of a message to what is reported.
func (t *Tracker) readChanges(in *inbound, r *reader) error {
	for next := 0; len(r.rest) > 0; next++ {
		next += int(r.uvarint(maxServers))
		l := load{int32(r.uvarint(maxRequests)), int32(r.uvarint(maxUnits))}
		if r.err != nil || next >= len(in.positions) {
			in.number = 0 // all has to be sent again
			return errMalformed
		}
		position := in.positions[next]
		if position < 0 {
			in.number = 0
			return ErrUnknownBase
		}
		for len(in.reported) <= position {
			in.reported, in.part = append(in.reported, load{}), append(in.part, load{})
		}
		in.reported[position] = l
	}
	return nil
}

// count brings the servers' sums in line with what a router has reported.
func (t *Tracker) count(l *link, add func(s *Server, change load)) {
	in := &l.in
	total := 0.0
	in.empty = true
	for _, value := range in.reported {
		total += value.cost()
		in.empty = in.empty && value == load{}
	}
	weight := 1.0
	if limit := t.plausible(l); l != t.parent && l != t.trial && total > limit {
		weight = limit / total
	}
	for position, value := range in.reported {
		if weight < 1 {
			value = load{int32(weight * float64(value.requests)), int32(weight * float64(value.units))}
		}
		if value != in.part[position] {
			add(t.servers[position], value.minus(in.part[position]))
			in.part[position] = value
		}
	}
}

// plausible returns up to which load, in requests, counts of the part of a router, which
// may include those behind it. It limits the effect of false reports: more count only in
// proportion. A router that all callers of a large account use has several times the mean.
func (t *Tracker) plausible(l *link) float64 {
	sum, routers := 0.0, 1.0 // of all others, with this one
	for _, s := range t.servers {
		sum += s.own().plus(s.above).plus(s.below).cost()
	}
	for _, part := range l.in.part {
		sum -= part.cost()
	}
	for _, child := range t.children {
		if child != l {
			routers += float64(child.in.routers)
		}
	}
	if t.parent != nil {
		routers += float64(t.parent.in.routers)
	}
	behind := float64(max(l.in.routers, 1))
	return plausibleLoad + max(sum, 0)/routers*(behind+plausibleExcess*math.Sqrt(behind))
}

// clear removes the part of a link from the servers' sums. A later message cannot add to
// it.
func (t *Tracker) clear(l *link, add func(s *Server, change load)) {
	for position, part := range l.in.part {
		if part != (load{}) {
			add(t.servers[position], load{}.minus(part))
		}
	}
	l.in.part, l.in.reported, l.in.number = l.in.part[:0], l.in.reported[:0], 0
}

func addAbove(s *Server, change load) { s.above = s.above.plus(change) }
func addBelow(s *Server, change load) { s.below = s.below.plus(change) }

// expire drops the parts of routers that have not reported for long.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.expiredAt) < expirePeriod {
		return
	}
	t.expiredAt = now
	for name, child := range t.children {
		limit := partExpiry
		if child.in.empty {
			limit = idlePartExpiry
		}
		if now.Sub(child.in.at) > limit {
			t.clear(child, addBelow)
			delete(t.children, name)
			t.summarize(now)
		}
	}
	if t.parent != nil && now.Sub(t.parent.in.at) > staleAge {
		t.dropParent()
	}
}

func (t *Tracker) dropParent() {
	if t.parent != nil {
		t.clear(t.parent, addAbove)
		t.parent = nil
		t.summarize(t.now())
	}
}
