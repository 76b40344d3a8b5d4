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

// calls answers the engine's short calls, and leaves chats to the function.
func calls(chat func(n int, w http.ResponseWriter, r *http.Request)) func(n int, w http.ResponseWriter, r *http.Request) {
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

func TestChatThatDoesNotComplete(t *testing.T) {
	const cancelled = "POST /streams/7-1/cancel"
	some := func(w http.ResponseWriter) { tokens(w, chatID, 0, 3) }
	cases := map[string]struct {
		handle   func(n int, w http.ResponseWriter, r *http.Request)
		refuse   bool  // connections
		limit    int64 // of the sink, tokens
		deadline time.Duration
		want     gate.Outcome // Result is compared by status
		cancels  bool
		within   time.Duration
	}{
		"not reachable": {refuse: true, want: gate.Outcome{Result: wire.Result{Status: 502}}},
		"caller's mistake": {
			handle: func(_ int, w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "no such model", http.StatusNotFound)
			},
			want: gate.Outcome{Complete: true, Result: wire.Result{Status: 404}},
		},
		"engine down": {
			handle: func(_ int, w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "down", http.StatusServiceUnavailable)
			},
			want: gate.Outcome{Result: wire.Result{Status: 503}},
		},
		"engine's failure": {
			handle: func(_ int, w http.ResponseWriter, _ *http.Request) {
				some(w)
				fmt.Fprint(w, "data: {\"error\":{\"message\":\"broken\"}}\n\n")
			},
			want:    gate.Outcome{MayHaveRun: true, Prompt: 13, PromptKnown: true, Result: wire.Result{Status: 502}},
			cancels: true,
		},
		"engine restarted": {
			handle: func(n int, w http.ResponseWriter, _ *http.Request) {
				if n > 0 {
					http.Error(w, "unknown stream", http.StatusNotFound)
					return
				}
				some(w)
				panic(http.ErrAbortHandler)
			},
			want: gate.Outcome{MayHaveRun: true, Prompt: 13, PromptKnown: true, Result: wire.Result{Status: 502}},
		},
		"engine never got it": {
			handle: func(n int, w http.ResponseWriter, r *http.Request) {
				if n > 0 {
					http.Error(w, "unknown stream", http.StatusNotFound)
					return
				}
				panic(http.ErrAbortHandler)
			},
			want: gate.Outcome{Result: wire.Result{Status: 502}},
		},
		"sink has enough": {
			handle:  func(_ int, w http.ResponseWriter, r *http.Request) { some(w); silence(r) },
			limit:   2,
			want:    gate.Outcome{MayHaveRun: true, Prompt: 13, PromptKnown: true},
			cancels: true,
		},
		"deadline": {
			handle:   func(_ int, w http.ResponseWriter, r *http.Request) { some(w); silence(r) },
			deadline: time.Second,
			want:     gate.Outcome{MayHaveRun: true, Prompt: 13, PromptKnown: true, Result: wire.Result{Status: 502}},
			cancels:  true,
			within:   time.Second,
		},
		"silent stream of a live engine": {
			handle:   func(_ int, w http.ResponseWriter, r *http.Request) { silence(r) },
			deadline: time.Minute,
			want:     gate.Outcome{MayHaveRun: true, Prompt: 13, PromptKnown: true, Result: wire.Result{Status: 502}},
			cancels:  true,
			within:   time.Minute,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine, client, stop := newFake(t, calls(c.handle))
				defer stop()
				engine.listener.Refuse(c.refuse)
				ctx := t.Context()
				if c.deadline > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, c.deadline)
					defer cancel()
				}
				start := time.Now()
				got := client.Run(ctx, chatJob(), &recorder{limit: c.limit})
				require.Equal(t, c.want.Result.Status, got.Result.Status, got.Result.Message)
				got.Result = c.want.Result
				require.Equal(t, c.want, got)
				require.LessOrEqual(t, time.Since(start), c.within)
				require.GreaterOrEqual(t, time.Since(start), c.deadline)
				if c.cancels {
					require.Contains(t, engine.seen(), cancelled)
				} else {
					require.NotContains(t, engine.seen(), cancelled)
				}
			})
		})
	}
}

// An engine that answers nothing on any connection is given up in time.
func TestSilentEngineIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client, stop := newFake(t, func(_ int, _ http.ResponseWriter, r *http.Request) { silence(r) })
		defer stop()
		start := time.Now()
		got := client.Run(t.Context(), chatJob(), &recorder{})
		require.False(t, got.Complete)
		require.True(t, got.MayHaveRun, "it may have run")
		require.False(t, got.PromptKnown)
		took := time.Since(start)
		require.GreaterOrEqual(t, took, DefaultLivenessTimeout)
		require.Less(t, took, DefaultLivenessTimeout+20*time.Second)
	})
}

// An engine that has ended is given up sooner than one that is silent.
func TestEndedEngineIsGivenUpSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var engine *fakeEngine
		engine, client, stop := newFake(t, func(_ int, w http.ResponseWriter, _ *http.Request) {
			tokens(w, chatID, 0, 2)
			engine.listener.Refuse(true)
			panic(http.ErrAbortHandler)
		})
		defer stop()
		start := time.Now()
		got := client.Run(t.Context(), chatJob(), &recorder{})
		require.False(t, got.Complete)
		require.True(t, got.MayHaveRun)
		require.GreaterOrEqual(t, time.Since(start), refusedGiveUp)
		require.Less(t, time.Since(start), refusedGiveUp+3*time.Second)
	})
}

// The engine numbers its events: late repeats are dropped, and a gap is filled
// through a new connection.
func TestNumberedEvents(t *testing.T) {
	write := func(w http.ResponseWriter, numbers ...int) {
		for _, i := range numbers {
			fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"w%d\"}}]}\n\n", i, chatID, i)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		engine, client, stop := newFake(t, func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 0 {
				write(w, 0, 1, 0, 1, 2, 4)
				return
			}
			write(w, 2, 3, 4)
			fmt.Fprintf(w, "id: 5\ndata: {\"id\":%q,\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":5}}\n\n", chatID)
			fmt.Fprint(w, "data: [DONE]\n\n")
		})
		defer stop()
		var got recorder
		require.True(t, client.Run(t.Context(), chatJob(), &got).Complete)
		require.Len(t, got.events, 6)
		for i, e := range got.events[:5] {
			require.Contains(t, e, fmt.Sprintf("w%d", i))
		}
		require.Equal(t, []string{"POST /v1/chat/completions", "GET /streams/7-1?from=3"}, engine.seen())
	})
}

func TestPlainServiceCalls(t *testing.T) {
	fail := func(n int, w http.ResponseWriter, _ *http.Request) {
		if n == 0 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, "ok")
	}
	cases := map[string]struct {
		once     bool
		handle   func(n int, w http.ResponseWriter, r *http.Request)
		requests int
		want     gate.Outcome
	}{
		"repeated after a broken connection": {handle: fail, requests: 2, want: gate.Outcome{Complete: true, MayHaveRun: true, Result: wire.Result{Status: 200}}},
		"not to be repeated":                 {once: true, handle: fail, requests: 1, want: gate.Outcome{MayHaveRun: true, Result: wire.Result{Status: 502}}},
		"repeated after silence": {
			handle: func(n int, w http.ResponseWriter, r *http.Request) {
				if n == 0 {
					silence(r)
					return
				}
				fmt.Fprint(w, "ok")
			},
			requests: 2, want: gate.Outcome{Complete: true, MayHaveRun: true, Result: wire.Result{Status: 200}},
		},
		"slow and not to be repeated": {
			once:     true,
			handle:   func(_ int, w http.ResponseWriter, _ *http.Request) { time.Sleep(time.Minute); fmt.Fprint(w, "ok") },
			requests: 1, want: gate.Outcome{Complete: true, MayHaveRun: true, Result: wire.Result{Status: 200}},
		},
		"server's error is the answer": {
			handle: func(_ int, w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "no", http.StatusInternalServerError)
			},
			requests: 1, want: gate.Outcome{Complete: true, MayHaveRun: true, Result: wire.Result{Status: 500}},
		},
		"redirect is the answer": {
			handle: func(_ int, w http.ResponseWriter, r *http.Request) {
				http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
			},
			requests: 1, want: gate.Outcome{Complete: true, MayHaveRun: true, Result: wire.Result{Status: 307}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine, client, stop := newFake(t, func(n int, w http.ResponseWriter, r *http.Request) {
					require.Equal(t, ident.Key{1}.String(), r.Header.Get("Idempotency-Key"))
					c.handle(n, w, r)
				})
				defer stop()
				job := gate.Job{Key: ident.Key{1}, AtMostOnce: c.once, Call: wire.Call{Service: "desk", Method: "POST", Path: "/orders?x=1", Body: []byte("{}")}}
				start := time.Now()
				got := client.Run(t.Context(), job, &recorder{})
				require.LessOrEqual(t, time.Since(start), time.Minute)
				require.Equal(t, c.want.Result.Status, got.Result.Status)
				got.Result = c.want.Result
				require.Equal(t, c.want, got)
				require.Len(t, engine.seen(), c.requests)
				require.Equal(t, "POST /orders?x=1", engine.seen()[0])
			})
		})
	}
}

func TestPathCannotChooseTheHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine, client, stop := newFake(t, func(_ int, w http.ResponseWriter, _ *http.Request) {})
		defer stop()
		for _, path := range []string{"@elsewhere/", "", "x"} {
			got := client.Run(t.Context(), gate.Job{Call: wire.Call{Service: "desk", Method: "POST", Path: path}}, &recorder{})
			require.Equal(t, http.StatusBadRequest, got.Result.Status)
			require.False(t, got.MayHaveRun)
		}
		require.Empty(t, engine.seen())
	})
}
