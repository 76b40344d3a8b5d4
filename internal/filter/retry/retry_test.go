package retry

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/retry"
)

// step is what one attempt does.
type step func(r *filter.Request) filter.Outcome

func again(ran refusal.Execution) step {
	return func(*filter.Request) filter.Outcome {
		return filter.Outcome{Refusal: refusal.New(refusal.NoServer, ran, "x"), Retry: "test"}
	}
}

func contested(r *filter.Request) filter.Outcome {
	r.MayHaveRun = true
	return again(refusal.MayHaveRun)(r)
}

func begunThenFailed(r *filter.Request) filter.Outcome {
	r.Writer.Start(200)
	return again(refusal.DidRun)(r)
}

func answered(*filter.Request) filter.Outcome { return filter.Answered() }

func TestAttempts(t *testing.T) {
	notRun := again(refusal.NotRun)
	cases := map[string]struct {
		steps    []step
		attempts int
		spent    bool
		timeout  time.Duration
		code     refusal.Code
		ran      refusal.Execution
	}{
		"answered at once":             {steps: []step{answered}, attempts: 1},
		"answered at the third":        {steps: []step{notRun, notRun, answered}, attempts: 3},
		"never":                        {steps: []step{notRun, notRun, notRun, notRun}, attempts: 4, code: refusal.NoServer, ran: refusal.NotRun},
		"retry budget spent":           {steps: []step{notRun}, attempts: 1, spent: true, code: refusal.RetryBudgetSpent, ran: refusal.NotRun},
		"no time left":                 {steps: []step{notRun}, attempts: 1, timeout: time.Nanosecond, code: refusal.DeadlineExceeded, ran: refusal.NotRun},
		"may have run before":          {steps: []step{contested, notRun, notRun, notRun}, attempts: 4, code: refusal.NoServer, ran: refusal.MayHaveRun},
		"may have run, then answered":  {steps: []step{contested, answered}, attempts: 2},
		"nothing after the first byte": {steps: []step{begunThenFailed}, attempts: 1, code: refusal.NoServer, ran: refusal.DidRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := retry.NewBudget(nil)
				for c.spent && budget.Allow() {
					continue
				}
				timeout := c.timeout
				if timeout == 0 {
					timeout = time.Minute
				}
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				r := &filter.Request{Writer: filter.NewWriter(httptest.NewRecorder(), time.Second)}
				out := New(budget).Handle(ctx, r, func(_ context.Context, r *filter.Request) filter.Outcome {
					return c.steps[r.Attempt-1](r)
				})
				require.Equal(t, c.attempts, int(r.Attempt))
				require.Empty(t, out.Retry)
				if c.code == "" {
					require.Nil(t, out.Refusal)
					return
				}
				require.Equal(t, c.code, out.Refusal.Code)
				require.Equal(t, c.ran, out.Refusal.Ran)
			})
		})
	}
}
