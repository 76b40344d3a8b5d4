// Package spend is the filter that sets prepaid tokens aside for a request and
// settles what it used.
package spend

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/prepaid"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// When a caller returns whose account's tokens are out of reach.
const (
	// usualOutage is how long the log is away as a rule; deployments see 5 to 9
	// seconds.
	usualOutage = 8 * time.Second
	// soonest is the least time, a few draws later.
	soonest = 500 * time.Millisecond
)

// Budget holds the prepaid tokens in this router's hands.
type Budget interface {
	Reserve(ctx context.Context, account string, tokens int64) (*prepaid.Reservation, prepaid.Outcome)
	// UnavailableFor returns for how long the log has not answered; zero if it does.
	UnavailableFor() time.Duration
	// View returns what the router knows of an account.
	View(account string) prepaid.AccountView
}

type handler struct {
	budget Budget
}

// New returns the filter.
func New(budget Budget) filter.Filter {
	return &handler{budget: budget}
}

// Handle lets a request through only if the most that it can consume is in
// hand.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	p := r.Passthrough
	if p.Account == nil || !p.Account.Metered || p.Call.TokenBound() <= 0 {
		return next(ctx, r)
	}
	begun := time.Now()
	hold, outcome := h.budget.Reserve(ctx, p.Account.Name, p.Call.TokenBound())
	h.note(r, outcome, time.Since(begun))
	switch outcome {
	case prepaid.Exhausted:
		return filter.Refused(refusal.BudgetExhausted, refusal.NotRun, "The prepaid tokens do not cover this request.")
	case prepaid.ReservedForSmall:
		return filter.Refused(refusal.BudgetExhausted, refusal.NotRun, "The last prepaid tokens are kept for smaller requests.")
	case prepaid.Unreachable:
		out := filter.Refused(refusal.BudgetUnreachable, refusal.NotRun, "The account's tokens are not at hand now.")
		out.Refusal.RetryAfter = h.comeBack()
		return out
	}
	p.PrepaidReservation = hold
	out := next(ctx, r)
	hold.Settle(used(p))
	return out
}

// note records the admission with what it was decided by.
func (h *handler) note(r *filter.Request, outcome prepaid.Outcome, waited time.Duration) {
	p, view := r.Passthrough, h.budget.View(r.Passthrough.Account.Name)
	r.Note("tokens "+outcome.String(), func(e *zerolog.Event) {
		e.Str("account", p.Account.Name).Int64("bound", p.Call.TokenBound()).Int64("hand", view.LocalBalance).Int64("ledger", view.LedgerFree).
			Dur("ledger_age", view.LedgerAge).Dur("log_away", view.LogUnavailable).Int64("settings", p.Settings.Version).Dur("waited", waited)
	})
}

// comeBack is when the log will probably answer again, spread over a second so
// that callers do not return together.
func (h *handler) comeBack() time.Duration {
	away := h.budget.UnavailableFor()
	if away == 0 {
		return soonest + rand.N(soonest)
	}
	return max(usualOutage-away, soonest) + rand.N(time.Second)
}

// used returns what a request consumed: its prompt once if any server may have
// begun it, and what the caller was handed.
func used(p *filter.Passthrough) int64 {
	if !p.MayHaveRun {
		return 0
	}
	perEvent := int64(1)
	if e := p.Service.Engine; e != nil {
		perEvent = e.TokensPerEvent
	}
	return p.Call.PromptTokens + min(p.EventsDelivered*perEvent, p.Call.MaxOutput)
}
