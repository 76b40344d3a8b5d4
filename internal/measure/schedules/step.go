package schedules

import (
	"context"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
)

// action is one kind of step and how often it is taken.
type action struct {
	name   string
	weight int
	do     func(m *model)
}

var actions = []action{
	{"request", 24, (*model).request},
	{"begin", 20, onRouter((*router).begin)},
	{"finish", 16, onSide((*side).finishRun)},
	{"settle", 8, onSide((*side).settle)},
	{"resolve", 6, onRouter((*router).resolve)},
	{"tick", 16, (*model).tick},
	{"side acknowledges", 8, onOnlineSide((*side).acknowledgeSeals)},
	{"router acknowledges", 8, onOnlineRouter((*router).acknowledgeSeals)},
	{"plan closes", 6, onOnlineRouter((*router).planCloses)},
	{"write closes", 4, onOnlineRouter((*router).writeCloses)},
	{"late message", 6, (*model).lateMessage},
	{"top-up", 2, (*model).topUp},
	{"cut", 5, (*model).cut},
	{"outage", 1, (*model).outage},
	{"heal", 6, (*model).heal},
	{"pause", 2, (*model).pause},
	{"wake", 3, (*model).wake},
	{"die", 1, (*model).die},
	{"list", 2, (*model).list},
	{"seal", 2, (*model).seal},
	{"destroyed", 1, (*model).destroyed},
	{"read", 6, (*model).read},
	{"checkpoint", 2, (*model).checkpoint},
}

var totalWeight = func() (total int) {
	for _, a := range actions {
		total += a.weight
	}
	return total
}()

// step takes one random step and returns its name.
func (m *model) step() string {
	n := m.rng.IntN(totalWeight)
	for _, a := range actions {
		if n < a.weight {
			a.do(m)
			return a.name
		}
		n -= a.weight
	}
	return ""
}

func onRouter(do func(*router)) func(*model) {
	return func(m *model) {
		if r := m.anyRouter(); r.active() {
			do(r)
		}
	}
}

func onOnlineRouter(do func(*router)) func(*model) {
	return func(m *model) {
		if r := m.anyRouter(); r.online() {
			do(r)
		}
	}
}

func onSide(do func(*side)) func(*model) {
	return func(m *model) {
		if s := m.anySide(); s.active() {
			do(s)
		}
	}
}

func onOnlineSide(do func(*side)) func(*model) {
	return func(m *model) {
		if s := m.anySide(); s.online() {
			do(s)
		}
	}
}

func (m *model) anyRouter() *router { return m.routers[m.rng.IntN(len(m.routers))] }
func (m *model) anySide() *side     { return m.sides[m.rng.IntN(len(m.sides))] }

func (m *model) router(i ident.Incarnation) *router {
	for _, r := range m.routers {
		if r.self == i {
			return r
		}
	}
	return nil
}

// anyProcess returns a router or a side process.
func (m *model) anyProcess() *process {
	n := m.rng.IntN(len(m.routers) + len(m.sides))
	if n < len(m.routers) {
		return m.routers[n].process
	}
	return m.sides[n-len(m.routers)].process
}

func (m *model) request() {
	r := m.anyRouter()
	if !r.active() {
		return
	}
	if m.keys == 0 || !m.chance(10) {
		m.keys++
	}
	var key ident.Key
	binary.BigEndian.PutUint64(key[:], uint64(m.keys))
	r.request(key, 1+m.rng.Int64N(100))
}

func (m *model) tick() {
	m.now = m.now.Add(time.Duration(m.rng.IntN(40_000)) * time.Millisecond)
	if r := m.anyRouter(); r.active() {
		r.flush()
		r.grants.Tick(context.Background())
	}
}

func (m *model) lateMessage() {
	if len(m.late) == 0 {
		return
	}
	i := m.rng.IntN(len(m.late))
	deliver := m.late[i]
	m.late = append(m.late[:i], m.late[i+1:]...)
	deliver()
}

func (m *model) topUp() {
	if !m.chance(20) { // else the same one is sent again
		m.topUps++
	}
	m.author.submit(mustRecord(ledger.KindTopUp, ledger.TopUp{
		Team: team, ID: strconv.Itoa(m.topUps), Tokens: m.scale * (200 + int64(m.topUps%3)*100), Author: "operator",
	}))
	for _, r := range m.routers {
		if r.online() {
			m.author = r.process
		}
	}
}

// deliver brings the end of a run to its router, if it can.
func (m *model) deliver(r *run) {
	owner := m.router(r.router)
	if owner == nil || !r.side.reaches(owner.process) || owner.view.sealed[r.side.self] {
		return
	}
	for _, a := range owner.copies {
		if a.run == r {
			owner.see(a)
		}
	}
}

func (m *model) cut() {
	p := m.anyProcess()
	if m.chance(50) {
		p.cut = true
		return
	}
	m.cuts[linkOf(p.self, m.anyProcess().self)] = true
}

// outage cuts everybody off from the log service.
func (m *model) outage() {
	for _, p := range m.processes() {
		p.cut = true
	}
}

func (m *model) heal() {
	if m.chance(30) {
		for _, p := range m.processes() {
			p.cut = false
		}
		return
	}
	if m.chance(50) {
		m.anyProcess().cut = false
		return
	}
	clear(m.cuts)
}

func (m *model) pause() {
	m.anyProcess().paused = true
}

func (m *model) wake() {
	m.anyProcess().paused = false
}

// die ends a process; another life takes its place.
func (m *model) die() {
	p := m.anyProcess()
	if p.dead || len(m.routers)+len(m.sides) > 12 {
		return
	}
	p.dead = true
	m.replace(p)
}

func (m *model) replace(p *process) {
	for _, r := range m.routers {
		if r.process == p {
			m.startRouter()
			return
		}
	}
	m.startSide()
}

// list lets a life disappear from the VM list: often one that still runs.
func (m *model) list() {
	m.listed[m.anyProcess().self] = false
}

// seal lets some process seal a life that is gone from the VM list.
func (m *model) seal() {
	p, by := m.anyProcess(), m.anyProcess()
	if !by.online() || m.listed[p.self] || by.view.sealed[p.self] {
		return
	}
	by.tell(seal, p.self)
	if !p.dead {
		m.replace(p)
	}
}

// destroyed is an operator's true statement on a dead life.
func (m *model) destroyed() {
	if by := m.anyRouter(); by.online() {
		m.state(by.process)
	}
}

// state writes which lives were destroyed.
func (m *model) state(by *process) {
	by.view.follow(m.fleet)
	for _, p := range m.processes() {
		if p.dead && !by.view.dead[p.self] && !by.view.gone[p.self] {
			by.tell(destroyed, p.self)
		}
	}
}

func (m *model) processes() []*process {
	var list []*process
	for _, r := range m.routers {
		list = append(list, r.process)
	}
	for _, s := range m.sides {
		list = append(list, s.process)
	}
	return list
}

func (m *model) read() {
	if p := m.anyProcess(); p.online() {
		p.flush()
		p.view.follow(m.fleet)
	}
}

// checkpoint replaces the folds of the twin and of one process by what their
// checkpoint gives.
func (m *model) checkpoint() {
	m.twin = reload(m.twin)
	p := m.anyProcess()
	p.fold = reload(p.fold)
	if p.online() {
		p.submit(mustRecord(ledger.KindCheckpoint, []byte("chunk")))
	}
}

func reload(s *ledger.State) *ledger.State {
	raw, err := s.Snapshot()
	if err != nil {
		panic(err)
	}
	loaded, err := ledger.Load(raw)
	if err != nil {
		panic(err)
	}
	return loaded
}
