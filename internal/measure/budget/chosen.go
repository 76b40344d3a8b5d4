package budget

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	grants "github.com/camphorlever/camphorlever/internal/budget"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/wire"
)

var errCut = errors.New("cut off")

// operator writes the top-ups; side processes follow the routers.
const (
	operator  ident.Incarnation = 1
	firstLife ident.Incarnation = 10
	firstSide ident.Incarnation = 100
)

// chosen drives the fleet's own grants over its own ledger fold.
type chosen struct {
	w       *world
	state   *ledger.State
	frozen  *ledger.State // what the cut-off data centre last read
	seq     map[ident.Incarnation]uint64
	routers []*grants.Grants
	owed    [][]record.Record            // settlements not yet written, by side process
	runs    []uint64                     // numbered, by side process
	unsent  [routerCount][]record.Record // returns, by router
	appends traffic                      // before the first fault
	refused *refusal.Refusal             // of the last request
}

// settleDelay is how long a side process gathers settlements.
const settleDelay = 200 * time.Millisecond

// traffic counts appends and their bytes by reason.
type traffic struct {
	appends map[record.Kind]int
	bytes   int
}

func newChosen(s *scenario, policy grants.Policy) *chosen {
	c := &chosen{
		state: ledger.New(0, 1),
		seq:   map[ident.Incarnation]uint64{},
		owed:  make([][]record.Record, s.d.sides),
		runs:  make([]uint64, s.d.sides),

		appends: traffic{appends: map[record.Kind]int{}},
	}
	var teams []ident.TeamID
	for team := range s.d.teams {
		teams = append(teams, teamName(team))
	}
	for router := range routerCount {
		port := &port{c: c, router: router}
		c.routers = append(c.routers, grants.New(grants.Config{
			Self:       firstLife + ident.Incarnation(router),
			DataCentre: siteName(siteOf(router)),
			Ledger:     port,
			Fleet:      port,
			Peers:      port,
			Policy:     func(ident.TeamID) grants.Policy { return policy },
			Teams:      func() []ident.TeamID { return teams },
			Logger:     zerolog.Nop(),
			Now:        func() time.Time { return time.Unix(1e9, 0).Add(c.w.now) },
			Launch:     func(task func()) { task() },
		}))
	}
	return c
}

func teamName(team int) ident.TeamID       { return ident.TeamID(fmt.Sprintf("team-%d", team)) }
func siteName(site int) ident.DataCentreID { return ident.DataCentreID(fmt.Sprintf("dc-%d", site)) }

// write appends a batch and returns the fold's verdicts.
func (c *chosen) write(writer ident.Incarnation, records []record.Record) []ledger.Verdict {
	c.seq[writer]++
	data, err := record.Marshal(record.Batch{
		Identity: record.Identity{Writer: writer, Sequence: c.seq[writer]},
		Records:  records,
	})
	if err != nil {
		panic(err)
	}
	if c.w.now < faultStart {
		c.appends.appends[records[0].Kind]++
		c.appends.bytes += len(data)
	}
	return c.state.Apply(c.state.Offset()+1, data)
}

func (c *chosen) publish(w *world, t topUp) {
	c.w = w
	id := fmt.Sprintf("%d-%s", t.team, t.at)
	c.write(operator, []record.Record{newRecord(ledger.KindTopUp, ledger.TopUp{Team: teamName(t.team), ID: id, Tokens: t.tokens})})
}

func newRecord(kind record.Kind, body any) record.Record {
	r, err := record.New(kind, body)
	if err != nil {
		panic(err)
	}
	return r
}

func (c *chosen) tick(w *world) {
	c.w = w
	if w.now > time.Minute && w.now < min(faultStart, w.s.paused.from) {
		c.expose()
	}
	c.freeze()
	for side := range c.owed {
		c.settle(side)
	}
	for router, g := range c.routers {
		c.resend(router)
		if !w.s.asleep(router, w.now) {
			g.Tick(context.Background())
		}
	}
}

// resend writes the returns that could not be sent: a writer repeats a batch
// until it has read it back.
func (c *chosen) resend(router int) {
	if len(c.unsent[router]) > 0 && c.w.s.logReaches(siteOf(router), c.w.now) {
		c.write(firstLife+ident.Incarnation(router), c.unsent[router])
		c.unsent[router] = nil
	}
}

// settle writes what a side process owes, if it reaches the log.
func (c *chosen) settle(side int) {
	s := c.w.s
	site := side / (s.d.sides / dataCentres)
	if len(c.owed[side]) == 0 || !s.logReaches(site, c.w.now) {
		return
	}
	c.write(firstSide+ident.Incarnation(side), c.owed[side])
	c.owed[side] = nil
}

// expose notes which part of what is left the router with the most holds.
func (c *chosen) expose() {
	var most, left int64
	for team := range c.w.left {
		b := c.state.Budget(teamName(team))
		left += b.Free + b.Outstanding
	}
	for _, g := range c.routers {
		var held int64
		for team := range c.w.left {
			for _, h := range g.Balances(teamName(team)) {
				held += h.Free
			}
		}
		most = max(most, held)
	}
	c.w.ticks++
	c.w.exposed += float64(most) / float64(max(left, 1))
}

// freeze keeps the state that a cut-off data centre sees.
func (c *chosen) freeze() {
	if !c.w.s.cut.has(c.w.now) {
		c.frozen = nil
		return
	}
	if c.frozen != nil {
		return
	}
	raw, err := c.state.Snapshot()
	if err != nil {
		panic(err)
	}
	if c.frozen, err = ledger.Load(raw); err != nil {
		panic(err)
	}
}

func (c *chosen) admit(w *world, router int, r *request) (ticket, bool) {
	c.w = w
	g := c.routers[router]
	exact := func(context.Context) (int64, error) { return r.prompt, nil }
	bound := g.Bound(context.Background(), teamName(r.team), r.loose, r.limit, exact)
	reservation, refused := g.TryAcquire(context.Background(), teamName(r.team), bound)
	c.refused = refused
	return reservation, refused == nil
}

// waits is patient.
func (c *chosen) waits(w *world, router int, r *request) bool {
	return c.routers[router].ShouldWait(teamName(r.team), c.refused, w.now-r.at)
}

func (c *chosen) finish(w *world, router int, r *request, t ticket) {
	c.w = w
	reservation := t.(grants.Reservation)
	c.routers[router].Settle(reservation, r.cost())
	if len(c.owed[r.side]) == 0 {
		w.after(settleDelay, func() { c.settle(r.side) })
	}
	c.runs[r.side]++
	run := ident.RunID{Gate: firstSide + ident.Incarnation(r.side), Number: c.runs[r.side]}
	c.owed[r.side] = append(c.owed[r.side], newRecord(ledger.KindSettle, ledger.Settle{
		Team: teamName(r.team), Holder: reservation.Holder(), Router: firstLife + ident.Incarnation(router),
		Run: run, Tokens: r.cost(), LowestUnsettled: run.Number,
	}))
}

// port is one router's access to the log and the others.
type port struct {
	c      *chosen
	router int
}

func (p *port) site() int { return siteOf(p.router) }

func (p *port) Submit(_ context.Context, _ ident.TeamID, records ...record.Record) ([]ledger.Verdict, error) {
	if !p.c.w.s.logReaches(p.site(), p.c.w.now) {
		if records[0].Kind == ledger.KindReturn {
			p.c.unsent[p.router] = append(p.c.unsent[p.router], records...)
		}
		return nil, errCut
	}
	return p.c.write(firstLife+ident.Incarnation(p.router), records), nil
}

func (p *port) View(_ ident.TeamID, read func(*ledger.State)) {
	if p.c.frozen != nil && p.site() == 0 {
		read(p.c.frozen)
		return
	}
	read(p.c.state)
}

func (p *port) Routers() []grants.Router {
	var list []grants.Router
	for router := range routerCount {
		list = append(list, grants.Router{
			Incarnation: firstLife + ident.Incarnation(router),
			DataCentre:  siteName(siteOf(router)),
		})
	}
	return list
}

func (p *port) Sealed(ident.Incarnation) bool { return false }
func (p *port) Closed(ident.Incarnation) bool { return false }

// peer returns another router if it can be reached.
func (p *port) peer(to ident.Incarnation) (*grants.Grants, error) {
	other := int(to - firstLife)
	s := p.c.w.s
	if !s.reaches(p.site(), siteOf(other), p.c.w.now) || s.asleep(other, p.c.w.now) {
		return nil, errCut
	}
	return p.c.routers[other], nil
}

func (p *port) Borrow(_ context.Context, to ident.Incarnation, args wire.BorrowArgs) (wire.BorrowReply, error) {
	g, err := p.peer(to)
	if err != nil {
		return wire.BorrowReply{}, err
	}
	return g.Borrow(args), nil
}

func (p *port) Repay(_ context.Context, to ident.Incarnation, args wire.RepayArgs) (wire.RepayReply, error) {
	g, err := p.peer(to)
	if err != nil {
		return wire.RepayReply{}, err
	}
	g.Repay(args)
	return wire.RepayReply{}, nil
}
