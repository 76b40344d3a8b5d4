package relay

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// script handles one request to a fake gate.
type script func(g *fakeGate, w http.ResponseWriter, resume wire.ResumeRequest)

// fakeGate handles its n-th request with its n-th script.
type fakeGate struct {
	t       *testing.T
	scripts []script
	paths   []string
	from    []uint64
	conns   []string // remote address of each request
	stop    chan struct{}
}

func (g *fakeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var resume wire.ResumeRequest
	require.NoError(g.t, msgpack.NewDecoder(r.Body).Decode(&resume))
	n := len(g.paths)
	g.paths = append(g.paths, r.URL.Path)
	g.from = append(g.from, resume.From)
	g.conns = append(g.conns, r.RemoteAddr)
	g.scripts[n](g, w, resume)
}

func (g *fakeGate) writeFrames(w http.ResponseWriter, resume wire.ResumeRequest, frames ...wire.Frame) {
	out := wire.NewFrameWriter(w)
	for _, f := range frames {
		if f.Request == (ident.RequestID{}) {
			f.Request, f.Attempt = resume.Request, resume.Attempt
		}
		_ = out.Write(&f)
	}
	_ = http.NewResponseController(w).Flush()
}

func (g *fakeGate) waitForStop() { <-g.stop }

// pipeListener is a listener of in-memory connections, which work with the fake
// clock of synctest.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	count int
}

type namedConn struct {
	net.Conn
	name string
}

func (n namedConn) RemoteAddr() net.Addr { return pipeAddr(n.name) }

type pipeAddr string

func (a pipeAddr) Network() string { return "pipe" }
func (a pipeAddr) String() string  { return string(a) }

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *pipeListener) Close() error   { close(p.done); return nil }
func (p *pipeListener) Addr() net.Addr { return pipeAddr("gate") }

func (p *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	p.count++
	select {
	case p.conns <- namedConn{serverEnd, string(rune('a' + p.count - 1))}:
		return clientEnd, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func beginFrame() wire.Frame { return wire.Frame{Kind: wire.FrameBegin, Outcome: wire.BeginStarted} }
func runningFrame() wire.Frame {
	return wire.Frame{Kind: wire.FrameBegin, Outcome: wire.BeginRunning}
}
func eventFrame(n uint64) wire.Frame {
	return wire.Frame{Kind: wire.FrameEvent, Offset: n, Data: []byte{byte(n)}}
}
func endFrame(n uint64) wire.Frame { return wire.Frame{Kind: wire.FrameEnd, Offset: n} }
func heartbeatFrame() wire.Frame   { return wire.Frame{Kind: wire.FrameHeartbeat} }

func serve(frames ...wire.Frame) script {
	return func(g *fakeGate, w http.ResponseWriter, r wire.ResumeRequest) { g.writeFrames(w, r, frames...) }
}

func serveThenHang(frames ...wire.Frame) script {
	return func(g *fakeGate, w http.ResponseWriter, r wire.ResumeRequest) {
		g.writeFrames(w, r, frames...)
		g.waitForStop()
	}
}

// withFakeGate serves the scripts in a synctest bubble and calls use with a client
// of the fake gate.
func withFakeGate(t *testing.T, scripts []script, use func(c *Client, g *fakeGate, p *pipeListener)) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGate{t: t, scripts: scripts, stop: make(chan struct{})}
		p := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		server := &http.Server{Handler: g}
		served := make(chan struct{})
		go func() { _ = server.Serve(p); close(served) }()
		c := New("key", p.dial)
		use(c, g, p)
		close(g.stop)
		c.Close()
		_ = server.Close()
		<-served
		time.Sleep(2 * idleTimeout) // connections of replaced transports close after idleTimeout
	})
}

var peer = Peer{Gate: 7, Address: "gate"}

func request() *wire.BeginRequest {
	return &wire.BeginRequest{Request: ident.NewNonce(), Attempt: 1, Key: ident.Key{1}, Gate: 7}
}

// readEvents reads a stream to its end and returns the data of its events.
func readEvents(t *testing.T, s *Stream) (data []byte, err error) {
	t.Helper()
	for {
		f, err := s.Next()
		if err != nil || f.Kind != wire.FrameEvent {
			return data, err
		}
		data = append(data, f.Data...)
	}
}

func TestStreamIsCompleteUnderFaults(t *testing.T) {
	foreign := eventFrame(1)
	foreign.Request, foreign.Attempt, foreign.Data = ident.NewNonce(), 1, []byte{99}
	otherAttempt := func(g *fakeGate, w http.ResponseWriter, r wire.ResumeRequest) {
		f := eventFrame(1)
		f.Request, f.Attempt, f.Data = r.Request, r.Attempt+1, []byte{99}
		g.writeFrames(w, r, beginFrame(), eventFrame(0), f, eventFrame(1), eventFrame(2), endFrame(3))
	}
	cases := map[string]struct {
		scripts []script
		from    []uint64
	}{
		"no fault":                 {[]script{serve(beginFrame(), eventFrame(0), heartbeatFrame(), eventFrame(1), eventFrame(2), endFrame(3))}, []uint64{0}},
		"frame of another request": {[]script{serve(beginFrame(), eventFrame(0), foreign, eventFrame(1), eventFrame(2), endFrame(3))}, []uint64{0}},
		"frame of another attempt": {[]script{otherAttempt}, []uint64{0}},
		"repeated events":          {[]script{serve(beginFrame(), eventFrame(0), eventFrame(1), eventFrame(0), eventFrame(1), eventFrame(2), endFrame(3))}, []uint64{0}},
		"connection closed":        {[]script{serve(beginFrame(), eventFrame(0)), serve(runningFrame(), eventFrame(1), eventFrame(2), endFrame(3))}, []uint64{0, 1}},
		"gap in offsets":           {[]script{serve(beginFrame(), eventFrame(0), eventFrame(2)), serve(runningFrame(), eventFrame(1), eventFrame(2), endFrame(3))}, []uint64{0, 1}},
		"end before last event":    {[]script{serve(beginFrame(), eventFrame(0), endFrame(3)), serve(runningFrame(), eventFrame(1), eventFrame(2), endFrame(3))}, []uint64{0, 1}},
		"connection stalls twice": {[]script{serveThenHang(beginFrame(), eventFrame(0)), serveThenHang(runningFrame(), eventFrame(1)),
			serve(runningFrame(), eventFrame(2), endFrame(3))}, []uint64{0, 1, 2}},
		"resume repeats events": {[]script{serve(beginFrame(), eventFrame(0), eventFrame(1)), serve(runningFrame(), eventFrame(0), eventFrame(1), eventFrame(2), endFrame(3))}, []uint64{0, 2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFakeGate(t, c.scripts, func(client *Client, g *fakeGate, _ *pipeListener) {
				s, err := client.Begin(context.Background(), peer, request())
				require.NoError(t, err)
				data, err := readEvents(t, s)
				s.Close()
				require.NoError(t, err)
				require.Equal(t, []byte{0, 1, 2}, data)
				require.Equal(t, c.from, g.from)
			})
		})
	}
}

func TestSilentConnectionTimesOutAndItsPoolIsNotReused(t *testing.T) {
	scripts := []script{
		serve(beginFrame(), endFrame(0)), // two concurrent answers leave two idle connections
		serve(beginFrame(), endFrame(0)),
		func(g *fakeGate, w http.ResponseWriter, r wire.ResumeRequest) { // sends only heartbeats of other requests
			g.writeFrames(w, r, beginFrame(), eventFrame(0))
			for range 20 {
				f := heartbeatFrame()
				f.Request = ident.NewNonce()
				g.writeFrames(w, r, f)
				select {
				case <-g.stop:
					return
				case <-time.After(wire.HeartbeatInterval):
				}
			}
		},
		serve(runningFrame(), eventFrame(1), endFrame(2)),
		serve(beginFrame(), endFrame(0)),
	}
	withFakeGate(t, scripts, func(client *Client, g *fakeGate, p *pipeListener) {
		open := func() *Stream {
			s, err := client.Begin(context.Background(), peer, request())
			require.NoError(t, err)
			return s
		}
		read := func(s *Stream) {
			_, err := readEvents(t, s)
			require.NoError(t, err)
			s.Close()
		}
		readAll := func() { read(open()) }
		first, second := open(), open()
		read(first)
		read(second)
		start := time.Now()
		readAll()
		elapsed := time.Since(start)
		require.GreaterOrEqual(t, elapsed, silenceTimeout)
		require.Less(t, elapsed, silenceTimeout+2*initialResumeDelay)
		readAll()
		require.Equal(t, []string{"a", "b", "b", "c", "c"}, g.conns, "the connection of a finished answer is reused, the transport of a stalled one is not")
	})
}

func TestBeginFailures(t *testing.T) {
	status := func(code int) script {
		return func(_ *fakeGate, w http.ResponseWriter, _ wire.ResumeRequest) { w.WriteHeader(code) }
	}
	cases := map[string]struct {
		script script
		want   error
	}{
		"refused by the listener":      {status(http.StatusForbidden), ErrNotSent},
		"status of no refusal":         {status(http.StatusFound), ErrNoReply},
		"server error":                 {status(http.StatusInternalServerError), ErrNoReply},
		"no response header":           {func(g *fakeGate, _ http.ResponseWriter, _ wire.ResumeRequest) { g.waitForStop() }, ErrNoReply},
		"no frame after the header":    {serveThenHang(), ErrNoReply},
		"empty response":               {serve(), ErrNoReply},
		"event before the begin frame": {serve(eventFrame(0)), ErrNoReply},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFakeGate(t, []script{c.script}, func(client *Client, _ *fakeGate, _ *pipeListener) {
				start := time.Now()
				_, err := client.Begin(context.Background(), peer, request())
				require.ErrorIs(t, err, c.want)
				require.LessOrEqual(t, time.Since(start), silenceTimeout)
			})
		})
	}
	t.Run("dial fails", func(t *testing.T) {
		c := New("key", func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed })
		_, err := c.Begin(context.Background(), peer, request())
		require.ErrorIs(t, err, ErrNotSent)
	})
}

// TestSlowAndRepeatedlyBrokenStreamsComplete reads an answer that is slow but sends
// heartbeats, and one whose connection breaks after every event.
func TestSlowAndRepeatedlyBrokenStreamsComplete(t *testing.T) {
	slow := func(g *fakeGate, w http.ResponseWriter, r wire.ResumeRequest) {
		g.writeFrames(w, r, beginFrame())
		for range 10 {
			time.Sleep(wire.HeartbeatInterval)
			g.writeFrames(w, r, heartbeatFrame())
		}
		g.writeFrames(w, r, eventFrame(0), endFrame(1))
	}
	breaking := []script{serve(beginFrame(), eventFrame(0))}
	for n := uint64(1); n < 3*maxResumes; n++ {
		breaking = append(breaking, serve(runningFrame(), eventFrame(n)))
	}
	breaking = append(breaking, serve(runningFrame(), endFrame(3*maxResumes)))
	for events, scripts := range map[int][]script{1: {slow}, 3 * maxResumes: breaking} {
		withFakeGate(t, scripts, func(client *Client, _ *fakeGate, _ *pipeListener) {
			s, err := client.Begin(context.Background(), peer, request())
			require.NoError(t, err)
			data, err := readEvents(t, s)
			require.NoError(t, err)
			require.Len(t, data, events)
			s.Close()
		})
	}
}

func TestStreamFailsWithErrNotResumable(t *testing.T) {
	unknown := wire.Frame{Kind: wire.FrameBegin, Outcome: wire.BeginUnknownKey}
	withFakeGate(t, []script{serve(beginFrame(), eventFrame(0)), serve(unknown)}, func(client *Client, _ *fakeGate, _ *pipeListener) {
		s, err := client.Begin(context.Background(), peer, request())
		require.NoError(t, err)
		data, err := readEvents(t, s)
		require.ErrorIs(t, err, ErrNotResumable)
		require.Equal(t, []byte{0}, data)
	})
	scripts := []script{serve(beginFrame(), eventFrame(0))}
	for range maxResumes {
		scripts = append(scripts, serve())
	}
	withFakeGate(t, scripts, func(client *Client, g *fakeGate, _ *pipeListener) {
		s, err := client.Begin(context.Background(), peer, request())
		require.NoError(t, err)
		_, err = readEvents(t, s)
		require.ErrorIs(t, err, ErrNotResumable)
		require.Len(t, g.paths, 1+maxResumes)
	})
}
