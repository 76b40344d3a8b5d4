package loadview

import (
	"time"

	"github.com/pkg/errors"
)

// Due reports whether this router has something to report or needs a newer view: requests
// have begun since the last report, or a router that reports to it is active, or its load
// is about to expire.
func (t *Tracker) Due() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	if t.began {
		return true
	}
	loaded := false
	for i, s := range t.servers {
		l := s.own().plus(s.below).clamped()
		if t.parent != nil && t.parent.out.ackedAt(i) != l {
			return true
		}
		loaded = loaded || l != load{}
	}
	return loaded && (t.parent == nil || now.Sub(t.parent.in.at) >= keepAlive)
}

// Report returns the message to a router that this one reports to: the load of its own
// requests and of those that report to it. Accept or Failed must follow.
func (t *Tracker) Report(parent string) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	t.began = false
	l := t.parent
	if l == nil || l.peer != parent {
		l = &link{peer: parent}
	}
	t.trial, t.reportedAt = l, now
	sum, routers := t.sumAges(now, nil)
	routers++ // this one
	t.number++
	h := header{epoch: t.epoch, number: t.number, ackEpoch: l.in.epoch, ack: l.in.number, age: min(sum/time.Duration(routers), staleAge), routers: routers}
	return l.out.write(h, t.servers, func(_ int, s *Server) load { return s.own().plus(s.below) })
}

// Accept applies the reply to the last report.
func (t *Tracker) Accept(reply []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.trial
	if l == nil {
		return errors.New("reply without a report")
	}
	t.trial = nil
	now := t.now()
	r := &reader{rest: reply}
	h := r.header()
	if r.err != nil {
		l.out.lost()
		return r.err
	}
	if h.number == 0 { // the receiver could not use the report
		l.out.reset()
		return ErrUnknownBase
	}
	if h.ackEpoch == t.epoch && h.ack == l.out.number {
		l.out.confirm()
	} else {
		l.out.reset()
	}
	if l != t.parent {
		t.dropParent()
		t.parent = l
	}
	// The reply may have waited for long if this router was frozen. Its age counts from the
	// report, so that such a reply is not taken for new.
	err := t.merge(l, h, r, t.reportedAt, addAbove)
	if err != nil {
		l.in.number = 0 // asks for everything
	}
	t.summarize(now)
	t.measureRatio(now)
	return err
}

// Failed records that the last report got no reply.
func (t *Tracker) Failed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.trial != nil {
		t.trial.out.lost()
		t.trial = nil
	}
}

// Alone records that no router can be reached to report to. If others report to this one,
// they may include routers whose loads the last parent reported, so these are dropped after
// aloneAfter.
func (t *Tracker) Alone() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.began = false
	now := t.now()
	if t.parent != nil && len(t.children) > 0 && now.Sub(t.parent.in.at) > aloneAfter {
		t.dropParent()
		t.measureRatio(now)
	}
}

// Serve applies the report of another router, and returns the reply: the load of all other
// routers that this one knows of.
func (t *Tracker) Serve(from string, report []byte) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	r := &reader{rest: report}
	h := r.header()
	if r.err != nil {
		return nil, r.err
	}
	if len(from) > maxNameBytes {
		return nil, errors.New("name of a router is too long")
	}
	child := t.children[from]
	if child == nil {
		if len(t.children) >= maxChildren {
			return nil, errors.New("too many routers report their loads")
		}
		child = &link{peer: from}
		t.children[from] = child // expires soon if the report cannot be used
	}
	defer func() {
		t.summarize(now)
		if t.parent == nil && now.Sub(t.ratioAt) >= ratioPeriod {
			t.measureRatio(now) // otherwise done with the parent's replies
		}
	}()
	if err := t.merge(child, h, r, now, addBelow); errors.Is(err, ErrUnknownBase) {
		return header{epoch: t.epoch}.append(nil), nil // number 0: all has to be sent again
	} else if err != nil {
		return nil, err
	}
	switch out := &child.out; {
	case h.ackEpoch != t.epoch || h.ack == 0:
		out.reset()
	case h.ack == out.number:
		out.confirm()
	case h.ack == out.confirmed:
		out.lost()
	default:
		out.reset()
	}
	sum, routers := t.sumAges(now, child)
	routers++ // this one
	if t.parent != nil {
		sum += time.Duration(t.parent.in.routers) * t.parent.in.ageAt(now)
		routers += t.parent.in.routers
	}
	t.number++
	reply := header{epoch: t.epoch, number: t.number, ackEpoch: h.epoch, ack: h.number, age: min(sum/time.Duration(routers), staleAge), routers: routers}
	return child.out.write(reply, t.servers, func(i int, s *Server) load {
		return s.above.plus(s.own()).plus(s.below).minus(child.in.load(i))
	}), nil
}
