package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/filter"
)

func passage(route string, events int64) *filter.Passthrough {
	return &filter.Passthrough{Route: &catalog.Route{Name: route}, EventsDelivered: events}
}

// TestLongStreamIsNotJudgedByShortOnes: those before had 13 events, this one may
// have 150.
func TestLongStreamIsNotJudgedByShortOnes(t *testing.T) {
	begun := time.Unix(1000, 0)
	l := newLastCall()
	for range 100 {
		p := passage("notes", 13)
		p.TimeToFirstEvent = 100 * time.Millisecond
		l.took(p, 460*time.Millisecond) // 30 ms an event
	}
	l.stop(begun.Add(2600*time.Millisecond), begun.Add(7600*time.Millisecond))
	takes := func(tokens int64, at time.Duration) bool {
		p := passage("notes", 0)
		p.Deadline = begun.Add(at + 15*time.Second)
		p.Service = &catalog.Service{Engine: &catalog.Engine{TokensPerEvent: 4}}
		p.Call.MaxOutput = tokens
		return l.takes(p, begun.Add(at))
	}
	require.True(t, takes(13*4, 4600*time.Millisecond))
	require.False(t, takes(150*4, 4600*time.Millisecond), "it would be cut")
	require.True(t, takes(150*4, 2500*time.Millisecond))
	require.True(t, takes(40*4, 4600*time.Millisecond))
}

// TestShortRequestsAreServedLateInAStop plays a stop of 8 s in which callers
// have nowhere else to go.
func TestShortRequestsAreServedLateInAStop(t *testing.T) {
	begun := time.Unix(1000, 0)
	l := newLastCall()
	for range 100 {
		l.took(passage("orders", 0), 40*time.Millisecond)
		l.took(passage("notes", 0), 3*time.Second)
	}
	l.stop(begun.Add(2600*time.Millisecond), begun.Add(7600*time.Millisecond))
	takes := func(route string, at time.Duration) bool {
		p := &filter.Passthrough{Route: &catalog.Route{Name: route}, Deadline: begun.Add(at + 5*time.Second)}
		return l.takes(p, begun.Add(at))
	}
	require.True(t, takes("notes", 2500*time.Millisecond), "there is time to find another router")
	require.True(t, takes("notes", 3*time.Second))
	require.False(t, takes("notes", 4*time.Second), "it would be cut")
	require.True(t, takes("orders", 7*time.Second))
	require.False(t, takes("orders", 7590*time.Millisecond))
	require.False(t, takes("unknown", 4*time.Second), "it may take all of its time")
}
