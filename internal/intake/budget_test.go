package intake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

// fixture is a budget with a clock of its own.
type fixture struct {
	*Budget
	clock   time.Time
	givenUp []string
}

func newFixture(limit int64) *fixture {
	f := &fixture{Budget: NewBudget(Limits{Bytes: limit}), clock: time.Unix(1000, 0)}
	f.now = func() time.Time { return f.clock }
	return f
}

// holder adds a connection that receives a request, and reserves bytes for it.
func (f *fixture) holder(t *testing.T, address, name string, held int64) *Holder {
	h := f.open(address, nil, func() { f.givenUp = append(f.givenUp, name) })
	h.setPhase(receiving)
	require.NoError(t, h.Reserve(held))
	return h
}

// TestLargestUnfinishedRequestIsGivenUp guards against ordinary requests that are
// refused because unfinished ones hold the whole budget.
func TestLargestUnfinishedRequestIsGivenUp(t *testing.T) {
	f := newFixture(1000 + 3*connBytes)
	f.holder(t, "a", "small", 200)
	large := f.holder(t, "a", "large", 700)
	ordinary := f.holder(t, "a", "ordinary", 300)
	require.Equal(t, []string{"large"}, f.givenUp)
	require.ErrorIs(t, large.Reserve(1), ErrFull, "a request that was given up gets nothing more")
	require.ErrorIs(t, large.Complete(), ErrFull)
	require.NoError(t, ordinary.Complete())
	require.EqualValues(t, 500+3*connBytes, f.Used())
	large.close()
	large.close()
	require.EqualValues(t, 500+2*connBytes, f.Used())
}

// TestCompleteRequestsAreNotGivenUp guards against a 503 for a request that may
// have run.
func TestCompleteRequestsAreNotGivenUp(t *testing.T) {
	f := newFixture(1000 + 2*connBytes)
	require.NoError(t, f.holder(t, "a", "complete", 900).Complete())
	h := f.open("b", nil, func() {})
	h.setPhase(receiving)
	require.ErrorIs(t, h.Reserve(200), ErrFull)
	require.Empty(t, f.givenUp)
}

// TestStalledRequestIsGivenUpFirst guards against an upload in progress that is
// given up for one of nearly the same size that has stopped.
func TestStalledRequestIsGivenUpFirst(t *testing.T) {
	f := newFixture(1000 + 3*connBytes)
	f.holder(t, "a", "stalled", 400)
	f.clock = f.clock.Add(time.Second)
	f.holder(t, "a", "active", 500)
	f.holder(t, "a", "ordinary", 200)
	require.Equal(t, []string{"stalled"}, f.givenUp)
}

// TestGroupsShareTheBudget guards against one address, or the holders of one key,
// that take the capacity of others by many requests of ordinary size.
func TestGroupsShareTheBudget(t *testing.T) {
	for _, byAccount := range []bool{false, true} {
		f := newFixture(1000 + 5*connBytes)
		address := func(own string) string {
			if byAccount {
				return "balancer"
			}
			return own
		}
		for range 4 {
			h := f.holder(t, address("crowd"), "crowd", 150)
			if byAccount {
				h.SetAccount("crowd")
			}
		}
		large := f.holder(t, address("other"), "large", 400)
		if byAccount {
			large.SetAccount("other")
		}
		require.NoError(t, large.Reserve(50))
		require.Equal(t, []string{"crowd"}, f.givenUp)
	}
}

// TestOldestUnfinishedConnectionCloses guards against ordinary callers that find
// no connection, and against closing ones that wait for their next request.
func TestOldestUnfinishedConnectionCloses(t *testing.T) {
	f := newFixture(1 << 20)
	l := f.Listener(nil, Options{})
	open := func(address string) *Holder {
		f.clock = f.clock.Add(time.Millisecond)
		return f.open(address, l, func() {})
	}
	idle := open("a")
	idle.setPhase(complete)
	idle.endRequest()
	running := open("a")
	running.setPhase(complete)
	lone := open("b")
	oldest, newest := open("a"), open("a")
	newest.setPhase(receiving)
	accepted := open("a")
	for _, want := range []*Holder{oldest, newest, lone, idle} {
		require.Same(t, want, f.abandonConn(l, accepted))
		want.close()
	}
	require.Nil(t, f.abandonConn(l, accepted), "a request is handled")
	running.writing.Store(f.clock.UnixNano())
	f.clock = f.clock.Add(unreadAfter + 1)
	require.Same(t, running, f.abandonConn(l, accepted), "its client does not read")
}

// TestQueuedBytesAreBounded guards against clients that do not read, or send ahead,
// and whose bytes in the kernel's buffers exceed the VM's memory.
func TestQueuedBytesAreBounded(t *testing.T) {
	const allowed = 3
	f := newFixture(allowed * maxQueued * 10 / 3)
	var holders []*Holder
	for i := range allowed + 2 {
		h := f.open("a", nil, func() {})
		h.setPhase(complete)
		h.queuedBytes = func() int64 { return maxQueued - int64(i) }
		holders = append(holders, h)
	}
	require.Equal(t, holders[:2], f.sweep(), "the largest")
	require.Empty(t, f.sweep())
	for _, h := range holders {
		h.close()
	}
	require.Zero(t, f.Used())
}

// TestResponsesLeaveRoomForRequests guards against clients that do not read and
// whose responses leave no memory for requests.
func TestResponsesLeaveRoomForRequests(t *testing.T) {
	f := newFixture(1000 * connBytes)
	reserved := int64(0)
	for ; f.TryReserve(connBytes); reserved += connBytes {
	}
	for range 60 {
		h := f.open("a", nil, func() {})
		h.setPhase(complete)
		h.queuedBytes = func() int64 { return maxQueued }
	}
	f.sweep()
	h := f.open("b", nil, func() {})
	h.setPhase(receiving)
	require.NoError(t, h.Reserve(1000))
	f.Release(reserved)
	require.True(t, f.TryReserve(connBytes))
}

// TestBodyIsReservedAsItArrives guards against memory for a length that was only
// declared.
func TestBodyIsReservedAsItArrives(t *testing.T) {
	const size = 1 << 20
	for _, length := range []int64{size, -1} {
		f := newFixture(4 * size)
		h := f.open("a", nil, func() {})
		var most int64
		reader := readerFunc(func(p []byte) (int, error) {
			most = f.Used()
			return 0, io.ErrClosedPipe
		})
		_, err := h.ReadBody(io.MultiReader(strings.NewReader("begin"), reader), length)
		require.ErrorIs(t, err, io.ErrClosedPipe)
		require.LessOrEqual(t, most, int64(connBytes+firstBody))
		body := bytes.Repeat([]byte("x"), size)
		got, err := h.ReadBody(iotest.HalfReader(bytes.NewReader(body)), length)
		require.NoError(t, err)
		require.True(t, bytes.Equal(body, got))
		h.endHandling()
		require.EqualValues(t, connBytes, f.Used())
	}
	for _, h := range []*Holder{nil, newFixture(1<<20).open("a", nil, func() {})} {
		_, err := h.ReadBody(strings.NewReader("short"), 6)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		got, err := h.ReadBody(strings.NewReader("whole"), 5)
		require.NoError(t, err)
		require.Equal(t, "whole", string(got))
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestBytesAreReturnedAfterAPanic guards against a budget that shrinks with each
// request whose handler panics or whose client leaves.
func TestBytesAreReturnedAfterAPanic(t *testing.T) {
	b := NewBudget(Limits{Bytes: 1 << 20})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = FromContext(r.Context()).ReadBody(r.Body, r.ContentLength)
		panic(http.ErrAbortHandler)
	}))
	Prepare(server.Config)
	server.Listener = b.Listener(server.Listener, Options{MaxConns: 10, MaxHeadBytes: func() int { return 0 }})
	server.Start()
	defer server.Close()
	for range 3 {
		_, err := http.Post(server.URL, "text/plain", strings.NewReader("body"))
		require.Error(t, err)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx")
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	require.Eventually(t, func() bool { return b.Used() == 0 }, 5*time.Second, time.Millisecond)
}

// TestHeadsOfKeptConnectionsAreCountedAnew guards against a connection that is
// closed once all its heads together are too long, and against bodies that count
// as heads.
func TestHeadsOfKeptConnectionsAreCountedAnew(t *testing.T) {
	b := NewBudget(Limits{Bytes: 1 << 20})
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	Prepare(server.Config)
	server.Listener = b.Listener(server.Listener, Options{MaxConns: 10, MaxHeadBytes: func() int { return 1000 }})
	dialled := 0
	server.Config.ConnState = func(c net.Conn, s http.ConnState) {
		if s == http.StateNew {
			dialled++
		}
		ConnState(c, s)
	}
	server.Start()
	defer server.Close()
	for range 20 {
		response, err := http.Post(server.URL, strings.Repeat("x", 900), strings.NewReader(strings.Repeat("x", 100<<10)))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	require.Equal(t, 1, dialled)
}

// TestListsInHeadsAreCounted guards against heads of legal size whose lists take far more memory
// than bytes: names of trailers, for which net/http makes a map, and items that a handler parses.
func TestListsInHeadsAreCounted(t *testing.T) {
	const items = 2000
	list := strings.Repeat("a,", items)
	for name, c := range map[string]struct {
		field string
		each  int64
	}{"trailers": {"Trailer", trailerBytes}, "other list": {"Parts", listItemBytes}} {
		t.Run(name, func(t *testing.T) {
			b, held := NewBudget(Limits{Bytes: 1 << 20}), make(chan int64, 2)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { held <- b.Used() }))
			Prepare(server.Config)
			server.Config.ConnState = ConnState
			server.Listener = b.Listener(server.Listener, Options{MaxConns: 10, MaxHeadBytes: func() int { return 16 << 10 }})
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp4", server.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { require.NoError(t, conn.Close()) }()
			// All names of a Trailer field differ: equal ones are one entry.
			if c.field == "Trailer" {
				var names strings.Builder
				for i := range items {
					fmt.Fprintf(&names, "%x,", i+16)
				}
				list = names.String()
			}
			for range 2 {
				_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\n%s: %sz\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", c.field, list)
				require.NoError(t, err)
				used := <-held
				require.Greater(t, used, items*c.each)
				require.Less(t, used, items*c.each+32<<10)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
			}
		})
	}
}

// TestLimitsFollowFromTheVM guards against a budget that the VM's memory does not
// hold, and against listeners without connections on a small VM.
func TestLimitsFollowFromTheVM(t *testing.T) {
	const mb = 1 << 20
	require.NoError(t, Limits{MemoryBytes: 134 * mb, Bytes: 100 * mb}.Validate())
	require.Error(t, Limits{MemoryBytes: 134 * mb, Bytes: 135 * mb}.Validate())
	require.Error(t, Limits{Bytes: -1}.Validate())
	require.NoError(t, Limits{Bytes: 5 * mb}.Validate())
	require.Equal(t, 1602, Limits{MemoryBytes: 134 * mb, FileDescriptors: 2870}.Conns(1))
	require.Equal(t, 4795, Limits{MemoryBytes: 536 * mb, FileDescriptors: 8192}.Conns(1))
	require.Equal(t, minConns, Limits{MemoryBytes: 134 * mb, FileDescriptors: 210}.Conns(1))
}
