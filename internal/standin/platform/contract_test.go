package platform

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/memlog"
)

// patience bounds what a passing test never waits for.
const patience = 20 * time.Second

// harness is one log as its users see it, and the switch for its faults.
type harness struct {
	log  logservice.Log
	mem  *memlog.Log
	http bool
}

// forms runs a test against the log in memory and through HTTP.
func forms(t *testing.T, test func(t *testing.T, ctx context.Context, h harness)) {
	t.Run("memory", func(t *testing.T) {
		log := memlog.New()
		test(t, bounded(t), harness{log: log, mem: log})
	})
	t.Run("http", func(t *testing.T) {
		p := New(Options{})
		server := httptest.NewServer(p.Handler())
		t.Cleanup(server.Close)
		test(t, bounded(t), harness{log: logservice.NewHTTPClient(server.URL+"/", server.Client()), mem: p.Log, http: true})
	})
}

func bounded(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	return ctx
}

const stream = logservice.Stream("ledger/3")

func fill(t *testing.T, ctx context.Context, h harness, n int) {
	t.Helper()
	for i := range n {
		offset, err := h.log.Append(ctx, stream, fmt.Appendf(nil, "entry %d", i))
		require.NoError(t, err)
		require.Equal(t, ident.Offset(i), offset)
	}
}

func read(ctx context.Context, h harness, from ident.Offset, limit int) (logservice.Page, error) {
	return h.log.Read(ctx, logservice.ReadRequest{Stream: stream, From: from, Max: limit})
}

func next(h harness) ident.Offset {
	return h.mem.Stats()[stream].Next
}

func TestFaultsOfTheLog(t *testing.T) {
	short := func(ctx context.Context) (context.Context, context.CancelFunc) {
		return context.WithTimeout(ctx, 50*time.Millisecond)
	}
	cases := []struct {
		name    string
		fault   func(*memlog.Log)
		append  error // expected of an append
		written int   // entries that the append leaves behind
		read    error // expected of a read from 0
		brief   bool  // the caller gives up after a short time
	}{
		{name: "none", fault: func(*memlog.Log) {}, written: 1},
		{name: "down", fault: func(l *memlog.Log) { l.SetDown(true) }, append: logservice.ErrUnavailable, read: logservice.ErrUnavailable},
		{name: "up again", fault: func(l *memlog.Log) { l.SetDown(true); l.SetDown(false) }, written: 1},
		{name: "reply lost", fault: func(l *memlog.Log) { l.LoseReplies(1) }, append: logservice.ErrUnavailable, written: 1},
		{name: "every reply lost", fault: func(l *memlog.Log) { l.LoseReplies(memlog.Always) }, append: logservice.ErrUnavailable, written: 1},
		{name: "written twice", fault: func(l *memlog.Log) { l.DuplicateNext(1) }, written: 2},
		{name: "slow", fault: func(l *memlog.Log) { l.SetDelay(10 * time.Millisecond) }, written: 1},
		{name: "too slow", fault: func(l *memlog.Log) { l.SetDelay(time.Hour) }, append: logservice.ErrUnavailable, read: logservice.ErrUnavailable, brief: true},
		{name: "trimmed", fault: func(l *memlog.Log) { l.Trim(stream, 1) }, written: 1, read: logservice.ErrTrimmed},
		{name: "retained", fault: func(l *memlog.Log) { l.SetRetention(2) }, written: 1, read: logservice.ErrTrimmed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forms(t, func(t *testing.T, ctx context.Context, h harness) {
				fill(t, ctx, h, 2)
				c.fault(h.mem)
				if c.brief {
					brief, cancel := short(ctx)
					defer cancel()
					ctx = brief
				}
				_, err := h.log.Append(ctx, stream, []byte("x"))
				require.ErrorIs(t, err, c.append)
				require.Equal(t, ident.Offset(2+c.written), next(h))
				_, err = read(ctx, h, 0, 0)
				require.ErrorIs(t, err, c.read)
			})
		})
	}
}

func TestOneLostReplyIsFollowedByAnswers(t *testing.T) {
	forms(t, func(t *testing.T, ctx context.Context, h harness) {
		h.mem.LoseReplies(1)
		_, err := h.log.Append(ctx, stream, []byte("a"))
		require.ErrorIs(t, err, logservice.ErrUnavailable)
		offset, err := h.log.Append(ctx, stream, []byte("b"))
		require.NoError(t, err)
		require.Equal(t, ident.Offset(1), offset)
	})
}

func TestEntriesHaveALimit(t *testing.T) {
	forms(t, func(t *testing.T, ctx context.Context, h harness) {
		_, err := h.log.Append(ctx, stream, make([]byte, memlog.MaxEntryBytes+1))
		require.ErrorIs(t, err, logservice.ErrTooLarge)
		require.Zero(t, next(h))
		largest := bytes.Repeat([]byte{0xff}, memlog.MaxEntryBytes)
		for range 6 {
			_, err = h.log.Append(ctx, stream, largest)
			require.NoError(t, err)
		}
		page, err := read(ctx, h, 0, 0)
		require.NoError(t, err)
		require.Len(t, page.Entries, memlog.MaxPageBytes/memlog.MaxEntryBytes)
		require.Equal(t, largest, page.Entries[0].Data)
	})
}

func TestPagesHaveNoGapWhileTheLogIsTrimmed(t *testing.T) {
	forms(t, func(t *testing.T, ctx context.Context, h harness) {
		h.mem.SetRetention(5)
		fill(t, ctx, h, 12)
		from, seen := ident.Offset(0), 0
		for from < 12 {
			page, err := read(ctx, h, from, 2)
			if err != nil {
				require.ErrorIs(t, err, logservice.ErrTrimmed)
				from++
				continue
			}
			require.Equal(t, ident.Offset(7), page.First)
			require.Equal(t, ident.Offset(12), page.Next)
			for _, entry := range page.Entries {
				require.Equal(t, from, entry.Offset)
				require.Equal(t, fmt.Sprintf("entry %d", from), string(entry.Data))
				from++
				seen++
			}
		}
		require.Equal(t, 5, seen)
	})
}

func TestEndsOfAStream(t *testing.T) {
	forms(t, func(t *testing.T, ctx context.Context, h harness) {
		page, err := read(ctx, h, 0, 10)
		require.NoError(t, err)
		require.Equal(t, logservice.Page{Era: 1}, page)
		fill(t, ctx, h, 2)
		page, err = read(ctx, h, 2, 10)
		require.NoError(t, err)
		require.Equal(t, logservice.Page{Next: 2, Era: 1}, page)
		_, err = read(ctx, h, -1, 10)
		require.ErrorContains(t, err, map[bool]string{false: "negative", true: "400"}[h.http])
		other, err := h.log.Append(ctx, "fleet", nil)
		require.NoError(t, err)
		require.Zero(t, other)
	})
}

func TestLongPollWakes(t *testing.T) {
	cases := []struct {
		name  string
		event func(ctx context.Context, h harness)
		err   error
	}{
		{"by an entry", func(ctx context.Context, h harness) { _, _ = h.mem.Append(ctx, stream, []byte("x")) }, nil},
		{"by an outage", func(_ context.Context, h harness) { h.mem.SetDown(true) }, logservice.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forms(t, func(t *testing.T, ctx context.Context, h harness) {
				type result struct {
					page logservice.Page
					err  error
				}
				done := make(chan result, 1)
				go func() {
					page, err := h.log.Read(ctx, logservice.ReadRequest{Stream: stream, Wait: patience})
					done <- result{page, err}
				}()
				// The stream exists once the reader has asked for it.
				require.Eventually(t, func() bool { _, ok := h.mem.Stats()[stream]; return ok }, patience, time.Millisecond)
				c.event(ctx, h)
				got := <-done
				require.ErrorIs(t, got.err, c.err)
				if c.err == nil {
					require.Len(t, got.page.Entries, 1)
				}
			})
		})
	}
}

func TestLongPollEndsEmpty(t *testing.T) {
	forms(t, func(t *testing.T, ctx context.Context, h harness) {
		page, err := h.log.Read(ctx, logservice.ReadRequest{Stream: stream, Wait: 5 * time.Millisecond})
		require.NoError(t, err)
		require.Empty(t, page.Entries)
	})
}

func TestSilenceEndsWithTheCallersPatience(t *testing.T) {
	p := New(Options{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	on := true
	require.True(t, p.Apply(Faults{Silent: &on}))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := logservice.NewHTTPClient(server.URL, nil).Append(ctx, stream, []byte("x"))
	require.ErrorIs(t, err, logservice.ErrUnavailable)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	response, err := http.Get(server.URL + "/stats")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func TestClientRefusesRepliesThatAreNotWhole(t *testing.T) {
	for name, reply := range map[string]string{
		"cut off":      `{"entries":[{"offset":0,`,
		"gap":          `{"entries":[{"offset":0},{"offset":2}],"next":3}`,
		"starts later": `{"entries":[{"offset":1}],"next":2}`,
		"end too soon": `{"entries":[{"offset":0}],"next":0}`,
		"no offset":    `{}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(reply))
			}))
			defer server.Close()
			client := logservice.NewHTTPClient(server.URL, nil)
			var err error
			if name == "no offset" {
				_, err = client.Append(t.Context(), stream, nil)
			} else {
				_, err = client.Read(t.Context(), logservice.ReadRequest{Stream: stream})
			}
			require.ErrorIs(t, err, logservice.ErrUnavailable)
		})
	}
}
