package pressure

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// sendLoad simulates a load in bytes per second, and returns how long the monitor
// reported overload.
func sendLoad(m *Monitor, now *time.Time, load float64, length time.Duration) (overloaded time.Duration) {
	for end := now.Add(length); now.Before(end); {
		*now = now.Add(SampleInterval)
		m.bytes.Add(int64(load * SampleInterval.Seconds()))
		m.Sample(*now)
		if m.Overloaded() {
			overloaded += SampleInterval
		}
	}
	return overloaded
}

func always() bool { return true }

const link = 1e6

// TestFullLinkIsOverloadedForMinDuration simulates a load that returns whenever the
// router accepts callers again. The minimum duration doubles up to its bound.
func TestFullLinkIsOverloadedForMinDuration(t *testing.T) {
	m := New(link, always, zerolog.Nop())
	now := time.Unix(1000, 0)
	require.Zero(t, sendLoad(m, &now, 0.6*link, 20*time.Second), "the link has capacity")
	require.Positive(t, sendLoad(m, &now, 2*link, 2*time.Second))
	require.True(t, m.Overloaded())
	for _, least := range []time.Duration{minShedding, 2 * minShedding, 4 * minShedding, maxShedding} {
		begun := now
		for m.Overloaded() {
			sendLoad(m, &now, 0.1*link, SampleInterval) // the callers have moved to other routers
		}
		require.InDelta(t, least.Seconds(), now.Sub(begun).Seconds(), 2.1)
		for !m.Overloaded() {
			sendLoad(m, &now, 2*link, SampleInterval) // the callers come back
		}
	}
	for m.Overloaded() {
		sendLoad(m, &now, 0.1*link, SampleInterval)
	}
	sendLoad(m, &now, 0.1*link, 2*repeatWindow)
	sendLoad(m, &now, 2*link, time.Second)
	require.True(t, m.Overloaded())
	require.Equal(t, minShedding, m.minDuration, "the last overload was long ago")
}

func TestOverloadLastsWhileLinkIsBusy(t *testing.T) {
	m := New(link, always, zerolog.Nop())
	now := time.Unix(1000, 0)
	sendLoad(m, &now, link, 2*time.Second)
	require.InDelta(t, 60, sendLoad(m, &now, 0.6*link, time.Minute).Seconds(), 0.2)
}

func TestNeverOverloadedWithoutLinkRateOrPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	require.Zero(t, sendLoad(New(0, always, zerolog.Nop()), &now, 1e9, 5*time.Second))
	require.Zero(t, sendLoad(New(link, func() bool { return false }, zerolog.Nop()), &now, 1e9, 5*time.Second))
}

func TestListenerCountsConnectionBytes(t *testing.T) {
	m := New(link, always, zerolog.Nop())
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	l := m.Listener(inner)
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
	require.EqualValues(t, n+50, m.bytes.Load())
}
