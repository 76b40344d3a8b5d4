package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/filter"
)

func passthrough(route string, events int64) *filter.Passthrough {
	return &filter.Passthrough{Route: &catalog.Route{Name: route}, EventsDelivered: events}
}

// TestStopFilterEstimatesStreamsByEvents guards against a long stream that is
// admitted because the streams before it were short, and is then aborted: those
// had 13 events, this one may have 150.
func TestStopFilterEstimatesStreamsByEvents(t *testing.T) {
	begun := time.Unix(1000, 0)
	l := newStopFilter()
	for range 100 {
		p := passthrough("notes", 13)
		p.TimeToFirstEvent = 100 * time.Millisecond
		l.recordDuration(p, 460*time.Millisecond) // 30 ms an event
	}
	l.beginStop(begun.Add(2600*time.Millisecond), begun.Add(7600*time.Millisecond))
	canFinish := func(tokens int64, at time.Duration) bool {
		p := passthrough("notes", 0)
		p.Deadline = begun.Add(at + 15*time.Second)
		p.Service = &catalog.Service{Engine: &catalog.Engine{TokensPerEvent: 4}}
		p.Call.MaxOutput = tokens
		return l.canFinish(p, begun.Add(at))
	}
	require.True(t, canFinish(13*4, 4600*time.Millisecond))
	require.False(t, canFinish(150*4, 4600*time.Millisecond), "it would be aborted")
	require.True(t, canFinish(150*4, 2500*time.Millisecond))
	require.True(t, canFinish(40*4, 4600*time.Millisecond))
}

// TestStopFilterAdmitsRequestsThatCanFinish simulates a stop of 8 s in which
// callers have no other router to go to.
func TestStopFilterAdmitsRequestsThatCanFinish(t *testing.T) {
	begun := time.Unix(1000, 0)
	l := newStopFilter()
	for range 100 {
		l.recordDuration(passthrough("orders", 0), 40*time.Millisecond)
		l.recordDuration(passthrough("notes", 0), 3*time.Second)
	}
	l.beginStop(begun.Add(2600*time.Millisecond), begun.Add(7600*time.Millisecond))
	canFinish := func(route string, at time.Duration) bool {
		p := &filter.Passthrough{Route: &catalog.Route{Name: route}, Deadline: begun.Add(at + 5*time.Second)}
		return l.canFinish(p, begun.Add(at))
	}
	require.True(t, canFinish("notes", 2500*time.Millisecond), "all requests are admitted before refuseFrom")
	require.True(t, canFinish("notes", 3*time.Second))
	require.False(t, canFinish("notes", 4*time.Second), "it would be aborted")
	require.True(t, canFinish("orders", 7*time.Second))
	require.False(t, canFinish("orders", 7590*time.Millisecond))
	require.False(t, canFinish("unknown", 4*time.Second), "without a recorded duration it may last until its deadline")
}
