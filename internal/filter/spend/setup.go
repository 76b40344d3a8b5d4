// Package spend is the filter that reserves prepaid tokens for a request and
// settles the tokens that it used.
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

// Retry-After of a request whose account's tokens are unreachable.
const (
	// typicalLogOutage is the usual time for which the log is unavailable.
	// Deployments see 5 to 9 seconds.
	typicalLogOutage = 8 * time.Second
	// minRetryAfter is the shortest Retry-After. It leaves time for a few draws.
	minRetryAfter = 500 * time.Millisecond
)

// Budget manages this router's local balances of prepaid tokens.
type Budget interface {
	// Reserve reserves tokens of an account. The reservation is nil unless the
	// outcome is prepaid.Granted.
	Reserve(ctx context.Context, account string, tokens int64) (*prepaid.Reservation, prepaid.Outcome)
	// UnavailableFor returns how long the log has been unavailable, zero if it is
	// available.
	UnavailableFor() time.Duration
	// View returns the balances of an account that this router knows.
	View(account string) prepaid.AccountView
}

type handler struct {
	budget Budget
}

// New returns the filter.
func New(budget Budget) filter.Filter {
	return &handler{budget: budget}
}

// Handle continues with the chain only if the maximum that the request can consume
// could be reserved.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	p := r.Passthrough
	if p.Account == nil || !p.Account.Metered || p.Call.TokenBound() <= 0 {
		return next(ctx, r)
	}
	start := time.Now()
	reservation, outcome := h.budget.Reserve(ctx, p.Account.Name, p.Call.TokenBound())
	h.recordAdmission(r, outcome, time.Since(start))
	switch outcome {
	case prepaid.Exhausted:
		return filter.Refused(refusal.BudgetExhausted, refusal.NotRun, "The prepaid tokens do not cover this request.")
	case prepaid.ReservedForSmall:
		return filter.Refused(refusal.BudgetExhausted, refusal.NotRun, "The last prepaid tokens are kept for smaller requests.")
	case prepaid.Unreachable:
		out := filter.Refused(refusal.BudgetUnreachable, refusal.NotRun, "The account's tokens are not at hand now.")
		out.Refusal.RetryAfter = h.retryAfter()
		return out
	}
	p.PrepaidReservation = reservation
	out := next(ctx, r)
	reservation.Settle(usedTokens(p))
	return out
}

// recordAdmission adds the decision and the balances behind it to the request's
// log trail.
func (h *handler) recordAdmission(r *filter.Request, outcome prepaid.Outcome, waited time.Duration) {
	p, view := r.Passthrough, h.budget.View(r.Passthrough.Account.Name)
	r.Note("tokens "+outcome.String(), func(e *zerolog.Event) {
		e.Str("account", p.Account.Name).Int64("bound", p.Call.TokenBound()).Int64("hand", view.LocalBalance).Int64("ledger", view.LedgerFree).
			Dur("ledger_age", view.LedgerAge).Dur("log_away", view.LogUnavailable).Int64("settings", p.Settings.Version).Dur("waited", waited)
	})
}

// retryAfter estimates when the log will be available again. It is randomized over
// one second so that the callers do not all retry at once; while the log answers,
// over minRetryAfter.
func (h *handler) retryAfter() time.Duration {
	unavailable := h.budget.UnavailableFor()
	if unavailable == 0 {
		return minRetryAfter + rand.N(minRetryAfter)
	}
	return max(typicalLogOutage-unavailable, minRetryAfter) + rand.N(time.Second)
}

// usedTokens returns the tokens that a request consumed: its prompt once if any
// server may have begun to execute it, and the output delivered to the caller.
func usedTokens(p *filter.Passthrough) int64 {
	if !p.MayHaveRun {
		return 0
	}
	perEvent := int64(1)
	if e := p.Service.Engine; e != nil {
		perEvent = e.TokensPerEvent
	}
	return p.Call.PromptTokens + min(p.EventsDelivered*perEvent, p.Call.MaxOutput)
}
