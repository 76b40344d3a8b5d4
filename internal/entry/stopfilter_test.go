package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

const (
	testRefuseFrom = 2640 * time.Millisecond
	testAbortAt    = 7600 * time.Millisecond
)

// stopping returns a filter whose stop began at a time.
func stopping(begun time.Time) *stopFilter {
	l := newStopFilter(zerolog.Nop())
	l.beginStop(begun.Add(testRefuseFrom), begun.Add(testAbortAt))
	return l
}

// admits reports whether a request is admitted at a time after begun, with a
// time limit from then.
func (l *stopFilter) admits(begun time.Time, at, limit time.Duration) bool {
	return l.decide(begun.Add(at+limit), begun.Add(at)).admitted
}

// TestStopFilterAdmitsOnlyWhatIsCertainToEnd guards against requests that may still be in
// progress when the router aborts them, and against refusals of others.
func TestStopFilterAdmitsOnlyWhatIsCertainToEnd(t *testing.T) {
	const step = 20 * time.Millisecond
	begun := time.Unix(1000, 0)
	l := stopping(begun)
	for at := time.Duration(0); at < 9*time.Second; at += step {
		for limit := time.Duration(0); limit < 20*time.Second; limit += step {
			endsInTime := at+limit+answerAllowance <= testAbortAt
			if want := at < testRefuseFrom || endsInTime; l.admits(begun, at, limit) != want {
				t.Fatalf("after %v, a request that may take %v: admitted is %t", at, limit, !want)
			}
		}
	}
}

// TestStopFilterAdmitsRequestsThatCanFinish simulates a stop of 8 s in which
// callers have no other router to go to.
func TestStopFilterAdmitsRequestsThatCanFinish(t *testing.T) {
	begun := time.Unix(1000, 0)
	l := stopping(begun)
	require.True(t, l.admits(begun, 2600*time.Millisecond, 15*time.Second), "all requests are admitted before refuseFrom")
	require.False(t, l.admits(begun, 2700*time.Millisecond, 15*time.Second), "it may be aborted")
	require.True(t, l.admits(begun, 4*time.Second, 3*time.Second))
	require.False(t, l.admits(begun, 5*time.Second, 3*time.Second), "it may be aborted")
	require.True(t, l.admits(begun, 7*time.Second, 400*time.Millisecond))
	require.False(t, l.admits(begun, 7440*time.Millisecond, 160*time.Millisecond), "no time is left for an answer")
}

// TestStopFilterIgnoresHowLongOtherRequestsTook guards against requests that are admitted late
// in a stop because others of their route were quick, whether answered or failed.
func TestStopFilterIgnoresHowLongOtherRequestsTook(t *testing.T) {
	for _, status := range []int{200, 404, 500} {
		for name, limit := range map[string]time.Duration{"earlier ones had time": 15 * time.Second, "earlier ones had little time": 50 * time.Millisecond} {
			t.Run(name, func(t *testing.T) {
				l := newStopFilter(zerolog.Nop())
				handle := func(limit time.Duration) (ran bool, out filter.Outcome) {
					now := time.Now()
					r := &filter.Request{
						Passthrough: &filter.Passthrough{Route: &catalog.Route{Name: "orders"}, Deadline: now.Add(limit)},
						Writer:      filter.NewWriter(httptest.NewRecorder(), time.Second),
						Received:    now,
					}
					out = l.Handle(t.Context(), r, func(_ context.Context, r *filter.Request) filter.Outcome {
						ran = true
						r.Writer.Start(status)
						return filter.Answered()
					})
					return ran, out
				}
				for range 100 {
					ran, _ := handle(limit)
					require.True(t, ran)
				}
				l.beginStop(time.Now(), time.Now().Add(5*time.Second))
				ran, out := handle(15 * time.Second)
				require.False(t, ran)
				require.Equal(t, refusal.Stopping, out.Refusal.Code)
				require.Equal(t, refusal.NotRun, out.Refusal.Ran)
				require.Equal(t, http.StatusServiceUnavailable, refusal.Status(out.Refusal.Code))
				require.Equal(t, stoppingRetryAfter, out.Refusal.RetryAfter)
				ran, _ = handle(time.Second)
				require.True(t, ran)
			})
		}
	}
}
