package admit

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// world is a budget and a tokenizer that note what is asked of them.
type world struct {
	left    int64 // tokens that a reservation may have
	prompt  int64 // exact count; negative if it cannot be had
	calls   []string
	settled []int64
}

func (w *world) reserve(what string, tokens int64) (filter.Reservation, *refusal.Refusal) {
	w.calls = append(w.calls, fmt.Sprintf("%s %d", what, tokens))
	if tokens > w.left {
		return nil, refusal.New(refusal.BudgetUnreachable, refusal.NotRun, "none")
	}
	return w, nil
}

func (w *world) Try(_ context.Context, _ ident.TeamID, tokens int64) (filter.Reservation, *refusal.Refusal) {
	return w.reserve("try", tokens)
}

func (w *world) Acquire(_ context.Context, _ ident.TeamID, tokens int64) (filter.Reservation, *refusal.Refusal) {
	return w.reserve("wait", tokens)
}

func (w *world) Count(context.Context, *filter.Request) (int64, bool) {
	w.calls = append(w.calls, "count")
	return w.prompt, w.prompt >= 0
}

func (w *world) Holder() ident.Incarnation                 { return 1 }
func (w *world) Settle(actual int64)                       { w.settled = append(w.settled, actual) }
func (w *world) KeepReserved(ident.Key, ident.Incarnation) { w.calls = append(w.calls, "hold") }

func TestOnlyTheSmallestBoundIsWaitedFor(t *testing.T) {
	for name, c := range map[string]struct {
		left, prompt int64
		service      ident.ServiceID
		calls        []string
		admitted     bool
	}{
		"fits":                 {1000, 30, "", []string{"try 140"}, true},
		"exact count fits":     {100, 30, "", []string{"try 140", "count", "wait 70"}, true},
		"exact count too much": {60, 30, "", []string{"try 140", "count", "wait 70"}, false},
		"cannot be counted":    {100, -1, "", []string{"try 140", "count", "wait 140"}, false},
		"plain service":        {100, 30, "desk", []string{"try 140", "wait 140"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := &world{left: c.left, prompt: c.prompt}
			r := &filter.Request{PromptBound: 100, MaxOutput: 40}
			r.Route.Service = c.service
			ran := false
			out := New(w, w).Handle(t.Context(), r, func(context.Context, *filter.Request) filter.Outcome {
				ran = true
				return filter.Answered()
			})
			require.Equal(t, c.calls, w.calls)
			require.Equal(t, c.admitted, ran)
			require.Equal(t, c.admitted, out.Refusal == nil)
			if c.admitted {
				require.Equal(t, []int64{0}, w.settled, "what no filter took over is free again")
			}
		})
	}
}
