package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestProcessThatWasHeldUpStaysToReadRequests guards against a stop that ends as the process
// goes on after it was held up, before it has read the requests that came meanwhile.
func TestProcessThatWasHeldUpStaysToReadRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPunctuality(now)
	polls := func(times int, apart time.Duration) (punctual bool) {
		for range times {
			now = now.Add(apart)
			punctual = p.poll(now)
		}
		return punctual
	}
	require.False(t, polls(1, idlePollPeriod))
	require.True(t, polls(2, idlePollPeriod))
	require.True(t, polls(10, idlePollPeriod+maxPollDelay), "a little late")
	require.False(t, polls(1, 1200*time.Millisecond), "it was held up")
	require.False(t, polls(2, idlePollPeriod))
	require.False(t, polls(1, 450*time.Millisecond), "it was held up again")
	require.True(t, polls(3, idlePollPeriod))
}
