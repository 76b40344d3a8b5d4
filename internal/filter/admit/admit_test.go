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

// fixture implements Budget, Tokenizer and filter.Reservation and records the
// calls.
type fixture struct {
	available  int64 // maximum size of a reservation in tokens
	exactCount int64 // result of Count; negative if no count is available
	calls      []string
	settled    []int64
}

func (w *fixture) reserve(call string, tokens int64) (filter.Reservation, *refusal.Refusal) {
	w.calls = append(w.calls, fmt.Sprintf("%s %d", call, tokens))
	if tokens > w.available {
		return nil, refusal.New(refusal.BudgetUnreachable, refusal.NotRun, "none")
	}
	return w, nil
}

func (w *fixture) Try(_ context.Context, _ ident.TeamID, tokens int64) (filter.Reservation, *refusal.Refusal) {
	return w.reserve("try", tokens)
}

func (w *fixture) Acquire(_ context.Context, _ ident.TeamID, tokens int64) (filter.Reservation, *refusal.Refusal) {
	return w.reserve("wait", tokens)
}

func (w *fixture) Count(context.Context, *filter.Request) (int64, bool) {
	w.calls = append(w.calls, "count")
	return w.exactCount, w.exactCount >= 0
}

func (w *fixture) Holder() ident.Incarnation                 { return 1 }
func (w *fixture) Settle(actual int64)                       { w.settled = append(w.settled, actual) }
func (w *fixture) KeepReserved(ident.Key, ident.Incarnation) { w.calls = append(w.calls, "hold") }

func TestAcquireWaitsOnlyForTheSmallestBound(t *testing.T) {
	for name, c := range map[string]struct {
		available, exactCount int64
		service               ident.ServiceID
		calls                 []string
		admitted              bool
	}{
		"fits":                 {1000, 30, "", []string{"try 140"}, true},
		"exact count fits":     {100, 30, "", []string{"try 140", "count", "wait 70"}, true},
		"exact count too much": {60, 30, "", []string{"try 140", "count", "wait 70"}, false},
		"cannot be counted":    {100, -1, "", []string{"try 140", "count", "wait 140"}, false},
		"plain service":        {100, 30, "desk", []string{"try 140", "wait 140"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := &fixture{available: c.available, exactCount: c.exactCount}
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
				require.Equal(t, []int64{0}, w.settled, "a reservation that no later filter takes is released")
			}
		})
	}
}
