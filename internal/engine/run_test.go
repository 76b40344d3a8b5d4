package engine

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// withShortCalls returns a handler that answers the engine's short calls and
// passes all other requests to chat.
func withShortCalls(chat func(n int, w http.ResponseWriter, r *http.Request)) func(n int, w http.ResponseWriter, r *http.Request) {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/tokenize":
			fmt.Fprint(w, `{"count":13}`)
		case r.URL.Path == "/load", strings.HasSuffix(r.URL.Path, "/cancel"):
			fmt.Fprint(w, `{}`)
		default:
			chat(n, w, r)
		}
	}
}

func TestIncompleteChatOutcomes(t *testing.T) {
	const cancelled = "POST /streams/7-1/cancel"
	writeSome := func(w http.ResponseWriter) { writeTokens(w, chatID, 0, 3) }
	cases := map[string]struct {
		handle      func(n int, w http.ResponseWriter, r *http.Request)
		refuseDials bool  // the engine refuses connections
		limit       int64 // of the sink, in tokens
		deadline    time.Duration
		want        gate.Outcome // of Result only the status is compared
		cancels     bool
		maxElapsed  time.Duration
	}{
		"connection refused": {refuseDials: true, want: gate.Outcome{Result: wire.Result{Status: 502}}},
		"engine rejects the request": {
			handle: func(_ int, w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "no such model", http.StatusNotFound)
			},
			want: gate.Outcome{Complete: true, Result: wire.Result{Status: 404}},
		},
		"engine unavailable": {
			handle: func(_ int, w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "down", http.StatusServiceUnavailable)
			},
			want: gate.Outcome{Result: wire.Result{Status: 503}},
		},
		"engine reports an error in the stream": {
			handle: func(_ int, w http.ResponseWriter, _ *http.Request) {
				writeSome(w)
				fmt.Fprint(w, "data: {\"error\":{\"message\":\"broken\"}}\n\n")
			},
			want:    gate.Outcome{MayHaveRun: true, Prompt: 13, PromptKnown: true, Result: wire.Result{Status: 502}},
			cancels: true,
		},
		"engine lost the stream after events": {
			handle: func(n int, w http.ResponseWriter, _ *http.Request) {
				if n > 0 {
					http.Error(w, "unknown stream", http.StatusNotFound)
					return
				}
				writeSome(w)
				panic(http.ErrAbortHandler)
			},
			want: gate.Outcome{MayHaveRun: true, Prompt: 13, PromptKnown: true, Result: wire.Result{Status: 502}},
		},
		"engine does not know the stream": {
			handle: func(n int, w http.ResponseWriter, r *http.Request) {
				if n > 0 {
					http.Error(w, "unknown stream", http.StatusNotFound)
					return
				}
				panic(http.ErrAbortHandler)
			},
			want: gate.Outcome{Result: wire.Result{Status: 502}},
		},
		"sink refuses an event": {
			handle:  func(_ int, w http.ResponseWriter, r *http.Request) { writeSome(w); blockUntilClosed(r) },
			limit:   2,
			want:    gate.Outcome{MayHaveRun: true, Prompt: 13, PromptKnown: true},
			cancels: true,
		},
		"deadline": {
			handle:     func(_ int, w http.ResponseWriter, r *http.Request) { writeSome(w); blockUntilClosed(r) },
			deadline:   time.Second,
			want:       gate.Outcome{MayHaveRun: true, Prompt: 13, PromptKnown: true, Result: wire.Result{Status: 502}},
			cancels:    true,
			maxElapsed: time.Second,
		},
		"silent stream of a live engine": {
			handle:     func(_ int, w http.ResponseWriter, r *http.Request) { blockUntilClosed(r) },
			deadline:   time.Minute,
			want:       gate.Outcome{MayHaveRun: true, Prompt: 13, PromptKnown: true, Result: wire.Result{Status: 502}},
			cancels:    true,
			maxElapsed: time.Minute,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine, client, stop := newFakeEngine(t, withShortCalls(c.handle))
				defer stop()
				engine.listener.Refuse(c.refuseDials)
				ctx := t.Context()
				if c.deadline > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, c.deadline)
					defer cancel()
				}
				start := time.Now()
				got := client.Run(ctx, chatJob(), &recordingSink{limit: c.limit})
				require.Equal(t, c.want.Result.Status, got.Result.Status, got.Result.Message)
				got.Result = c.want.Result
				require.Equal(t, c.want, got)
				require.LessOrEqual(t, time.Since(start), c.maxElapsed)
				require.GreaterOrEqual(t, time.Since(start), c.deadline)
				if c.cancels {
					require.Contains(t, engine.requestLines(), cancelled)
				} else {
					require.NotContains(t, engine.requestLines(), cancelled)
				}
			})
		})
	}
}

// A run at an engine that accepts connections but never answers must fail after
// the liveness timeout.
func TestSilentEngineFailsRunAfterLivenessTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client, stop := newFakeEngine(t, func(_ int, _ http.ResponseWriter, r *http.Request) { blockUntilClosed(r) })
		defer stop()
		start := time.Now()
		got := client.Run(t.Context(), chatJob(), &recordingSink{})
		require.False(t, got.Complete)
		require.True(t, got.MayHaveRun, "the engine may have run the request")
		require.False(t, got.PromptKnown)
		elapsed := time.Since(start)
		require.GreaterOrEqual(t, elapsed, DefaultLivenessTimeout)
		require.Less(t, elapsed, DefaultLivenessTimeout+20*time.Second)
	})
}

// A run fails sooner than after the liveness timeout if the engine refuses
// connections, since its process has then ended.
func TestEngineRefusingConnectionsFailsRunSooner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var engine *fakeEngine
		engine, client, stop := newFakeEngine(t, func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeTokens(w, chatID, 0, 2)
			engine.listener.Refuse(true)
			panic(http.ErrAbortHandler)
		})
		defer stop()
		start := time.Now()
		got := client.Run(t.Context(), chatJob(), &recordingSink{})
		require.False(t, got.Complete)
		require.True(t, got.MayHaveRun)
		require.GreaterOrEqual(t, time.Since(start), refusedTimeout)
		require.Less(t, time.Since(start), refusedTimeout+3*time.Second)
	})
}

// With numbered events, late repeats must be dropped, and a gap must be filled by
// resuming on a new connection.
func TestNumberedEventsAreDeduplicatedAndGapsRefetched(t *testing.T) {
	write := func(w http.ResponseWriter, numbers ...int) {
		for _, i := range numbers {
			fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"w%d\"}}]}\n\n", i, chatID, i)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		engine, client, stop := newFakeEngine(t, func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 0 {
				write(w, 0, 1, 0, 1, 2, 4)
				return
			}
			write(w, 2, 3, 4)
			fmt.Fprintf(w, "id: 5\ndata: {\"id\":%q,\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":5}}\n\n", chatID)
			fmt.Fprint(w, "data: [DONE]\n\n")
		})
		defer stop()
		var got recordingSink
		require.True(t, client.Run(t.Context(), chatJob(), &got).Complete)
		require.Len(t, got.events, 6)
		for i, e := range got.events[:5] {
			require.Contains(t, e, fmt.Sprintf("w%d", i))
		}
		require.Equal(t, []string{"POST /v1/chat/completions", "GET /streams/7-1?from=3"}, engine.requestLines())
	})
}

func TestPlainServiceRetries(t *testing.T) {
	failFirst := func(n int, w http.ResponseWriter, _ *http.Request) {
		if n == 0 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, "ok")
	}
	cases := map[string]struct {
		atMostOnce bool
		handle     func(n int, w http.ResponseWriter, r *http.Request)
		requests   int
		want       gate.Outcome
	}{
		"retried after a broken connection":      {handle: failFirst, requests: 2, want: gate.Outcome{Complete: true, MayHaveRun: true, Result: wire.Result{Status: 200}}},
		"at most once after a broken connection": {atMostOnce: true, handle: failFirst, requests: 1, want: gate.Outcome{MayHaveRun: true, Result: wire.Result{Status: 502}}},
		"retried after a silent connection": {
			handle: func(n int, w http.ResponseWriter, r *http.Request) {
				if n == 0 {
					blockUntilClosed(r)
					return
				}
				fmt.Fprint(w, "ok")
			},
			requests: 2, want: gate.Outcome{Complete: true, MayHaveRun: true, Result: wire.Result{Status: 200}},
		},
		"at most once and slow": {
			atMostOnce: true,
			handle:     func(_ int, w http.ResponseWriter, _ *http.Request) { time.Sleep(time.Minute); fmt.Fprint(w, "ok") },
			requests:   1, want: gate.Outcome{Complete: true, MayHaveRun: true, Result: wire.Result{Status: 200}},
		},
		"error status is returned to the caller": {
			handle: func(_ int, w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "no", http.StatusInternalServerError)
			},
			requests: 1, want: gate.Outcome{Complete: true, MayHaveRun: true, Result: wire.Result{Status: 500}},
		},
		"redirect is returned to the caller": {
			handle: func(_ int, w http.ResponseWriter, r *http.Request) {
				http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
			},
			requests: 1, want: gate.Outcome{Complete: true, MayHaveRun: true, Result: wire.Result{Status: 307}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine, client, stop := newFakeEngine(t, func(n int, w http.ResponseWriter, r *http.Request) {
					require.Equal(t, ident.Key{1}.String(), r.Header.Get("Idempotency-Key"))
					c.handle(n, w, r)
				})
				defer stop()
				job := gate.Job{Key: ident.Key{1}, AtMostOnce: c.atMostOnce, Call: wire.Call{Service: "desk", Method: "POST", Path: "/orders?x=1", Body: []byte("{}")}}
				start := time.Now()
				got := client.Run(t.Context(), job, &recordingSink{})
				require.LessOrEqual(t, time.Since(start), time.Minute)
				require.Equal(t, c.want.Result.Status, got.Result.Status)
				got.Result = c.want.Result
				require.Equal(t, c.want, got)
				require.Len(t, engine.requestLines(), c.requests)
				require.Equal(t, "POST /orders?x=1", engine.requestLines()[0])
			})
		})
	}
}

func TestPathCannotChangeHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine, client, stop := newFakeEngine(t, func(_ int, w http.ResponseWriter, _ *http.Request) {})
		defer stop()
		for _, path := range []string{"@elsewhere/", "", "x"} {
			got := client.Run(t.Context(), gate.Job{Call: wire.Call{Service: "desk", Method: "POST", Path: path}}, &recordingSink{})
			require.Equal(t, http.StatusBadRequest, got.Result.Status)
			require.False(t, got.MayHaveRun)
		}
		require.Empty(t, engine.requestLines())
	})
}
