package schedules

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/budget"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/wire"
)

var errLost = errors.New("no reply")

// router is a router with its real grants and a model of its witness copies.
type router struct {
	*process
	grants  *budget.Grants
	waiting []*attempt // reserved, begin not sent yet
	held    []*attempt // begin sent, outcome unknown
	copies  []*attempt // begun, not settled in its fold
	closes  []ident.Incarnation
}

// attempt is one request at a router.
type attempt struct {
	key         ident.Key
	reservation budget.Reservation
	side        *side
	run         *run
	usage       int64 // as seen; final if whole
	whole       bool
	freed       bool         // the reservation was settled
	begun       ident.Offset // of this router's fold, before the begin was sent
	offered     bool         // its settlement was submitted from the copy
}

func (m *model) startRouter() {
	r := &router{process: m.newProcess(registerRouter)}
	r.grants = budget.New(budget.Config{
		Self: r.self, DataCentre: "dc", Ledger: r, Fleet: r, Peers: r, Logger: zerolog.Nop(),
		Policy: func(ident.TeamID) budget.Policy { return budget.Policy{Horizon: 10 * time.Minute, Caution: 0.5} },
		Now:    func() time.Time { return m.now },
		Launch: func(task func()) { task() },
	})
	m.routers = append(m.routers, r)
}

// Submit is budget.Ledger.
func (r *router) Submit(_ context.Context, _ ident.TeamID, records ...record.Record) ([]ledger.Verdict, error) {
	verdicts, ok := r.submit(records...)
	if !ok {
		return nil, errLost
	}
	return verdicts, nil
}

// View is budget.Ledger.
func (r *router) View(_ ident.TeamID, read func(*ledger.State)) {
	read(r.fold)
}

// Routers is budget.Fleet.
func (r *router) Routers() []budget.Router {
	var list []budget.Router
	for _, i := range r.view.routers {
		if !r.view.sealed[i] && !r.view.gone[i] {
			list = append(list, budget.Router{Incarnation: i, DataCentre: "dc"})
		}
	}
	return list
}

// Sealed is budget.Fleet.
func (r *router) Sealed(i ident.Incarnation) bool {
	return r.view.sealed[i] || r.view.gone[i]
}

// Closed is budget.Fleet.
func (r *router) Closed(i ident.Incarnation) bool {
	return r.view.holderFree(i, RuleProof)
}

// Borrow is budget.Peers. Requests may arrive late and replies be lost.
func (r *router) Borrow(_ context.Context, to ident.Incarnation, args wire.BorrowArgs) (wire.BorrowReply, error) {
	lender := r.m.router(to)
	if lender == nil || !r.reaches(lender.process) {
		return wire.BorrowReply{}, errLost
	}
	if r.m.chance(10) {
		r.m.late = append(r.m.late, func() {
			if lender.active() {
				lender.grants.Borrow(args)
			}
		})
		return wire.BorrowReply{}, errLost
	}
	reply := lender.grants.Borrow(args)
	if r.m.chance(15) {
		return wire.BorrowReply{}, errLost
	}
	return reply, nil
}

// Repay is budget.Peers.
func (r *router) Repay(_ context.Context, to ident.Incarnation, args wire.RepayArgs) (wire.RepayReply, error) {
	lender := r.m.router(to)
	if lender == nil || !r.reaches(lender.process) {
		return wire.RepayReply{}, errLost
	}
	lender.grants.Repay(args)
	if r.m.chance(30) {
		r.m.late = append(r.m.late, func() { lender.grants.Repay(args) })
		return wire.RepayReply{}, errLost
	}
	return wire.RepayReply{}, nil
}

// request reserves tokens for a new attempt.
func (r *router) request(key ident.Key, bound int64) {
	reservation, refused := r.grants.TryAcquire(context.Background(), team, bound)
	if refused != nil {
		return
	}
	s := r.m.sides[r.m.rng.IntN(len(r.m.sides))]
	r.waiting = append(r.waiting, &attempt{key: key, reservation: reservation, side: s})
}

// begin sends the oldest waiting attempt to its gate.
func (r *router) begin() {
	if len(r.waiting) == 0 {
		return
	}
	a := r.waiting[0]
	r.waiting = r.waiting[1:]
	if r.view.sealed[a.side.self] {
		r.free(a, 0)
		return
	}
	a.begun = r.fold.Offset()
	message := beginning{
		router: r.self, holder: a.reservation.Holder(), gate: a.side.self,
		key: a.key, bound: a.reservation.Tokens(), fleetAt: r.view.read,
	}
	r.grants.MarkUnresolved(a.reservation)
	if !r.reaches(a.side.process) || r.m.chance(15) {
		r.held = append(r.held, a)
		r.m.late = append(r.m.late, func() { a.side.begin(message) })
		return
	}
	started := a.side.begin(message)
	if r.m.chance(15) {
		r.held = append(r.held, a)
		return
	}
	r.learn(a, started)
}

// learn takes over what the gate said of an attempt.
func (r *router) learn(a *attempt, started *run) {
	if started == nil || started.router != r.self {
		// Not started, or another router's run of the key: that one pays.
		r.free(a, 0)
		return
	}
	a.run = started
	r.copies = append(r.copies, a)
	r.see(a)
}

// free settles the reservation of an attempt once.
func (r *router) free(a *attempt, used int64) {
	if a.freed {
		return
	}
	a.freed = true
	r.grants.Settle(a.reservation, used)
}

// billed returns what the ledger shows that an attempt cost: the tokens of its
// run, zero if it was not billed, the whole bound if that is forgotten. A run
// without a number is known by its gate.
func (r *router) billed(a *attempt, run ident.RunID) int64 {
	if r.m.options.Fault == FaultHeldForNothing {
		return 0
	}
	bill, known := r.fold.BillFor(a.key)
	if !known && a.begun < r.fold.BillHorizon() {
		return a.reservation.Tokens()
	}
	if !known || bill.Run.Gate != run.Gate || run.Number != 0 && bill.Run != run {
		return 0
	}
	return bill.Tokens
}

// see reads the run's answer as far as it goes.
func (r *router) see(a *attempt) {
	if !a.run.over {
		a.usage = max(a.usage, r.m.rng.Int64N(a.run.actual+1))
		return
	}
	a.usage = a.run.actual
	a.whole = true
	a.run.delivered = true
	r.free(a, a.usage)
}

// resolve asks the gates about held attempts and resumes answers.
func (r *router) resolve() {
	held := r.held
	r.held = nil
	for _, a := range held {
		switch {
		case r.fold.Closed(a.side.self):
			r.free(a, r.billed(a, ident.RunID{Gate: a.side.self}))
		case r.view.sealed[a.side.self] || !r.reaches(a.side.process):
			r.held = append(r.held, a)
		default:
			r.learn(a, a.side.sealKey(a.key))
		}
	}
	for _, a := range r.copies {
		if !a.whole && !r.view.sealed[a.side.self] && r.reaches(a.side.process) {
			r.see(a)
		}
	}
}
