package side

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/engine"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/pipetest"
	"github.com/camphorlever/camphorlever/internal/settings"
	standin "github.com/camphorlever/camphorlever/internal/standin/engine"
)

// orderBench is an order controller at a stand-in engine.
type orderBench struct {
	*Orders
	client *engine.Client
	tree   atomic.Pointer[settings.Tree]
	fence  atomic.Uint64
	fenced atomic.Bool
}

func newOrderBench(t *testing.T, checksFences bool) (*orderBench, func()) {
	network := pipetest.New()
	server := &http.Server{Handler: standin.New(standin.Options{Models: []string{"old"}, CheckFences: checksFences}).Handler()}
	go server.Serve(network)
	b := &orderBench{client: engine.New(engine.Config{URL: "http://engine", Logger: zerolog.Nop(), Transport: network.Transport()})}
	b.fence.Store(7)
	b.tree.Store(&settings.Tree{
		Models:  map[ident.ModelID]settings.Model{"m": {Version: "v2", Adapters: []ident.AdapterID{"a"}}},
		Servers: map[ident.ServerID]settings.Server{"s": {Models: []ident.ModelID{"m"}, Adapters: []ident.AdapterID{"a"}, Role: "decode"}},
	})
	b.Orders = &Orders{
		Server: "s", Engine: b.client, Weights: freeWeights{}, Logger: zerolog.Nop(),
		Settings: b.tree.Load,
		Fence:    func() ident.Incarnation { return ident.Incarnation(b.fence.Load()) },
		Fenced:   func() { b.fenced.Store(true) },
	}
	return b, func() { server.Close() }
}

func (b *orderBench) runFor(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	b.Run(ctx)
}

var wantedInventory = engine.Inventory{
	Models: []ident.ModelID{"m"}, Adapters: []ident.AdapterID{"a"},
	Versions: map[ident.ModelID]string{"m": "v2"}, Role: "decode",
}

func TestOrdersFollowTheSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stop := newOrderBench(t, true)
		defer stop()
		b.fence.Store(0)
		b.runFor(5 * time.Second)
		have, err := b.client.Inventory(t.Context())
		require.NoError(t, err)
		require.Equal(t, []ident.ModelID{"old"}, have.Models, "no order without a registration")
		b.fence.Store(7)
		b.runFor(5 * time.Second)
		have, err = b.client.Inventory(t.Context())
		require.NoError(t, err)
		require.Equal(t, wantedInventory, have)
		require.ErrorIs(t, b.client.SendOrder(t.Context(), engine.Order{Kind: engine.SetRole, Fence: 6}), engine.ErrFenced)
	})
}

// A process that was replaced while it was paused orders on with its old
// fencing number. An engine that checks refuses; where the engine does not
// check, the port keeps the replacement from starting at all.
func TestOrdersOfAReplacedProcess(t *testing.T) {
	for name, checks := range map[string]bool{"checked": true, "not checked": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, stop := newOrderBench(t, checks)
				defer stop()
				require.NoError(t, b.client.SendOrder(t.Context(), engine.Order{Kind: engine.LoadModel, Model: "newer", Fence: 8}))
				b.runFor(5 * time.Second)
				have, err := b.client.Inventory(t.Context())
				require.NoError(t, err)
				require.Equal(t, checks, b.fenced.Load())
				require.Equal(t, checks, len(have.Models) == 2, "orders were refused")
			})
		})
	}
}

func TestPortExcludesASecondProcess(t *testing.T) {
	first, err := Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	defer first.Close()
	_, err = Listen(t.Context(), first.Addr().String())
	require.Error(t, err)
	var bind *net.OpError
	require.ErrorAs(t, err, &bind)
}

// slowTaker is an engine that loses the reply to every second order and
// counts the orders under way.
type slowTaker struct {
	mu       sync.Mutex
	have     engine.Inventory
	underWay int
	most     int
	given    int
}

func (s *slowTaker) Inventory(context.Context) (engine.Inventory, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.have, nil
}

func (s *slowTaker) SendOrder(ctx context.Context, order engine.Order) error {
	s.mu.Lock()
	s.underWay++
	s.given++
	s.most = max(s.most, s.underWay)
	lost := s.given%2 == 0
	s.mu.Unlock()
	pauseFor(ctx, 10*time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.underWay--
	s.have.Models = append(s.have.Models, order.Model)
	if lost {
		return context.DeadlineExceeded
	}
	return nil
}

func TestOneOrderIsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stop := newOrderBench(t, false)
		defer stop()
		taker := &slowTaker{}
		b.Engine = taker
		b.tree.Store(&settings.Tree{Servers: map[ident.ServerID]settings.Server{"s": {Models: []ident.ModelID{"a", "b", "c", "d"}}}})
		b.runFor(2 * time.Minute)
		require.Equal(t, 1, taker.most)
		require.Equal(t, []ident.ModelID{"a", "b", "c", "d"}, taker.have.Models, "each loaded once, lost replies included")
	})
}

// The store grants one load a minute and says to come back after ten seconds.
func TestWeightLoadsAreSpread(t *testing.T) {
	var granted, refused atomic.Int32
	store := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refused.Add(1)%4 != 0 {
			w.Header().Set("Retry-After", "10")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		granted.Add(1)
	})
	synctest.Test(t, func(t *testing.T) {
		network := pipetest.New()
		server := &http.Server{Handler: store}
		go server.Serve(network)
		defer server.Close()
		weights := NewWeightsClient("http://store", &http.Client{Transport: network.Transport()})
		start := time.Now()
		require.NoError(t, weights.Acquire(t.Context(), "m"))
		require.EqualValues(t, 1, granted.Load())
		require.GreaterOrEqual(t, time.Since(start), 30*time.Second, "Retry-After was not kept")
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		require.Error(t, weights.Acquire(ctx, "m"))
	})
	pauses := map[time.Duration]bool{}
	for range 100 {
		pauses[backoff(6, 0)/time.Second] = true
	}
	require.Greater(t, len(pauses), 20, "refused processes come back together")
}

func TestListenerWantsTheFleetKey(t *testing.T) {
	server := httptest.NewServer(NewHandler(nil, nil, fleetKey, http.NotFoundHandler(), zerolog.Nop()))
	defer server.Close()
	for _, key := range []string{"", "wrong"} {
		for _, path := range []string{"/internal/run", "/internal/answer"} {
			request, err := http.NewRequest(http.MethodPost, server.URL+path, nil)
			require.NoError(t, err)
			request.Header.Set("X-Camphor-Fleet-Key", key)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			response.Body.Close()
			require.Equal(t, http.StatusForbidden, response.StatusCode)
		}
	}
}

// deafTaker takes every order without an effect.
type deafTaker struct{ given int }

func (d *deafTaker) Inventory(context.Context) (engine.Inventory, error) {
	return engine.Inventory{}, nil
}
func (d *deafTaker) SendOrder(context.Context, engine.Order) error { d.given++; return nil }

func TestOrderWithoutEffectIsNotRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stop := newOrderBench(t, false)
		defer stop()
		taker := &deafTaker{}
		b.Engine = taker
		b.runFor(10 * ordersInterval)
		require.InDelta(t, 11, taker.given, 1)
	})
}
