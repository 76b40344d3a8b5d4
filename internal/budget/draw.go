package budget

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Times of a draw on the request path.
const (
	// drawWait is how long a request waits for a draw.
	drawWait = 400 * time.Millisecond
	// proofAge is how long the ledger's verdict that a budget is short stands
	// without another append.
	proofAge = time.Second
)

// drawing is a draw in flight. At most one is for each team, and it is never
// given up: a second one beside a draw of unknown outcome would take twice.
type drawing struct {
	started time.Time
	done    chan struct{}
	// Set before done is closed.
	exhausted bool // the ledger showed that free tokens do not cover Least
	failed    bool // no verdict
}

// startDraw begins a draw, or returns the one in flight.
func (g *Grants) startDraw(h *hand, asked, least int64) *drawing {
	h.mu.Lock()
	if h.draw != nil {
		d := h.draw
		h.mu.Unlock()
		return d
	}
	d := &drawing{started: g.config.Now(), done: make(chan struct{})}
	h.draw = d
	h.mu.Unlock()
	g.config.Launch(func() { g.runDraw(h, d, asked, least) })
	return d
}

// runDraw appends a draw and takes its result over.
func (g *Grants) runDraw(h *hand, d *drawing, asked, least int64) {
	verdict, err := g.submit(h, ledger.KindDraw, ledger.Draw{Team: h.team, Requested: asked, Minimum: least})
	g.sync(h)
	switch {
	case err != nil:
		d.failed = true
		g.counts.Inc("draw_unknown")
	case verdict.Outcome == ledger.Exhausted:
		d.exhausted = true
		g.counts.Inc("draw_exhausted")
	case verdict.Outcome != ledger.Accepted:
		d.failed = true
		g.counts.Inc("draw_refused")
	default:
		g.counts.Inc("draw")
	}
	h.mu.Lock()
	h.draw = nil
	h.wanting = false
	if d.exhausted {
		h.proof = proof{at: g.config.Now(), need: least}
	}
	h.mu.Unlock()
	close(d.done)
}

// submit appends one record and returns its verdict.
func (g *Grants) submit(h *hand, kind record.Kind, body any) (ledger.Verdict, error) {
	r, err := record.New(kind, body)
	if err != nil {
		return ledger.Verdict{}, err
	}
	verdicts, err := g.config.Ledger.Submit(g.life, h.team, r)
	g.health.note(g.config.Now(), err == nil)
	if err != nil {
		return ledger.Verdict{}, err
	}
	return verdicts[0], nil
}

// sync takes over what the fold has granted, and stops admission if the fold
// shows this life closed.
func (g *Grants) sync(h *hand) ledger.Budget {
	var (
		grant  ledger.Grant
		budget ledger.Budget
		closed bool
	)
	g.config.Ledger.View(h.team, func(s *ledger.State) {
		grant = s.Grant(h.team, g.config.Self)
		budget = s.Budget(h.team)
		closed = s.Closed(g.config.Self)
	})
	if closed {
		g.Fence()
		return budget
	}
	h.sync(grant)
	return budget
}

// drawResult tells how a draw on the request path ended.
type drawResult uint8

const (
	drawDone      drawResult = iota // there may be more in hand now
	drawExhausted                   // the ledger shows too little
	drawUnknown                     // the ledger cannot be asked now
)

// drawFor draws so that a run with the given bound fits the own grant, and
// waits a while for it.
func (g *Grants) drawFor(ctx context.Context, h *hand, tokens int64) drawResult {
	budget := g.sync(h)
	situation := g.situation(h, budget)
	need := tokens - situation.Hand
	if need <= 0 {
		return drawDone
	}
	if budget.Free < need && g.proven(h, need) {
		return drawExhausted
	}
	asked := max(need, g.policy(h).Target(situation)-situation.Hand)
	d := g.startDraw(h, asked, need)
	if !g.await(ctx, d) || d.failed {
		return drawUnknown
	}
	if d.exhausted {
		return drawExhausted
	}
	return drawDone
}

// proven reports whether the ledger has shown lately that it does not cover a
// need.
func (g *Grants) proven(h *hand, need int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.proof.at.IsZero() || h.proof.need > need {
		return false
	}
	return g.config.Now().Sub(h.proof.at) < proofAge
}

// await waits for a draw. One that has been in flight for long is not waited
// for: the log is slow or down.
func (g *Grants) await(ctx context.Context, d *drawing) bool {
	left := drawWait - g.config.Now().Sub(d.started)
	if left <= 0 {
		select {
		case <-d.done:
			return true
		default:
			return false
		}
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-d.done:
		return true
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
}

// giveBack returns tokens of the own grant to the ledger. They leave the hand
// first; if the outcome stays unknown they are not taken back.
func (g *Grants) giveBack(h *hand, tokens int64) {
	h.mu.Lock()
	tokens = min(tokens, h.own.free)
	if tokens <= 0 || h.giving {
		h.mu.Unlock()
		return
	}
	h.giving = true
	h.own.free -= tokens
	h.mu.Unlock()
	g.config.Launch(func() { g.runReturn(h, tokens) })
}

func (g *Grants) runReturn(h *hand, tokens int64) {
	verdict, err := g.submit(h, ledger.KindReturn, ledger.Return{Team: h.team, Tokens: tokens})
	switch {
	case err != nil:
		g.counts.Inc("return_unknown")
	case verdict.Outcome != ledger.Accepted:
		g.counts.Inc("return_refused")
		g.log.Error().Str("team", string(h.team)).Int64("tokens", tokens).Msg("Return refused by the ledger.")
	default:
		g.counts.Inc("return")
	}
	h.mu.Lock()
	h.giving = false
	h.mu.Unlock()
}
