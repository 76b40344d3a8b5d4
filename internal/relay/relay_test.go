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

// script is what a fake gate does with the n-th request that it gets.
type script func(g *gate, w http.ResponseWriter, resume wire.ResumeRequest)

type gate struct {
	t       *testing.T
	scripts []script
	paths   []string
	from    []uint64
	conns   []string // remote address of each request
	stop    chan struct{}
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var resume wire.ResumeRequest
	require.NoError(g.t, msgpack.NewDecoder(r.Body).Decode(&resume))
	n := len(g.paths)
	g.paths = append(g.paths, r.URL.Path)
	g.from = append(g.from, resume.From)
	g.conns = append(g.conns, r.RemoteAddr)
	g.scripts[n](g, w, resume)
}

func (g *gate) frames(w http.ResponseWriter, resume wire.ResumeRequest, frames ...wire.Frame) {
	out := wire.NewFrameWriter(w)
	for _, f := range frames {
		if f.Request == (ident.RequestID{}) {
			f.Request, f.Attempt = resume.Request, resume.Attempt
		}
		_ = out.Write(&f)
	}
	_ = http.NewResponseController(w).Flush()
}

func (g *gate) hang() { <-g.stop }

// pipes is a listener whose connections live in memory, so that they run on
// the bubble's clock.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	count int
}

type named struct {
	net.Conn
	name string
}

func (n named) RemoteAddr() net.Addr { return addr(n.name) }

type addr string

func (a addr) Network() string { return "pipe" }
func (a addr) String() string  { return string(a) }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *pipes) Close() error   { close(p.done); return nil }
func (p *pipes) Addr() net.Addr { return addr("gate") }

func (p *pipes) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	p.count++
	select {
	case p.conns <- named{far, string(rune('a' + p.count - 1))}:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func begin() wire.Frame { return wire.Frame{Kind: wire.FrameBegin, Outcome: wire.BeginStarted} }
func running() wire.Frame {
	return wire.Frame{Kind: wire.FrameBegin, Outcome: wire.BeginRunning}
}
func event(n uint64) wire.Frame {
	return wire.Frame{Kind: wire.FrameEvent, Offset: n, Data: []byte{byte(n)}}
}
func end(n uint64) wire.Frame { return wire.Frame{Kind: wire.FrameEnd, Offset: n} }
func beat() wire.Frame        { return wire.Frame{Kind: wire.FrameHeartbeat} }

func serve(frames ...wire.Frame) script {
	return func(g *gate, w http.ResponseWriter, r wire.ResumeRequest) { g.frames(w, r, frames...) }
}

func serveThenHang(frames ...wire.Frame) script {
	return func(g *gate, w http.ResponseWriter, r wire.ResumeRequest) {
		g.frames(w, r, frames...)
		g.hang()
	}
}

// run serves the scripts in a bubble and calls use with a client of them.
func run(t *testing.T, scripts []script, use func(c *Client, g *gate, p *pipes)) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate{t: t, scripts: scripts, stop: make(chan struct{})}
		p := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
		server := &http.Server{Handler: g}
		served := make(chan struct{})
		go func() { _ = server.Serve(p); close(served) }()
		c := New("key", p.dial)
		use(c, g, p)
		close(g.stop)
		c.Close()
		_ = server.Close()
		<-served
		time.Sleep(2 * idleTimeout) // distrusted pools close themselves
	})
}

var peer = Peer{Gate: 7, Address: "gate"}

func request() *wire.BeginRequest {
	return &wire.BeginRequest{Request: ident.NewNonce(), Attempt: 1, Key: ident.Key{1}, Gate: 7}
}

// collect reads a stream to its end.
func collect(t *testing.T, s *Stream) (data []byte, err error) {
	t.Helper()
	for {
		f, err := s.Next()
		if err != nil || f.Kind != wire.FrameEvent {
			return data, err
		}
		data = append(data, f.Data...)
	}
}

func TestAnswerIsWholeUnderFaults(t *testing.T) {
	foreign := event(1)
	foreign.Request, foreign.Attempt, foreign.Data = ident.NewNonce(), 1, []byte{99}
	otherAttempt := func(g *gate, w http.ResponseWriter, r wire.ResumeRequest) {
		f := event(1)
		f.Request, f.Attempt, f.Data = r.Request, r.Attempt+1, []byte{99}
		g.frames(w, r, begin(), event(0), f, event(1), event(2), end(3))
	}
	cases := map[string]struct {
		scripts []script
		from    []uint64
	}{
		"no fault":              {[]script{serve(begin(), event(0), beat(), event(1), event(2), end(3))}, []uint64{0}},
		"crossed frame":         {[]script{serve(begin(), event(0), foreign, event(1), event(2), end(3))}, []uint64{0}},
		"frame of old attempt":  {[]script{otherAttempt}, []uint64{0}},
		"late and repeated":     {[]script{serve(begin(), event(0), event(1), event(0), event(1), event(2), end(3))}, []uint64{0}},
		"connection ends":       {[]script{serve(begin(), event(0)), serve(running(), event(1), event(2), end(3))}, []uint64{0, 1}},
		"gap":                   {[]script{serve(begin(), event(0), event(2)), serve(running(), event(1), event(2), end(3))}, []uint64{0, 1}},
		"end before last event": {[]script{serve(begin(), event(0), end(3)), serve(running(), event(1), event(2), end(3))}, []uint64{0, 1}},
		"silent twice": {[]script{serveThenHang(begin(), event(0)), serveThenHang(running(), event(1)),
			serve(running(), event(2), end(3))}, []uint64{0, 1, 2}},
		"resume repeats too much": {[]script{serve(begin(), event(0), event(1)), serve(running(), event(0), event(1), event(2), end(3))}, []uint64{0, 2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, c.scripts, func(client *Client, g *gate, _ *pipes) {
				s, err := client.Begin(context.Background(), peer, request())
				require.NoError(t, err)
				data, err := collect(t, s)
				s.Close()
				require.NoError(t, err)
				require.Equal(t, []byte{0, 1, 2}, data)
				require.Equal(t, c.from, g.from)
			})
		})
	}
}

func TestSilentConnectionIsFoundInTimeAndItsPoolNotReused(t *testing.T) {
	scripts := []script{
		serve(begin(), end(0)), // two answers at once leave two idle connections
		serve(begin(), end(0)),
		func(g *gate, w http.ResponseWriter, r wire.ResumeRequest) { // only frames of others arrive
			g.frames(w, r, begin(), event(0))
			for range 20 {
				f := beat()
				f.Request = ident.NewNonce()
				g.frames(w, r, f)
				select {
				case <-g.stop:
					return
				case <-time.After(wire.HeartbeatInterval):
				}
			}
		},
		serve(running(), event(1), end(2)),
		serve(begin(), end(0)),
	}
	run(t, scripts, func(client *Client, g *gate, p *pipes) {
		open := func() *Stream {
			s, err := client.Begin(context.Background(), peer, request())
			require.NoError(t, err)
			return s
		}
		read := func(s *Stream) {
			_, err := collect(t, s)
			require.NoError(t, err)
			s.Close()
		}
		readAll := func() { read(open()) }
		first, second := open(), open()
		read(first)
		read(second)
		start := time.Now()
		readAll()
		took := time.Since(start)
		require.GreaterOrEqual(t, took, silence)
		require.Less(t, took, silence+2*firstResumeGap)
		readAll()
		require.Equal(t, []string{"a", "b", "b", "c", "c"}, g.conns, "the finished answer's connection is reused, the silent one's pool is not")
	})
}

func TestBeginFailures(t *testing.T) {
	status := func(code int) script {
		return func(_ *gate, w http.ResponseWriter, _ wire.ResumeRequest) { w.WriteHeader(code) }
	}
	cases := map[string]struct {
		script script
		want   error
	}{
		"refused by the listener":  {status(http.StatusForbidden), ErrNotSent},
		"failed inside":            {status(http.StatusInternalServerError), ErrNoReply},
		"silent before the header": {func(g *gate, _ http.ResponseWriter, _ wire.ResumeRequest) { g.hang() }, ErrNoReply},
		"silent after the header":  {serveThenHang(), ErrNoReply},
		"ends at once":             {serve(), ErrNoReply},
		"event before begin":       {serve(event(0)), ErrNoReply},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, []script{c.script}, func(client *Client, _ *gate, _ *pipes) {
				start := time.Now()
				_, err := client.Begin(context.Background(), peer, request())
				require.ErrorIs(t, err, c.want)
				require.LessOrEqual(t, time.Since(start), silence)
			})
		})
	}
	t.Run("dial fails", func(t *testing.T) {
		c := New("key", func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed })
		_, err := c.Begin(context.Background(), peer, request())
		require.ErrorIs(t, err, ErrNotSent)
	})
}

// TestPatience covers an answer that is slow but alive, and one whose
// connection breaks after every event.
func TestPatience(t *testing.T) {
	slow := func(g *gate, w http.ResponseWriter, r wire.ResumeRequest) {
		g.frames(w, r, begin())
		for range 10 {
			time.Sleep(wire.HeartbeatInterval)
			g.frames(w, r, beat())
		}
		g.frames(w, r, event(0), end(1))
	}
	breaking := []script{serve(begin(), event(0))}
	for n := uint64(1); n < 3*maxResumes; n++ {
		breaking = append(breaking, serve(running(), event(n)))
	}
	breaking = append(breaking, serve(running(), end(3*maxResumes)))
	for events, scripts := range map[int][]script{1: {slow}, 3 * maxResumes: breaking} {
		run(t, scripts, func(client *Client, _ *gate, _ *pipes) {
			s, err := client.Begin(context.Background(), peer, request())
			require.NoError(t, err)
			data, err := collect(t, s)
			require.NoError(t, err)
			require.Len(t, data, events)
			s.Close()
		})
	}
}

func TestLostAnswer(t *testing.T) {
	unknown := wire.Frame{Kind: wire.FrameBegin, Outcome: wire.BeginUnknown}
	run(t, []script{serve(begin(), event(0)), serve(unknown)}, func(client *Client, _ *gate, _ *pipes) {
		s, err := client.Begin(context.Background(), peer, request())
		require.NoError(t, err)
		data, err := collect(t, s)
		require.ErrorIs(t, err, ErrNotResumable)
		require.Equal(t, []byte{0}, data)
	})
	scripts := []script{serve(begin(), event(0))}
	for range maxResumes {
		scripts = append(scripts, serve())
	}
	run(t, scripts, func(client *Client, g *gate, _ *pipes) {
		s, err := client.Begin(context.Background(), peer, request())
		require.NoError(t, err)
		_, err = collect(t, s)
		require.ErrorIs(t, err, ErrNotResumable)
		require.Len(t, g.paths, 1+maxResumes)
	})
}
