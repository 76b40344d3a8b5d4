package rpc

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Times of a client.
const (
	dialTimeout     = 2 * time.Second
	callTimeout     = 5 * time.Second // when ctx has no deadline
	idleTimeout     = time.Minute     // a connection without calls is closed
	heartbeatWindow = wire.HeartbeatInterval * wire.MaxMissedHeartbeats
)

var calls = counter.NewSet("rpc_client")

// Options describe a peer.
type Options struct {
	Address  string // internal listener, host:port
	FleetKey string
	Service  string // that has the method wire.MethodPing
	// Offsets are sent with each heartbeat; nil sends none.
	Offsets func() wire.Offsets
	// OnHeartbeat is told the reply to each heartbeat; it may be nil.
	OnHeartbeat func(wire.PingReply)
	// Dial replaces the TCP dialer; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client is a Caller over one connection that is dialled when needed. A
// connection that missed a deadline or its heartbeats is closed and never used
// again.
type Client struct {
	options Options

	mu       sync.Mutex // guards conn, dialling and closed
	conn     *connection
	dialling *dialling // nil if no dial is in progress
	closed   bool
}

// dialling is a dial in progress; conn and err are set before done is closed.
type dialling struct {
	done chan struct{}
	conn *connection
	err  error
}

var _ Caller = (*Client)(nil)

// connection is one dialled connection and its heartbeat.
type connection struct {
	rpc  *rpc.Client
	once sync.Once
	done chan struct{} // closed with the connection

	mu   sync.Mutex // guards used
	used time.Time  // of the last call
}

// NewClient returns a client of a peer. It dials at the first call.
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

// Call calls a method and waits for the reply, at most until ctx ends or
// callTimeout if it has no deadline. An error that the method itself returned
// is an rpc.ServerError of net/rpc. Reply must not be read after an error.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	conn, err := c.connect(ctx)
	if err != nil {
		calls.Inc("not_sent")
		return errors.Wrap(ErrNotSent, err.Error())
	}
	conn.touch()
	// Go blocks while the connection takes no more bytes, so the deadline
	// closes the connection from aside.
	stop := context.AfterFunc(ctx, func() { c.expired(ctx, conn) })
	defer stop()
	call := conn.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.finish(conn, call.Error)
	case <-ctx.Done():
		c.expired(ctx, conn)
		return errors.Wrap(ErrNoReply, ctx.Err().Error())
	}
}

// expired drops a connection that missed a deadline. A caller that merely went
// away says nothing about the connection.
func (c *Client) expired(ctx context.Context, conn *connection) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.drop(conn)
	}
}

// finish tells an error of the method from one of the connection.
func (c *Client) finish(conn *connection, err error) error {
	var server rpc.ServerError
	if err == nil || errors.As(err, &server) {
		return err
	}
	c.drop(conn)
	calls.Inc("connection_lost")
	return errors.Wrap(ErrNoReply, err.Error())
}

// Close closes the connection; later calls fail.
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

// connect returns the connection in use, or waits for one to be dialled.
// Concurrent callers wait for the same dial, each no longer than its own ctx.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	c.mu.Lock()
	conn, attempt, closed := c.conn, c.dialling, c.closed
	if conn == nil && attempt == nil && !closed {
		attempt = &dialling{done: make(chan struct{})}
		c.dialling = attempt
		go c.dialOnce(attempt)
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

// dialOnce dials and puts the connection in use.
func (c *Client) dialOnce(attempt *dialling) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(attempt.done)
	c.dialling = nil
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
	go c.heartbeats(conn)
}

// dial opens a connection and asks for net/rpc on it.
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
	return &connection{rpc: rpc.NewClient(raw), done: make(chan struct{}), used: time.Now()}, nil
}

func handshake(conn net.Conn, fleetKey string) error {
	_, err := fmt.Fprintf(conn, "CONNECT %s HTTP/1.0\r\n%s: %s\r\n\r\n", wire.PathRPC, wire.FleetKeyHeader, fleetKey)
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if response.Status != connected {
		return errors.Errorf("peer refused the connection: %s", response.Status)
	}
	return nil
}

// drop closes a connection for good.
func (c *Client) drop(conn *connection) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
		calls.Inc("dropped")
	}
	c.mu.Unlock()
	conn.close()
}

// heartbeats pings until the connection is closed. A ping without a reply
// within the heartbeat window drops the connection, as does a long idle time.
func (c *Client) heartbeats(conn *connection) {
	ticker := time.NewTicker(wire.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-conn.done:
			return
		case <-ticker.C:
		}
		if conn.idle() {
			c.drop(conn)
			return
		}
		if !c.ping(conn) {
			calls.Inc("heartbeat_missed")
			c.drop(conn)
			return
		}
	}
}

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

func (conn *connection) touch() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.used = time.Now()
}

func (conn *connection) idle() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return time.Since(conn.used) > idleTimeout
}

func (conn *connection) close() {
	conn.once.Do(func() {
		close(conn.done)
		conn.rpc.Close()
	})
}
