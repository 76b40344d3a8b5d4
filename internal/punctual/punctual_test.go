package punctual

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestProcessThatWasHeldUpStaysToReadRequests guards against a stop that ends as the process
// goes on after it was held up, before it has read the requests that came meanwhile.
func TestProcessThatWasHeldUpStaysToReadRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWatch(now)
	polls := func(times int, apart time.Duration) (punctual bool) {
		for range times {
			now = now.Add(apart)
			punctual = w.Poll(now)
		}
		return punctual
	}
	require.False(t, polls(1, PollPeriod))
	require.True(t, polls(2, PollPeriod))
	require.True(t, polls(10, PollPeriod+maxDelay), "a little late")
	require.False(t, polls(1, 1200*time.Millisecond), "it was held up")
	require.False(t, polls(2, PollPeriod))
	require.False(t, polls(1, 450*time.Millisecond), "it was held up again")
	require.True(t, polls(3, PollPeriod))
}
