package rpc

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Timeouts and limits of a client.
const (
	dialTimeout     = 2 * time.Second
	callTimeout     = 5 * time.Second // of a call whose ctx has no deadline
	idleTimeout     = time.Minute     // a connection without calls for longer is closed
	heartbeatWindow = wire.HeartbeatInterval * wire.MaxMissedHeartbeats

	maxHandshakeBytes = 4 << 10 // of the reply to the handshake
)

var clientCounters = counter.NewSet("rpc_client")

// Options configure a Client.
type Options struct {
	Address  string // host:port of the peer's internal listener
	FleetKey string
	// Service is the net/rpc service of the peer that has the method
	// wire.MethodPing. If it is empty, no heartbeats are sent, and a silent
	// connection is noticed by the first call that misses its deadline.
	Service string
	// Offsets returns the offsets to send with each heartbeat; may be nil.
	Offsets func() wire.Offsets
	// OnHeartbeat is called with the reply to each heartbeat; may be nil.
	OnHeartbeat func(wire.PingReply)
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client is a Caller that uses one connection at a time and dials it when needed. A
// connection on which a call missed its deadline or a heartbeat got no reply is
// closed and not used again.
type Client struct {
	options Options

	mu             sync.Mutex // guards conn, dialInProgress and closed
	conn           *connection
	dialInProgress *dialAttempt // nil if no dial is in progress
	closed         bool
}

// dialAttempt is a dial in progress; conn and err are set before done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *connection
	err  error
}

var _ Caller = (*Client)(nil)

// connection is an open connection with its heartbeat.
type connection struct {
	rpc  *rpc.Client
	once sync.Once
	done chan struct{} // closed when the connection is closed

	mu       sync.Mutex // guards lastUsed
	lastUsed time.Time  // start of the last call
}

// NewClient returns a client of a peer. It dials on the first call.
func NewClient(options Options) *Client {
	if options.Dial == nil {
		options.Dial = dialTCP
	}
	return &Client{options: options}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Call calls a method and waits for the reply until ctx ends, and for no longer than
// callTimeout if ctx has no deadline. An error returned by the method itself is an
// rpc.ServerError of net/rpc; other errors wrap ErrNotSent or ErrNoReply. After an
// error the caller must not read reply.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	conn, err := c.connect(ctx)
	if err != nil {
		clientCounters.Inc("not_sent")
		return errors.Wrap(ErrNotSent, err.Error())
	}
	conn.markUsed()
	// conn.rpc.Go blocks while the connection accepts no more bytes. Closing
	// the connection at the deadline unblocks it.
	stop := context.AfterFunc(ctx, func() { c.dropIfDeadlineExceeded(ctx, conn) })
	defer stop()
	call := conn.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.classifyError(conn, call.Error)
	case <-ctx.Done():
		c.dropIfDeadlineExceeded(ctx, conn)
		return errors.Wrap(ErrNoReply, ctx.Err().Error())
	}
}

// dropIfDeadlineExceeded drops a connection on which a call missed its deadline. A
// call that was only cancelled does not show that the connection is broken.
func (c *Client) dropIfDeadlineExceeded(ctx context.Context, conn *connection) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.drop(conn)
	}
}

// classifyError returns an error of the method as it is. Any other error is one of
// the connection: the connection is dropped and the error wraps ErrNoReply.
func (c *Client) classifyError(conn *connection, err error) error {
	var methodError rpc.ServerError
	if err == nil || errors.As(err, &methodError) {
		return err
	}
	c.drop(conn)
	clientCounters.Inc("connection_lost")
	return errors.Wrap(ErrNoReply, err.Error())
}

// Close closes the connection. Later calls fail with ErrNotSent.
func (c *Client) Close() error {
	c.mu.Lock()
	conn := c.conn
	c.closed = true
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		conn.close()
	}
	return nil
}

// connect returns the open connection, or waits until one is dialled. Concurrent
// callers wait for the same dial, each no longer than its own ctx.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	c.mu.Lock()
	conn, attempt, closed := c.conn, c.dialInProgress, c.closed
	if conn == nil && attempt == nil && !closed {
		attempt = &dialAttempt{done: make(chan struct{})}
		c.dialInProgress = attempt
		go c.dialAndPublish(attempt)
	}
	c.mu.Unlock()
	switch {
	case closed:
		return nil, errors.New("client is closed")
	case conn != nil:
		return conn, nil
	}
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dialAndPublish dials and publishes the result: in the attempt for the callers that
// wait for it, and in c.conn for later calls. It also starts the heartbeats.
func (c *Client) dialAndPublish(attempt *dialAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(attempt.done)
	c.dialInProgress = nil
	attempt.conn, attempt.err = conn, err
	if err != nil {
		return
	}
	if c.closed {
		conn.close()
		attempt.conn, attempt.err = nil, errors.New("client is closed")
		return
	}
	c.conn = conn
	go c.sendHeartbeats(conn)
}

// dial opens a connection and performs the net/rpc handshake on it.
func (c *Client) dial(ctx context.Context) (*connection, error) {
	raw, err := c.options.Dial(ctx, c.options.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	err = handshake(raw, c.options.FleetKey)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, err
	}
	return &connection{rpc: rpc.NewClient(raw), done: make(chan struct{}), lastUsed: time.Now()}, nil
}

// handshake sends the CONNECT request with the fleet key and checks the reply.
func handshake(conn net.Conn, fleetKey string) error {
	_, err := fmt.Fprintf(conn, "CONNECT %s HTTP/1.0\r\n%s: %s\r\n\r\n", wire.PathRPC, wire.FleetKeyHeader, fleetKey)
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxHandshakeBytes)), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if response.Status != connectedStatus {
		return errors.Errorf("peer refused the connection: %s", response.Status)
	}
	return nil
}

// drop closes a connection and removes it from the client.
func (c *Client) drop(conn *connection) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
		clientCounters.Inc("dropped")
	}
	c.mu.Unlock()
	conn.close()
}

// sendHeartbeats pings the peer, if it has a service for that, until the connection
// is closed. The connection is dropped if a ping gets no reply within
// heartbeatWindow, or if no call was made for idleTimeout.
func (c *Client) sendHeartbeats(conn *connection) {
	period := wire.HeartbeatInterval
	if c.options.Service == "" {
		period = idleTimeout
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-conn.done:
			return
		case <-ticker.C:
		}
		if conn.isIdle() {
			c.drop(conn)
			return
		}
		if c.options.Service != "" && !c.ping(conn) {
			clientCounters.Inc("heartbeat_missed")
			c.drop(conn)
			return
		}
	}
}

// ping sends a heartbeat and reports whether the reply arrived in time.
func (c *Client) ping(conn *connection) bool {
	var args wire.PingArgs
	if c.options.Offsets != nil {
		args.Offsets = c.options.Offsets()
	}
	var reply wire.PingReply
	method := c.options.Service + "." + wire.MethodPing
	call := conn.rpc.Go(method, &args, &reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(heartbeatWindow)
	defer timer.Stop()
	select {
	case <-call.Done:
		if call.Error == nil && c.options.OnHeartbeat != nil {
			c.options.OnHeartbeat(reply)
		}
		return call.Error == nil
	case <-timer.C:
		return false
	}
}

func (conn *connection) markUsed() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.lastUsed = time.Now()
}

func (conn *connection) isIdle() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return time.Since(conn.lastUsed) > idleTimeout
}

func (conn *connection) close() {
	conn.once.Do(func() {
		close(conn.done)
		conn.rpc.Close()
	})
}
