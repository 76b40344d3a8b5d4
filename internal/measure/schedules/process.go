package schedules

import (
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
)

// process is what routers and side processes have in common: a life, followers
// of the streams, and a writer that retries the same identity.
type process struct {
	m      *model
	self   ident.Incarnation
	dead   bool
	paused bool
	cut    bool // from the log service
	fold   *ledger.State
	view   *fleetFold
	seq    uint64
	outbox [][]byte // batches not yet read back, oldest first
}

func (m *model) newProcess(kind fleetKind) *process {
	m.fleet = append(m.fleet, fleetEvent{kind: kind})
	p := &process{m: m, self: ident.Incarnation(len(m.fleet)), fold: ledger.New(0, 1), view: newFleetFold()}
	m.listed[p.self] = true
	if kind == registerRouter {
		p.view.follow(m.fleet)
	}
	return p
}

// runs reports whether the process can act now.
func (p *process) active() bool {
	return !p.dead && !p.paused
}

// online reports whether it can act and reach the log service.
func (p *process) online() bool {
	return p.active() && !p.cut
}

// followLedger reads the ledger to its end.
func (p *process) followLedger() {
	for offset := p.fold.Offset() + 1; int(offset) < len(p.m.log); offset++ {
		p.fold.Apply(offset, p.m.log[offset].data)
	}
}

// submit appends records. ok is false if the outcome is unknown; the batch is
// then retried by flush.
func (p *process) submit(records ...record.Record) (verdicts []ledger.Verdict, ok bool) {
	p.flush()
	p.seq++
	data, err := record.Marshal(record.Batch{Identity: record.Identity{Writer: p.self, Sequence: p.seq}, Records: records})
	if err != nil {
		panic(err)
	}
	p.outbox = append(p.outbox, data)
	offset := ident.Offset(len(p.m.log))
	if len(p.outbox) > 1 || !p.online() || !p.write(data) {
		return nil, false
	}
	for at := p.fold.Offset() + 1; at < offset; at++ {
		p.fold.Apply(at, p.m.log[at].data)
	}
	verdicts = p.fold.Apply(offset, data)
	p.followLedger()
	return verdicts, true
}

// write appends the oldest batch of the outbox. The reply may be lost before
// or after the write, and the service may write it twice.
func (p *process) write(data []byte) bool {
	if p.m.chance(5) {
		return false
	}
	p.m.append(data)
	if p.m.chance(5) {
		p.m.append(data)
	}
	if p.m.chance(10) {
		return false
	}
	p.outbox = p.outbox[1:]
	return true
}

// flush retries what is unknown.
func (p *process) flush() {
	for len(p.outbox) > 0 && p.online() {
		if !p.write(p.outbox[0]) {
			return
		}
	}
	if p.online() {
		p.followLedger()
	}
}

// tell appends an event to the fleet stream.
func (p *process) tell(kind fleetKind, subject ident.Incarnation) {
	p.m.fleet = append(p.m.fleet, fleetEvent{kind: kind, subject: subject, author: p.self})
	p.view.follow(p.m.fleet)
}

// reaches reports whether a message gets from p to q now.
func (p *process) reaches(q *process) bool {
	return p.active() && q.active() && !p.m.cuts[linkOf(p.self, q.self)]
}

func mustRecord(kind record.Kind, body any) record.Record {
	r, err := record.New(kind, body)
	if err != nil {
		panic(err)
	}
	return r
}
