package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/affinity"
	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/evacuation"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/membership"
	"github.com/camphorlever/camphorlever/internal/watch"
)

const testEvacuationTimeout = 5 * time.Second

// scriptedLog is a log whose reads hang or fail on demand.
type scriptedLog struct {
	mu      sync.Mutex // guards all below
	entries []logservice.KeyedEntry
	hangs   time.Duration // reads take so long, whatever their context says, and fail
	fails   bool
}

func (l *scriptedLog) NewestPage(context.Context, logservice.Stream, string) (logservice.NewestPage, error) {
	return logservice.NewestPage{}, nil
}

func (l *scriptedLog) ReadKeyed(ctx context.Context, _ logservice.Stream, from logservice.Position, wait time.Duration) (logservice.KeyedPage, error) {
	l.mu.Lock()
	hangs, fails, entries := l.hangs, l.fails, l.entries
	l.hangs = 0
	l.mu.Unlock()
	if hangs > 0 {
		time.Sleep(hangs)
		return logservice.KeyedPage{}, logservice.ErrUnavailable
	}
	if fails {
		return logservice.KeyedPage{}, logservice.ErrUnavailable
	}
	if int(from.Offset) < len(entries) {
		found := entries[from.Offset:]
		return logservice.KeyedPage{Entries: found, Next: from.After(len(found))}, nil
	}
	select {
	case <-time.After(wait + time.Millisecond):
		return logservice.KeyedPage{Next: from}, nil
	case <-ctx.Done():
		return logservice.KeyedPage{}, ctx.Err()
	}
}

func (l *scriptedLog) change(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

var testDecoder = Decoder{
	KeySettings: "settings",
	Settings:    func([]byte) (*catalog.Settings, error) { return catalog.Build(catalog.Draft{Version: 1}), nil },
	Evacuation:  func(key string) (string, bool) { return key, key != "settings" },
	CheckOrder:  func([]byte) error { return nil },
}

// newTestGate returns a gate whose watcher follows a log until the test ends.
func newTestGate(t *testing.T, log watch.Log) *sendGate {
	sink := newTestSink()
	sink.watcher = watch.New(log, "s", sink, settingsTiming, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go sink.watcher.Run(ctx)
	return newSendGate(sink.orders.orders, sink.watcher, testEvacuationTimeout)
}

func newTestSink() *settingsSink {
	orders, table := evacuation.New(zerolog.Nop(), time.Now), membership.New(zerolog.Nop())
	table.WithholdDataCentres(orders.InForce)
	return &settingsSink{decoder: testDecoder, log: zerolog.Nop(), onChange: func(*catalog.Settings) {},
		orders: &evacuationSink{decoder: testDecoder, orders: orders, servers: table, placer: affinity.New("a"), log: zerolog.Nop()}}
}

// TestFrozenRouterWaitsForOrders guards against requests that a router sends after a
// freeze of 8 s by orders from before it. The read that was in progress fails at the end
// of the freeze, since its time limit has passed.
func TestFrozenRouterWaitsForOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &scriptedLog{}
		gate := newTestGate(t, log)
		time.Sleep(3 * time.Second)
		require.False(t, gate.outdated())
		log.change(func() { log.hangs = 8 * time.Second })
		time.Sleep(2 * time.Second) // a read hangs by now
		log.change(func() { log.entries = []logservice.KeyedEntry{{Key: "a", Value: []byte("{}")}} })
		chosenAt := time.Now()
		time.Sleep(6 * time.Second)
		server := membership.Server{ID: "s", DataCentre: "a"}
		require.False(t, gate.orders.InForce("a"), "the read still hangs")
		require.ErrorIs(t, gate.Check(server, chosenAt), errOrdersOutdated, "chosen before the freeze")
		begun := time.Now()
		gate.Refresh(t.Context())
		require.ErrorIs(t, gate.Check(server, time.Now()), errEvacuated)
		require.Less(t, time.Since(begun), 2*refreshTimeout)
	})
}

// TestOutageOfTheLogDelaysNoRequests guards against requests that each wait for a log that
// does not answer.
func TestOutageOfTheLogDelaysNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &scriptedLog{entries: []logservice.KeyedEntry{{Key: "a", Value: []byte("{}")}}}
		gate := newTestGate(t, log)
		time.Sleep(3 * time.Second)
		log.change(func() { log.fails = true })
		time.Sleep(4 * time.Second)
		for range 100 {
			begun := time.Now()
			gate.Refresh(t.Context())
			require.Zero(t, time.Since(begun))
		}
		require.ErrorIs(t, gate.Check(membership.Server{DataCentre: "a"}, time.Now()), errEvacuated)
		require.NoError(t, gate.Check(membership.Server{DataCentre: "b"}, time.Now().Add(-time.Minute)))
	})
}

// TestNoWaitWithoutATimeLimit guards against waits in deployments without evacuations.
func TestNoWaitWithoutATimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newTestGate(t, &scriptedLog{hangs: time.Hour})
		gate.maxAge = 0
		time.Sleep(time.Minute)
		begun := time.Now()
		gate.Refresh(t.Context())
		require.Zero(t, time.Since(begun))
		require.NoError(t, gate.Check(membership.Server{DataCentre: "a"}, time.Time{}))
		time.Sleep(time.Hour)
	})
}

type countingProber struct{ probes int }

func (p *countingProber) Probe(context.Context, membership.Server) error {
	p.probes++
	return nil
}

// TestEvacuatedServersAreNotProbed guards against health probes that reach an evacuated
// data centre.
func TestEvacuatedServersAreNotProbed(t *testing.T) {
	gate := newSendGate(evacuation.New(zerolog.Nop(), time.Now), nil, 0)
	counting := &countingProber{}
	prober := &gatedProber{gate: gate, prober: counting}
	require.NoError(t, prober.Probe(t.Context(), membership.Server{DataCentre: "a"}))
	gate.orders.Apply(evacuation.Update{DataCentre: "a", InForce: true})
	require.Error(t, prober.Probe(t.Context(), membership.Server{DataCentre: "a"}))
	require.NoError(t, prober.Probe(t.Context(), membership.Server{DataCentre: "b"}))
	require.Equal(t, 2, counting.probes)
}

// TestReadWithoutSettingsRevokesNothing guards against servers of an evacuated data centre
// that get requests because the log has lost its history.
func TestReadWithoutSettingsRevokesNothing(t *testing.T) {
	sink := newTestSink()
	settings := logservice.KeyedEntry{Key: "settings", Value: []byte("{}")}
	a, b := logservice.KeyedEntry{Key: "a", Value: []byte("{}")}, logservice.KeyedEntry{Key: "b", Value: []byte("{}")}
	sink.Reset([]logservice.KeyedEntry{settings, a})
	require.True(t, sink.orders.orders.InForce("a"))
	sink.Reset(nil)
	require.True(t, sink.orders.orders.InForce("a"))
	sink.Reset([]logservice.KeyedEntry{b})
	require.True(t, sink.orders.orders.InForce("a"))
	require.True(t, sink.orders.orders.InForce("b"))
	sink.Reset([]logservice.KeyedEntry{settings, b})
	require.False(t, sink.orders.orders.InForce("a"))
}

// TestLoadReturnsGraduallyAfterAnOrder revokes the order for half of 46 servers, which may
// be cold, and counts the requests that they get.
func TestLoadReturnsGraduallyAfterAnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := newTestSink()
		table, placer := sink.orders.servers, sink.orders.placer
		for i := range 46 {
			s := membership.Server{ID: string(rune('A' + i)), Service: "svc", Slots: 8, StartedMS: 1, DataCentre: []string{"a", "b"}[i%2]}
			table.Apply(membership.Update{ID: s.ID, Server: &s})
		}
		share := func() float64 {
			got := 0
			for range 2000 {
				placed, ok := placer.Pick(table.ForService("svc"), affinity.Query{})
				require.True(t, ok)
				require.False(t, sink.orders.orders.InForce(placed.Server.DataCentre))
				if placed.Server.DataCentre == "a" {
					got++
				}
				placed.Done()
			}
			return float64(got) / 2000
		}
		sink.Apply([]logservice.KeyedEntry{{Key: "a", Value: []byte("{}")}})
		require.Len(t, table.ForService("svc"), 23)
		require.False(t, table.Usable(membership.Server{ID: "A", Service: "svc", StartedMS: 1}), "idle connections to it are closed")
		require.True(t, table.Known("A"))
		require.False(t, table.Ended(membership.Server{ID: "A", StartedMS: 1}), "an evacuated server has not crashed")
		require.Zero(t, share())
		sink.Apply([]logservice.KeyedEntry{{Key: "a"}})
		require.Len(t, table.ForService("svc"), 46)
		require.Zero(t, share(), "at first")
		time.Sleep(affinity.ReturnPeriod)
		require.Greater(t, share(), 0.5, "the router's own data centre is preferred")
	})
}

// TestUnreadableOrderIsInForce guards against an order that is lost for its value.
func TestUnreadableOrderIsInForce(t *testing.T) {
	sink := newTestSink()
	sink.orders.decoder.CheckOrder = func([]byte) error { return errors.New("no object") }
	sink.Apply([]logservice.KeyedEntry{{Key: "a", Value: []byte("?")}})
	require.True(t, sink.orders.orders.InForce("a"))
}

// TestMetricsShowOrders guards against an evacuation that operators cannot see, since
// camphorctl does not reach these routers.
func TestMetricsShowOrders(t *testing.T) {
	orders := evacuation.New(zerolog.Nop(), func() time.Time { return time.UnixMilli(1_700_000_000_500) })
	metrics := newRequestMetrics()
	metrics.registry.MustRegister(ordersCollector{orders})
	scrape := func() string {
		w := httptest.NewRecorder()
		metrics.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return w.Body.String()
	}
	require.NotContains(t, scrape(), "camphor_evacuated_since_seconds{")
	orders.Apply(evacuation.Update{DataCentre: "a", InForce: true}, evacuation.Update{DataCentre: "\xff", InForce: true})
	require.Contains(t, scrape(), `camphor_evacuated_since_seconds{data_centre="a"} 1.7000000005e+09`)
	orders.Apply(evacuation.Update{DataCentre: "a"})
	require.NotContains(t, scrape(), `data_centre="a"`)
}

// TestOlderCopyOfTheLogRevokesNoOrder guards against requests to an evacuated data centre
// whose order the log has lost.
func TestOlderCopyOfTheLogRevokesNoOrder(t *testing.T) {
	sink := newTestSink()
	settings := logservice.KeyedEntry{Key: "settings", Value: []byte("{}")}
	a, b := logservice.KeyedEntry{Key: "a", Value: []byte("{}")}, logservice.KeyedEntry{Key: "b", Value: []byte("{}")}
	sink.Reset([]logservice.KeyedEntry{settings, a})
	sink.Restore([]logservice.KeyedEntry{settings, b})
	require.True(t, sink.orders.orders.InForce("a"))
	require.True(t, sink.orders.orders.InForce("b"))
	sink.Apply([]logservice.KeyedEntry{{Key: "a"}})
	require.False(t, sink.orders.orders.InForce("a"))
}
