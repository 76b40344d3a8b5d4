// Package relay streams the answer of a run from a gate to the router. It begins
// runs, checks the heartbeats of the frame stream, and resumes at an offset over
// another connection if one breaks or times out. Frames of another request or
// attempt and repeated frames are dropped and counted.
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

// silenceTimeout is the maximum time between two frames of a stream.
const silenceTimeout = wire.MaxMissedHeartbeats * wire.HeartbeatInterval

// Errors of a stream.
var (
	// ErrNotSent means that the gate has not received the request.
	ErrNotSent = errors.New("request was not sent to the gate")
	// ErrNoReply means that the gate may have received the request but sent no
	// valid reply.
	ErrNoReply = errors.New("gate did not reply")
	// ErrNotResumable means that the rest of the answer cannot be read from the gate.
	ErrNotResumable = errors.New("answer cannot be resumed")
)

// Peer is one incarnation of a side process and the address that it listens on.
type Peer struct {
	Gate    ident.Incarnation
	Address string
}

// Client opens streams to gates. It is safe for concurrent use.
type Client struct {
	fleetKey string
	dial     DialFunc
	counters *counter.Set

	mu    sync.RWMutex // guards pools; each pool has a lock of its own
	pools map[Peer]*pool
}

// New returns a client. If dial is nil, it connects over TCP.
func New(fleetKey string, dial DialFunc) *Client {
	return &Client{
		fleetKey: fleetKey,
		dial:     dial,
		counters: counter.NewSet("relay"),
		pools:    map[Peer]*pool{},
	}
}

// Begin asks the gate to start a run and returns the stream of its answer. The
// stream ends when the context does. Begin fails with ErrNotSent or ErrNoReply.
func (c *Client) Begin(ctx context.Context, peer Peer, request *wire.BeginRequest) (*Stream, error) {
	s := c.newStream(ctx, peer, wire.ResumeRequest{
		Request: request.Request,
		Attempt: request.Attempt,
		Key:     request.Key,
		Gate:    request.Gate,
		From:    request.From,
	})
	if err := s.open(wire.PathRun, request); err != nil {
		c.countOpenError(err)
		return nil, err
	}
	return s, nil
}

// Attach returns the stream of an existing answer at the gate. The stream ends
// when the context does. Attach fails with ErrNotSent or ErrNoReply.
func (c *Client) Attach(ctx context.Context, peer Peer, request *wire.ResumeRequest) (*Stream, error) {
	s := c.newStream(ctx, peer, *request)
	if err := s.open(wire.PathAnswer, request); err != nil {
		c.countOpenError(err)
		return nil, err
	}
	return s, nil
}

// RetainPeers removes the connection pools of all other peers and closes their
// idle connections.
func (c *Client) RetainPeers(peers map[Peer]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for peer, p := range c.pools {
		if !peers[peer] {
			p.close()
			delete(c.pools, peer)
		}
	}
}

// Close removes all connection pools and closes their idle connections.
func (c *Client) Close() {
	c.RetainPeers(nil)
}

func (c *Client) countOpenError(err error) {
	if errors.Is(err, ErrNotSent) {
		c.counters.Inc("not_sent")
		return
	}
	c.counters.Inc("no_reply")
}

func (c *Client) pool(peer Peer) *pool {
	c.mu.RLock()
	p, ok := c.pools[peer]
	c.mu.RUnlock()
	if ok {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok = c.pools[peer]; ok {
		return p
	}
	p = &pool{transport: newTransport(c.dial), dial: c.dial}
	c.pools[peer] = p
	return p
}

// post sends one request. It returns the response and the transport that was
// used. The caller must cancel ctx when it is done with the response: that closes
// the connection, unless the body was read to its end.
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
	transport := c.pool(peer).current()
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
	// A status from 400 to 499 means that the listener refused the request before it
	// reached the gate. Any other may come from the gate itself.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096))
	response.Body.Close()
	reason := ErrNoReply
	if response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError {
		reason = ErrNotSent
	}
	return nil, transport, errors.Wrapf(reason, "gate's listener answered %d", response.StatusCode)
}

// watchdog calls a function if reset or stop is not called within
// silenceTimeout. It is used to cancel the request of a stalled connection.
type watchdog struct {
	timer    *time.Timer
	timedOut atomic.Bool
}

func newWatchdog(onSilence func()) *watchdog {
	w := &watchdog{}
	w.timer = time.AfterFunc(silenceTimeout, func() {
		w.timedOut.Store(true)
		onSilence()
	})
	return w
}

func (w *watchdog) reset() { w.timer.Reset(silenceTimeout) }
func (w *watchdog) stop()  { w.timer.Stop() }
