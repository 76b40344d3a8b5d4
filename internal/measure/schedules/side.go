package schedules

import (
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
)

// run is one run at a gate.
type run struct {
	id        ident.RunID
	key       ident.Key
	router    ident.Incarnation
	holder    ident.Incarnation
	bound     int64
	actual    int64 // what it uses once it is over
	over      bool
	delivered bool // a router has the whole answer
	side      *side
}

// side is a side process with its gate.
type side struct {
	*process
	number uint64
	keys   map[ident.Key]*run
	shut   map[ident.Key]bool // sealed keys
	owed   []*run             // over, not yet in a batch
	open   []*run             // in progress, or over and not settled in its fold
}

func (m *model) startSide() {
	m.sides = append(m.sides, &side{
		process: m.newProcess(registerSide),
		keys:    map[ident.Key]*run{},
		shut:    map[ident.Key]bool{},
	})
}

// beginning is the message that asks a gate to start a run.
type beginning struct {
	router  ident.Incarnation
	holder  ident.Incarnation
	gate    ident.Incarnation
	key     ident.Key
	bound   int64
	fleetAt int
}

// begin starts a run, or returns the run of the key. Nil means not started.
func (s *side) begin(b beginning) *run {
	ready := s.view.read >= int(s.self) // it has read its own registration
	if !s.active() || b.gate != s.self || !ready && s.m.options.Fault != FaultUnread {
		return nil
	}
	if b.fleetAt > s.view.read && s.m.options.Fault != FaultUnread {
		if s.cut {
			return nil
		}
		s.view.follow(s.m.fleet)
	}
	if r := s.keys[b.key]; r != nil {
		return r
	}
	if s.shut[b.key] || s.refuses(b) {
		return nil
	}
	s.number++
	r := &run{
		id:     ident.RunID{Gate: s.self, Number: s.number},
		key:    b.key,
		router: b.router,
		holder: b.holder,
		bound:  b.bound,
		actual: s.m.rng.Int64N(b.bound + 1),
		side:   s,
	}
	s.keys[b.key] = r
	s.open = append(s.open, r)
	s.m.runs[r.id] = r
	return r
}

func (s *side) refuses(b beginning) bool {
	if s.m.options.Fault == FaultGateIgnores {
		return false
	}
	return s.view.sealed[b.router] || s.view.sealed[b.holder] || s.view.sealed[s.self]
}

// sealKey returns the run of a key, or makes sure that there will be none.
func (s *side) sealKey(key ident.Key) *run {
	if r := s.keys[key]; r != nil {
		return r
	}
	s.shut[key] = true
	return nil
}

// finishRun lets one run end.
func (s *side) finishRun() {
	for _, r := range s.open {
		if !r.over && s.m.chance(60) {
			r.over = true
			s.owed = append(s.owed, r)
			s.m.deliver(r)
			return
		}
	}
}

// settle writes the runs that are over.
func (s *side) settle() {
	s.flush()
	if len(s.owed) == 0 {
		return
	}
	var records []record.Record
	floor := s.floor()
	for _, r := range s.owed {
		records = append(records, r.settlement(r.actual, floor))
	}
	s.owed = nil
	s.submit(records...)
}

// floor is the lowest number of a run that is in progress.
func (s *side) floor() uint64 {
	floor := s.number + 1
	for _, r := range s.open {
		if !r.over {
			floor = min(floor, r.id.Number)
		}
	}
	return floor
}

func (r *run) settlement(tokens int64, floor uint64) record.Record {
	return mustRecord(ledger.KindSettle, ledger.Settle{
		Team: team, Holder: r.holder, Router: r.router, Run: r.id, Key: r.key, Tokens: tokens, LowestUnsettled: floor,
	})
}

// acknowledgeSeals acknowledges the seals of which nothing is left here.
func (s *side) acknowledgeSeals() {
	s.flush()
	s.view.follow(s.m.fleet)
	s.forgetSettled()
	for _, sealed := range s.view.routers {
		ack := ackOf{by: s.self, sealed: sealed}
		if s.view.sealed[sealed] && !s.view.acks[ack] && (s.clear(sealed) || s.m.options.Fault == FaultEarlyAck) {
			s.tell(acknowledge, sealed)
		}
	}
	if s.view.sealed[s.self] && len(s.open) == 0 && !s.view.gone[s.self] {
		s.tell(deregister, s.self)
		s.dead = true
	}
}

func (s *side) forgetSettled() {
	var open []*run
	for _, r := range s.open {
		if !r.over || !s.fold.Settled(r.id) {
			open = append(open, r)
		}
	}
	s.open = open
}

// clear reports whether nothing of a router is in progress or unsettled.
func (s *side) clear(router ident.Incarnation) bool {
	for _, r := range s.open {
		if r.router == router || r.holder == router {
			return false
		}
	}
	return true
}
