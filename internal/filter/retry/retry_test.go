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

// attemptStep simulates one attempt.
type attemptStep func(r *filter.Request) filter.Outcome

func retryable(ran refusal.Execution) attemptStep {
	return func(*filter.Request) filter.Outcome {
		return filter.Outcome{Refusal: refusal.New(refusal.NoServer, ran, "x"), Retry: "test"}
	}
}

func mayHaveRun(r *filter.Request) filter.Outcome {
	r.MayHaveRun = true
	return retryable(refusal.MayHaveRun)(r)
}

func failsAfterFirstByte(r *filter.Request) filter.Outcome {
	r.Writer.Start(200)
	return retryable(refusal.DidRun)(r)
}

func answered(*filter.Request) filter.Outcome { return filter.Answered() }

func TestAttempts(t *testing.T) {
	notRun := retryable(refusal.NotRun)
	cases := map[string]struct {
		steps       []attemptStep
		attempts    int
		budgetSpent bool
		timeout     time.Duration
		code        refusal.Code
		ran         refusal.Execution
	}{
		"answered by the first attempt":               {steps: []attemptStep{answered}, attempts: 1},
		"answered by the third attempt":               {steps: []attemptStep{notRun, notRun, answered}, attempts: 3},
		"no attempt succeeds":                         {steps: []attemptStep{notRun, notRun, notRun, notRun}, attempts: 4, code: refusal.NoServer, ran: refusal.NotRun},
		"retry budget spent":                          {steps: []attemptStep{notRun}, attempts: 1, budgetSpent: true, code: refusal.RetryBudgetSpent, ran: refusal.NotRun},
		"no time left":                                {steps: []attemptStep{notRun}, attempts: 1, timeout: time.Nanosecond, code: refusal.DeadlineExceeded, ran: refusal.NotRun},
		"earlier attempt may have run":                {steps: []attemptStep{mayHaveRun, notRun, notRun, notRun}, attempts: 4, code: refusal.NoServer, ran: refusal.MayHaveRun},
		"earlier attempt may have run, then answered": {steps: []attemptStep{mayHaveRun, answered}, attempts: 2},
		"no retry after the first byte":               {steps: []attemptStep{failsAfterFirstByte}, attempts: 1, code: refusal.NoServer, ran: refusal.DidRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := retry.NewBudget(nil)
				for c.budgetSpent && budget.Allow() {
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
