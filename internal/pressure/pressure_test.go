package pressure

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// play lets a load of some bytes a second pass for a time, and returns for how
// long the gauge told of pressure.
func play(g *Monitor, now *time.Time, load float64, length time.Duration) (over time.Duration) {
	for end := now.Add(length); now.Before(end); {
		*now = now.Add(SampleInterval)
		g.bytes.Add(int64(load * SampleInterval.Seconds()))
		g.Sample(*now)
		if g.Overloaded() {
			over += SampleInterval
		}
	}
	return over
}

func always() bool { return true }

const link = 1e6

// TestFullLinkSendsCallersElsewhere plays a load that comes back whenever the
// router takes callers again.
func TestFullLinkSendsCallersElsewhere(t *testing.T) {
	g := New(link, always, zerolog.Nop())
	now := time.Unix(1000, 0)
	require.Zero(t, play(g, &now, 0.6*link, 20*time.Second), "there is room")
	require.Positive(t, play(g, &now, 2*link, 2*time.Second))
	require.True(t, g.Overloaded())
	for _, least := range []time.Duration{shortest, 2 * shortest, 4 * shortest, longest} {
		begun := now
		for g.Overloaded() {
			play(g, &now, 0.1*link, SampleInterval) // the callers have moved
		}
		require.InDelta(t, least.Seconds(), now.Sub(begun).Seconds(), 2.1)
		for !g.Overloaded() {
			play(g, &now, 2*link, SampleInterval) // and come back
		}
	}
	for g.Overloaded() {
		play(g, &now, 0.1*link, SampleInterval)
	}
	play(g, &now, 0.1*link, 2*soon)
	play(g, &now, 2*link, time.Second)
	require.True(t, g.Overloaded())
	require.Equal(t, shortest, g.least, "long ago")
}

func TestPressureStaysWhileTheLinkIsFull(t *testing.T) {
	g := New(link, always, zerolog.Nop())
	now := time.Unix(1000, 0)
	play(g, &now, link, 2*time.Second)
	require.InDelta(t, 60, play(g, &now, 0.6*link, time.Minute).Seconds(), 0.2)
}

func TestNoPressureWithoutALimitOrOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	require.Zero(t, play(New(0, always, zerolog.Nop()), &now, 1e9, 5*time.Second))
	require.Zero(t, play(New(link, func() bool { return false }, zerolog.Nop()), &now, 1e9, 5*time.Second))
}

func TestConnectionsAreCounted(t *testing.T) {
	g := New(link, always, zerolog.Nop())
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	l := g.Listener(inner)
	defer l.Close()
	client, err := net.Dial("tcp4", inner.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	server, err := l.Accept()
	require.NoError(t, err)
	defer server.Close()
	_, err = client.Write(make([]byte, 100))
	require.NoError(t, err)
	n, err := server.Read(make([]byte, 200))
	require.NoError(t, err)
	_, err = server.Write(make([]byte, 50))
	require.NoError(t, err)
	require.EqualValues(t, n+50, g.bytes.Load())
}
