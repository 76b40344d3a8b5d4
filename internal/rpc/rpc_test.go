package rpc

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/wire"
)

// Peer is the net/rpc service of the tests. Hold blocks until hold is closed.
type Peer struct {
	hold chan struct{}
}

func (*Peer) Ping(_ *wire.PingArgs, reply *wire.PingReply) error {
	reply.Incarnation = 5
	return nil
}

func (*Peer) Double(args *int, reply *int) error {
	if *args < 0 {
		return errors.New("negative")
	}
	*reply = 2 * *args
	return nil
}

func (p *Peer) Hold(*int, *int) error {
	<-p.hold
	return nil
}

// fakeNetwork dials in-memory connections to one server. It can refuse dials or
// ignore calls.
type fakeNetwork struct {
	server      *rpc.Server
	refuseDials bool
	ignoreCalls bool // new connections answer the handshake but no calls
	dials       int
	conns       []net.Conn
	clientConns []*stallingConn
}

// stallingConn is a connection that delivers nothing more once stalled is closed.
type stallingConn struct {
	net.Conn
	stalled chan struct{}
}

func (s *stallingConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	select {
	case <-s.stalled:
		// Discard what arrives until the connection is closed.
		for err == nil {
			_, err = s.Conn.Read(p)
		}
		return 0, err
	default:
		return n, err
	}
}

func (n *fakeNetwork) dial(context.Context, string) (net.Conn, error) {
	n.dials++
	if n.refuseDials {
		return nil, errors.New("refused")
	}
	clientEnd, serverEnd := net.Pipe()
	n.conns = append(n.conns, clientEnd, serverEnd)
	conn := &stallingConn{Conn: clientEnd, stalled: make(chan struct{})}
	n.clientConns = append(n.clientConns, conn)
	go n.serve(serverEnd, n.ignoreCalls)
	return conn, nil
}

func (n *fakeNetwork) serve(conn net.Conn, ignoreCalls bool) {
	buf := make([]byte, 1024)
	if _, err := conn.Read(buf); err != nil {
		return
	}
	if _, err := conn.Write([]byte("HTTP/1.0 " + connectedStatus + "\n\n")); err != nil || ignoreCalls {
		return
	}
	n.server.ServeConn(conn)
}

// withNetwork runs a test with a client of a Peer in a synctest bubble, then closes
// all connections.
func withNetwork(t *testing.T, test func(t *testing.T, n *fakeNetwork, c *Client, p *Peer)) {
	synctest.Test(t, func(t *testing.T) {
		p := &Peer{hold: make(chan struct{})}
		n := &fakeNetwork{server: rpc.NewServer()}
		require.NoError(t, n.server.RegisterName("Peer", p))
		c := NewClient(Options{Address: "peer", FleetKey: "k", Service: "Peer", Dial: n.dial})
		test(t, n, c, p)
		close(p.hold)
		require.NoError(t, c.Close())
		for _, conn := range n.conns {
			conn.Close()
		}
	})
}

// callDouble calls Peer.Double with a timeout.
func callDouble(c *Client, n int, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply int
	err := c.Call(ctx, "Peer.Double", &n, &reply)
	return reply, err
}

func TestCallReturnsReplyOrMethodError(t *testing.T) {
	withNetwork(t, func(t *testing.T, n *fakeNetwork, c *Client, _ *Peer) {
		reply, err := callDouble(c, 4, time.Second)
		require.NoError(t, err)
		require.Equal(t, 8, reply)
		_, err = callDouble(c, -1, time.Second)
		require.EqualError(t, err, "negative")
		require.NotErrorIs(t, err, ErrNoReply)
		_, err = callDouble(c, 4, time.Second)
		require.NoError(t, err)
		require.Equal(t, 1, n.dials)
	})
}

func TestErrNotSentOnlyIfRequestCannotHaveArrived(t *testing.T) {
	withNetwork(t, func(t *testing.T, n *fakeNetwork, c *Client, _ *Peer) {
		n.refuseDials = true
		_, err := callDouble(c, 4, time.Second)
		require.ErrorIs(t, err, ErrNotSent)
		n.refuseDials, n.ignoreCalls = false, true
		_, err = callDouble(c, 4, time.Second)
		require.ErrorIs(t, err, ErrNoReply)
		n.ignoreCalls = false
		_, err = callDouble(c, 4, time.Second)
		require.NoError(t, err)
		require.Equal(t, 3, n.dials)
	})
}

func TestSilentConnectionIsDroppedAfterMissedHeartbeats(t *testing.T) {
	withNetwork(t, func(t *testing.T, n *fakeNetwork, c *Client, _ *Peer) {
		_, err := callDouble(c, 4, time.Second)
		require.NoError(t, err)
		close(n.clientConns[0].stalled)
		start := time.Now()
		_, err = callDouble(c, 4, time.Hour)
		require.ErrorIs(t, err, ErrNoReply)
		require.LessOrEqual(t, time.Since(start), wire.HeartbeatInterval*(wire.MaxMissedHeartbeats+1))
		_, err = callDouble(c, 4, time.Second)
		require.NoError(t, err)
		require.Equal(t, 2, n.dials)
	})
}

func TestDeadlineDropsConnectionButCancellationDoesNot(t *testing.T) {
	withNetwork(t, func(t *testing.T, n *fakeNetwork, c *Client, _ *Peer) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		var none int
		require.ErrorIs(t, c.Call(ctx, "Peer.Hold", &none, &none), ErrNoReply)
		_, err := callDouble(c, 1, time.Second)
		require.NoError(t, err)
		require.Equal(t, 1, n.dials)
		require.ErrorIs(t, c.Call(t.Context(), "Peer.Hold", &none, &none), ErrNoReply)
		_, err = callDouble(c, 1, time.Second)
		require.NoError(t, err)
		require.Equal(t, 2, n.dials)
	})
}

func TestHangingDialDoesNotDelayCallsPastTheirDeadline(t *testing.T) {
	withNetwork(t, func(t *testing.T, n *fakeNetwork, _ *Client, _ *Peer) {
		c := NewClient(Options{Service: "Peer", Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		start := time.Now()
		go func() { _, _ = callDouble(c, 1, time.Hour) }()
		synctest.Wait()
		_, err := callDouble(c, 1, 100*time.Millisecond)
		require.ErrorIs(t, err, ErrNotSent)
		require.Equal(t, 100*time.Millisecond, time.Since(start))
		time.Sleep(dialTimeout)
	})
}

// TestServerClosesSilentConnections checks that the server closes a connection once
// the client sends nothing for readWriteTimeout, and keeps it while only heartbeats
// arrive.
func TestServerClosesSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer("fleet")
		require.NoError(t, server.Register("Peer", &Peer{}))
		clientEnd, serverEnd := net.Pipe()
		closed := make(chan time.Time, 1)
		go func() {
			server.serveConn(serverEnd)
			closed <- time.Now()
		}()
		client := rpc.NewClient(clientEnd)
		for range 60 {
			time.Sleep(wire.HeartbeatInterval)
			require.NoError(t, client.Call("Peer.Ping", &wire.PingArgs{}, &wire.PingReply{}))
		}
		last := time.Now()
		require.Equal(t, readWriteTimeout, (<-closed).Sub(last))
		client.Close()
	})
}

func TestServerRequiresFleetKey(t *testing.T) {
	server := NewServer("fleet")
	require.NoError(t, server.Register("Peer", &Peer{}))
	for _, c := range []struct {
		key, method, want string
	}{
		{"", http.MethodConnect, "401"},
		{"operator", http.MethodConnect, "401"},
		{"fleet", http.MethodGet, "405"},
	} {
		request := httptest.NewRequest(c.method, wire.PathRPC, nil)
		request.Header.Set(wire.FleetKeyHeader, c.key)
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		require.True(t, strings.HasPrefix(recorder.Result().Status, c.want), recorder.Result().Status)
	}
	listener := httptest.NewServer(server)
	defer listener.Close()
	address := listener.Listener.Addr().String()
	for key, want := range map[string]error{"fleet": nil, "caller": ErrNotSent} {
		c := NewClient(Options{Address: address, FleetKey: key, Service: "Peer"})
		_, err := callDouble(c, 1, 5*time.Second)
		require.ErrorIs(t, err, want)
		require.NoError(t, c.Close())
	}
	empty := httptest.NewRequest(http.MethodConnect, wire.PathRPC, nil)
	require.False(t, HasFleetKey(empty, ""), "an empty fleet key accepts no request")
}
