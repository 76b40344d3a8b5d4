// Package relay brings a run's answer from a gate to the router: it begins
// runs, watches the heartbeats of the frame stream, and resumes at an offset
// through another connection when one breaks or goes silent. Frames that are
// not of the own request, or that repeat, are dropped and counted.
package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// silence is how long a connection may stay without a frame of its stream.
const silence = wire.MissedHeartbeats * wire.HeartbeatInterval

// Errors of a stream.
var (
	// ErrNotSent means that the gate cannot have received the request.
	ErrNotSent = errors.New("request was not sent to the gate")
	// ErrNoReply means that the gate may have received the request.
	ErrNoReply = errors.New("gate did not reply")
	// ErrNotResumable means that the answer cannot be resumed at its gate.
	ErrNotResumable = errors.New("answer cannot be resumed")
)

// Peer is one life of a side process and where it listens.
type Peer struct {
	Gate    ident.Incarnation
	Address string
}

// Client opens streams to gates. It is safe for concurrent use.
type Client struct {
	fleetKey string
	dial     DialFunc
	counters *counter.Set

	mu    sync.RWMutex // guards links; a link's own state has its own lock
	links map[Peer]*link
}

// New returns a client. Dial may be nil for plain TCP.
func New(fleetKey string, dial DialFunc) *Client {
	return &Client{
		fleetKey: fleetKey,
		dial:     dial,
		counters: counter.NewSet("relay"),
		links:    map[Peer]*link{},
	}
}

// Begin asks the gate to start a run and returns the stream of its answer.
// The context bounds the whole stream. It fails with ErrNotSent or ErrNoReply.
func (c *Client) Begin(ctx context.Context, peer Peer, request *wire.BeginRequest) (*Stream, error) {
	s := c.newStream(ctx, peer, wire.ResumeRequest{
		Request: request.Request,
		Attempt: request.Attempt,
		Key:     request.Key,
		Gate:    request.Gate,
		From:    request.From,
	})
	if err := s.open(wire.PathRun, request); err != nil {
		c.countBegin(err)
		return nil, err
	}
	return s, nil
}

// Attach returns the stream of an answer that exists at the gate. It fails
// with ErrNotSent or ErrNoReply.
func (c *Client) Attach(ctx context.Context, peer Peer, request *wire.ResumeRequest) (*Stream, error) {
	s := c.newStream(ctx, peer, *request)
	if err := s.open(wire.PathAnswer, request); err != nil {
		c.countBegin(err)
		return nil, err
	}
	return s, nil
}

// RetainPeers forgets the connections to all peers but the given ones.
func (c *Client) RetainPeers(peers map[Peer]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for peer, l := range c.links {
		if !peers[peer] {
			l.close()
			delete(c.links, peer)
		}
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.RetainPeers(nil)
}

func (c *Client) countBegin(err error) {
	if errors.Is(err, ErrNotSent) {
		c.counters.Inc("not_sent")
		return
	}
	c.counters.Inc("no_reply")
}

func (c *Client) link(peer Peer) *link {
	c.mu.RLock()
	l, ok := c.links[peer]
	c.mu.RUnlock()
	if ok {
		return l
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok = c.links[peer]; ok {
		return l
	}
	l = &link{transport: newTransport(c.dial), dial: c.dial}
	c.links[peer] = l
	return l
}

// post sends one request. The returned cancel function closes the connection
// and must be called; a connection closed that way is never reused.
func (c *Client) post(ctx context.Context, peer Peer, path string, body any) (*http.Response, *http.Transport, error) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return nil, nil, errors.Wrap(ErrNotSent, err.Error())
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.Address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, nil, errors.Wrap(ErrNotSent, err.Error())
	}
	request.Header.Set(wire.FleetKeyHeader, c.fleetKey)
	transport := c.link(peer).current()
	response, err := transport.RoundTrip(request)
	if err != nil {
		if !connected.Load() {
			return nil, transport, errors.Wrap(ErrNotSent, err.Error())
		}
		return nil, transport, errors.Wrap(ErrNoReply, err.Error())
	}
	if response.StatusCode == http.StatusOK {
		return response, transport, nil
	}
	// The listener refuses before the gate sees the request; anything from
	// 500 on may come from further inside.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096))
	response.Body.Close()
	reason := ErrNotSent
	if response.StatusCode >= http.StatusInternalServerError {
		reason = ErrNoReply
	}
	return nil, transport, errors.Wrapf(reason, "gate's listener answered %d", response.StatusCode)
}

// watchdog ends a connection on which nothing arrives.
type watchdog struct {
	timer  *time.Timer
	silent atomic.Bool
}

func newWatchdog(end func()) *watchdog {
	w := &watchdog{}
	w.timer = time.AfterFunc(silence, func() {
		w.silent.Store(true)
		end()
	})
	return w
}

func (w *watchdog) arm()  { w.timer.Reset(silence) }
func (w *watchdog) rest() { w.timer.Stop() }
