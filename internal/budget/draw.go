package budget

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Timing of draws on the request path.
const (
	// drawTimeout limits how long a request waits for a draw, counted from the
	// start of the draw.
	drawTimeout = 400 * time.Millisecond
	// shortfallTTL is how long the ledger's verdict that a budget is short is
	// relied on without another append.
	shortfallTTL = time.Second
)

// pendingDraw is a draw in flight. There is at most one per team, and it is
// never abandoned: a second draw beside one of unknown outcome could draw the
// tokens twice.
type pendingDraw struct {
	started time.Time
	done    chan struct{}
	// Set before done is closed.
	exhausted bool // the ledger showed that its free tokens do not cover the minimum
	failed    bool // no verdict, or the draw was refused
}

// startDraw starts a draw, or returns the one in flight.
func (g *Grants) startDraw(b *localBalance, asked, least int64) *pendingDraw {
	b.mu.Lock()
	if b.pendingDraw != nil {
		d := b.pendingDraw
		b.mu.Unlock()
		return d
	}
	d := &pendingDraw{started: g.config.Now(), done: make(chan struct{})}
	b.pendingDraw = d
	b.mu.Unlock()
	g.config.Launch(func() { g.runDraw(b, d, asked, least) })
	return d
}

// runDraw appends a draw and applies its result.
func (g *Grants) runDraw(b *localBalance, d *pendingDraw, asked, least int64) {
	verdict, err := g.submit(b, ledger.KindDraw, ledger.Draw{Team: b.team, Requested: asked, Minimum: least})
	g.syncGrant(b)
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
	b.mu.Lock()
	b.pendingDraw = nil
	b.drawRequested = false
	if d.exhausted {
		b.shortfall = shortfall{observed: g.config.Now(), need: least}
	}
	b.mu.Unlock()
	close(d.done)
}

// submit appends one record to the team's shard and returns its verdict.
func (g *Grants) submit(b *localBalance, kind record.Kind, body any) (ledger.Verdict, error) {
	r, err := record.New(kind, body)
	if err != nil {
		return ledger.Verdict{}, err
	}
	verdicts, err := g.config.Ledger.Submit(g.lifetime, b.team, r)
	g.logHealth.recordAppend(g.config.Now(), err == nil)
	if err != nil {
		return ledger.Verdict{}, err
	}
	return verdicts[0], nil
}

// syncGrant applies what the fold has granted, and stops admission if the fold
// shows this incarnation closed.
func (g *Grants) syncGrant(b *localBalance) ledger.Budget {
	var (
		grant  ledger.Grant
		budget ledger.Budget
		closed bool
	)
	g.config.Ledger.View(b.team, func(s *ledger.State) {
		grant = s.Grant(b.team, g.config.Self)
		budget = s.Budget(b.team)
		closed = s.Closed(g.config.Self)
	})
	if closed {
		g.Fence()
		return budget
	}
	b.applyGrant(grant)
	return budget
}

// drawResult is the outcome of a draw on the request path.
type drawResult uint8

const (
	drawDone      drawResult = iota // the own grant may have grown
	drawExhausted                   // the ledger has too few free tokens
	drawUnknown                     // the ledger is unavailable or slow
)

// drawAndWait draws so that a run with the given bound fits the own grant, and
// waits up to drawTimeout for the result.
func (g *Grants) drawAndWait(ctx context.Context, b *localBalance, tokens int64) drawResult {
	budget := g.syncGrant(b)
	input := g.sizingInput(b, budget)
	need := tokens - input.OwnFree
	if need <= 0 {
		return drawDone
	}
	if budget.Free < need && g.hasRecentShortfall(b, need) {
		return drawExhausted
	}
	asked := max(need, g.policy(b).Target(input)-input.OwnFree)
	d := g.startDraw(b, asked, need)
	if !g.awaitDraw(ctx, d) || d.failed {
		return drawUnknown
	}
	if d.exhausted {
		return drawExhausted
	}
	return drawDone
}

// hasRecentShortfall reports whether the ledger has shown within shortfallTTL
// that it does not cover a need.
func (g *Grants) hasRecentShortfall(b *localBalance, need int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shortfall.observed.IsZero() || b.shortfall.need > need {
		return false
	}
	return g.config.Now().Sub(b.shortfall.observed) < shortfallTTL
}

// awaitDraw waits for a draw until drawTimeout after its start. A draw older
// than that is not waited for: the log is slow or unavailable.
func (g *Grants) awaitDraw(ctx context.Context, d *pendingDraw) bool {
	left := drawTimeout - g.config.Now().Sub(d.started)
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

// returnTokens returns tokens of the own grant to the ledger. They are deducted
// from the local balance first; if the outcome of the append stays unknown they
// are not added back.
func (g *Grants) returnTokens(b *localBalance, tokens int64) {
	b.mu.Lock()
	tokens = min(tokens, b.own.free)
	if tokens <= 0 || b.returning {
		b.mu.Unlock()
		return
	}
	b.returning = true
	b.own.free -= tokens
	b.mu.Unlock()
	g.config.Launch(func() { g.runReturn(b, tokens) })
}

func (g *Grants) runReturn(b *localBalance, tokens int64) {
	verdict, err := g.submit(b, ledger.KindReturn, ledger.Return{Team: b.team, Tokens: tokens})
	switch {
	case err != nil:
		g.counts.Inc("return_unknown")
	case verdict.Outcome != ledger.Accepted:
		g.counts.Inc("return_refused")
		g.log.Error().Str("team", string(b.team)).Int64("tokens", tokens).Msg("Ledger refused the return of tokens.")
	default:
		g.counts.Inc("return")
	}
	b.mu.Lock()
	b.returning = false
	b.mu.Unlock()
}
