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

// Peer is the service of the tests.
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

// network dials pipes to one server, or to nothing that answers.
type network struct {
	server *rpc.Server
	refuse bool
	mute   bool // new connections answer the handshake and then nothing
	dials  int
	conns  []net.Conn
	open   []*stalling
}

// stalling is a connection that can go silent for good.
type stalling struct {
	net.Conn
	silent chan struct{}
}

func (s *stalling) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	select {
	case <-s.silent:
		// What arrives now is lost; the reader waits until it closes.
		for err == nil {
			_, err = s.Conn.Read(p)
		}
		return 0, err
	default:
		return n, err
	}
}

func (n *network) dial(context.Context, string) (net.Conn, error) {
	n.dials++
	if n.refuse {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	n.conns = append(n.conns, near, far)
	conn := &stalling{Conn: near, silent: make(chan struct{})}
	n.open = append(n.open, conn)
	go n.serve(far, n.mute)
	return conn, nil
}

func (n *network) serve(conn net.Conn, mute bool) {
	buf := make([]byte, 1024)
	if _, err := conn.Read(buf); err != nil {
		return
	}
	if _, err := conn.Write([]byte("HTTP/1.0 " + connected + "\n\n")); err != nil || mute {
		return
	}
	n.server.ServeConn(conn)
}

func inNetwork(t *testing.T, test func(t *testing.T, n *network, c *Client, p *Peer)) {
	synctest.Test(t, func(t *testing.T) {
		p := &Peer{hold: make(chan struct{})}
		n := &network{server: rpc.NewServer()}
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

func double(c *Client, n int, limit time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var reply int
	err := c.Call(ctx, "Peer.Double", &n, &reply)
	return reply, err
}

func TestCallsAndErrorsOfMethods(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network, c *Client, _ *Peer) {
		reply, err := double(c, 4, time.Second)
		require.NoError(t, err)
		require.Equal(t, 8, reply)
		_, err = double(c, -1, time.Second)
		require.EqualError(t, err, "negative")
		require.NotErrorIs(t, err, ErrNoReply)
		_, err = double(c, 4, time.Second)
		require.NoError(t, err)
		require.Equal(t, 1, n.dials)
	})
}

func TestNotSentOnlyIfItCannotHaveArrived(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network, c *Client, _ *Peer) {
		n.refuse = true
		_, err := double(c, 4, time.Second)
		require.ErrorIs(t, err, ErrNotSent)
		n.refuse, n.mute = false, true
		_, err = double(c, 4, time.Second)
		require.ErrorIs(t, err, ErrNoReply)
		n.mute = false
		_, err = double(c, 4, time.Second)
		require.NoError(t, err)
		require.Equal(t, 3, n.dials)
	})
}

func TestASilentConnectionIsLeftAfterItsHeartbeats(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network, c *Client, _ *Peer) {
		_, err := double(c, 4, time.Second)
		require.NoError(t, err)
		close(n.open[0].silent)
		began := time.Now()
		_, err = double(c, 4, time.Hour)
		require.ErrorIs(t, err, ErrNoReply)
		require.LessOrEqual(t, time.Since(began), wire.HeartbeatInterval*(wire.MaxMissedHeartbeats+1))
		_, err = double(c, 4, time.Second)
		require.NoError(t, err)
		require.Equal(t, 2, n.dials)
	})
}

func TestADeadlineDropsTheConnectionAnEndedCallerDoesNot(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network, c *Client, _ *Peer) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		var none int
		require.ErrorIs(t, c.Call(ctx, "Peer.Hold", &none, &none), ErrNoReply)
		_, err := double(c, 1, time.Second)
		require.NoError(t, err)
		require.Equal(t, 1, n.dials)
		require.ErrorIs(t, c.Call(t.Context(), "Peer.Hold", &none, &none), ErrNoReply)
		_, err = double(c, 1, time.Second)
		require.NoError(t, err)
		require.Equal(t, 2, n.dials)
	})
}

func TestADialThatHangsHoldsNobodyPastItsDeadline(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network, _ *Client, _ *Peer) {
		c := NewClient(Options{Service: "Peer", Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		began := time.Now()
		go func() { _, _ = double(c, 1, time.Hour) }()
		synctest.Wait()
		_, err := double(c, 1, 100*time.Millisecond)
		require.ErrorIs(t, err, ErrNotSent)
		require.Equal(t, 100*time.Millisecond, time.Since(began))
		time.Sleep(dialTimeout)
	})
}

// A server lets go of a client that went silent, and of none that is only slow
// to call.
func TestServerClosesSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer("fleet")
		require.NoError(t, server.Register("Peer", &Peer{}))
		near, far := net.Pipe()
		closed := make(chan time.Time, 1)
		go func() {
			server.serveConn(far)
			closed <- time.Now()
		}()
		client := rpc.NewClient(near)
		for range 60 {
			time.Sleep(wire.HeartbeatInterval)
			require.NoError(t, client.Call("Peer.Ping", &wire.PingArgs{}, &wire.PingReply{}))
		}
		last := time.Now()
		require.Equal(t, silentTimeout, (<-closed).Sub(last))
		client.Close()
	})
}

func TestServerWantsTheFleetKey(t *testing.T) {
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
		_, err := double(c, 1, 5*time.Second)
		require.ErrorIs(t, err, want)
		require.NoError(t, c.Close())
	}
	empty := httptest.NewRequest(http.MethodConnect, wire.PathRPC, nil)
	require.False(t, HasFleetKey(empty, ""), "an empty key admits nobody")
}
