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

// orderFixture is an order controller with a stand-in engine.
type orderFixture struct {
	*OrderController
	client *engine.Client
	tree   atomic.Pointer[settings.Tree]
	fence  atomic.Uint64
	fenced atomic.Bool
}

func newOrderFixture(t *testing.T, checksFences bool) (*orderFixture, func()) {
	network := pipetest.New()
	server := &http.Server{Handler: standin.New(standin.Options{Models: []string{"old"}, CheckFences: checksFences}).Handler()}
	go server.Serve(network)
	b := &orderFixture{client: engine.New(engine.Config{URL: "http://engine", Logger: zerolog.Nop(), Transport: network.Transport()})}
	b.fence.Store(7)
	b.tree.Store(&settings.Tree{
		Models:  map[ident.ModelID]settings.Model{"m": {Version: "v2", Adapters: []ident.AdapterID{"a"}}},
		Servers: map[ident.ServerID]settings.Server{"s": {Models: []ident.ModelID{"m"}, Adapters: []ident.AdapterID{"a"}, Role: "decode"}},
	})
	b.OrderController = &OrderController{
		Server: "s", Engine: b.client, Weights: unlimitedWeights{}, Logger: zerolog.Nop(),
		Settings:     b.tree.Load,
		FencingToken: func() ident.Incarnation { return ident.Incarnation(b.fence.Load()) },
		OnFenced:     func() { b.fenced.Store(true) },
	}
	return b, func() { server.Close() }
}

func (b *orderFixture) runFor(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	b.Run(ctx)
}

var wantedInventory = engine.Inventory{
	Models: []ident.ModelID{"m"}, Adapters: []ident.AdapterID{"a"},
	Versions: map[ident.ModelID]string{"m": "v2"}, Role: "decode",
}

func TestOrdersApplySettingsToEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stop := newOrderFixture(t, true)
		defer stop()
		b.fence.Store(0)
		b.runFor(5 * time.Second)
		have, err := b.client.Inventory(t.Context())
		require.NoError(t, err)
		require.Equal(t, []ident.ModelID{"old"}, have.Models, "an order was sent without a registration")
		b.fence.Store(7)
		b.runFor(5 * time.Second)
		have, err = b.client.Inventory(t.Context())
		require.NoError(t, err)
		require.Equal(t, wantedInventory, have)
		require.ErrorIs(t, b.client.SendOrder(t.Context(), engine.Order{Kind: engine.SetRole, Fence: 6}), engine.ErrFenced)
	})
}

// A process that was replaced while it was paused continues to send orders with
// its old fencing token. An engine that checks tokens must refuse them. With an
// engine that does not, the bound port prevents the replacement from starting
// (TestListenFailsWhenPortIsBound).
func TestOrdersWithOldFencingToken(t *testing.T) {
	for name, checks := range map[string]bool{"checked": true, "not checked": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, stop := newOrderFixture(t, checks)
				defer stop()
				require.NoError(t, b.client.SendOrder(t.Context(), engine.Order{Kind: engine.LoadModel, Model: "newer", Fence: 8}))
				b.runFor(5 * time.Second)
				have, err := b.client.Inventory(t.Context())
				require.NoError(t, err)
				require.Equal(t, checks, b.fenced.Load())
				require.Equal(t, checks, len(have.Models) == 2, "number of models with and without the refused orders")
			})
		})
	}
}

func TestListenFailsWhenPortIsBound(t *testing.T) {
	first, err := Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	defer first.Close()
	_, err = Listen(t.Context(), first.Addr().String())
	require.Error(t, err)
	var bind *net.OpError
	require.ErrorAs(t, err, &bind)
}

// slowOrderEngine is an engine that takes 10 s for an order, loses the reply to
// every second one and counts the orders in flight.
type slowOrderEngine struct {
	mu          sync.Mutex
	have        engine.Inventory
	inFlight    int
	maxInFlight int
	received    int
}

func (s *slowOrderEngine) Inventory(context.Context) (engine.Inventory, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.have, nil
}

func (s *slowOrderEngine) SendOrder(ctx context.Context, order engine.Order) error {
	s.mu.Lock()
	s.inFlight++
	s.received++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	lost := s.received%2 == 0
	s.mu.Unlock()
	sleep(ctx, 10*time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.have.Models = append(s.have.Models, order.Model)
	if lost {
		return context.DeadlineExceeded
	}
	return nil
}

func TestOneOrderInFlightAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stop := newOrderFixture(t, false)
		defer stop()
		taker := &slowOrderEngine{}
		b.Engine = taker
		b.tree.Store(&settings.Tree{Servers: map[ident.ServerID]settings.Server{"s": {Models: []ident.ModelID{"a", "b", "c", "d"}}}})
		b.runFor(2 * time.Minute)
		require.Equal(t, 1, taker.maxInFlight)
		require.Equal(t, []ident.ModelID{"a", "b", "c", "d"}, taker.have.Models, "each model must be loaded once, even after a lost reply")
	})
}

// The store refuses three of four requests with a Retry-After of ten seconds.
func TestWeightsClientRetriesAfterDelayWithJitter(t *testing.T) {
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
		require.GreaterOrEqual(t, time.Since(start), 30*time.Second, "Retry-After was not honoured")
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		require.Error(t, weights.Acquire(ctx, "m"))
	})
	pauses := map[time.Duration]bool{}
	for range 100 {
		pauses[retryDelay(6, 0)/time.Second] = true
	}
	require.Greater(t, len(pauses), 20, "the delays after a refusal are not spread")
}

func TestListenerRequiresFleetKey(t *testing.T) {
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

// inertEngine accepts every order but never changes its inventory.
type inertEngine struct{ received int }

func (d *inertEngine) Inventory(context.Context) (engine.Inventory, error) {
	return engine.Inventory{}, nil
}
func (d *inertEngine) SendOrder(context.Context, engine.Order) error { d.received++; return nil }

func TestOrderWithoutEffectIsRepeatedAtInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stop := newOrderFixture(t, false)
		defer stop()
		taker := &inertEngine{}
		b.Engine = taker
		b.runFor(10 * orderInterval)
		require.InDelta(t, 11, taker.received, 1)
	})
}
