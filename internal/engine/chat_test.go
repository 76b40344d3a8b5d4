package engine

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// silence holds a request until its connection ends.
func silence(r *http.Request) { <-r.Context().Done() }

func TestChatSurvivesFaults(t *testing.T) {
	whole := func(w http.ResponseWriter, from int) {
		tokens(w, chatID, from, 5)
		finish(w, chatID, 9, 5)
	}
	cases := map[string]struct {
		handle   func(n int, w http.ResponseWriter, r *http.Request)
		requests []string
		within   time.Duration
	}{
		"whole": {
			handle:   func(_ int, w http.ResponseWriter, _ *http.Request) { whole(w, 0) },
			requests: []string{"POST /v1/chat/completions"},
		},
		"connection breaks": {
			handle: func(n int, w http.ResponseWriter, _ *http.Request) {
				if n == 0 {
					tokens(w, chatID, 0, 2)
					panic(http.ErrAbortHandler)
				}
				whole(w, 2)
			},
			requests: []string{"POST /v1/chat/completions", "GET /streams/7-1?from=2"},
		},
		"connection silent after events": {
			handle: func(n int, w http.ResponseWriter, r *http.Request) {
				if n == 0 {
					tokens(w, chatID, 0, 3)
					silence(r)
					return
				}
				whole(w, 3)
			},
			requests: []string{"POST /v1/chat/completions", "GET /streams/7-1?from=3"},
			within:   DefaultSilenceTimeout + time.Second,
		},
		"connection silent before the header": {
			handle: func(n int, w http.ResponseWriter, r *http.Request) {
				if n == 0 {
					silence(r)
					return
				}
				whole(w, 0)
			},
			requests: []string{"POST /v1/chat/completions", "GET /streams/7-1?from=0"},
			within:   DefaultSilenceTimeout + time.Second,
		},
		"crossed events": {
			handle: func(_ int, w http.ResponseWriter, _ *http.Request) {
				tokens(w, chatID, 0, 2)
				tokens(w, "7-2", 2, 4)
				whole(w, 2)
			},
			requests: []string{"POST /v1/chat/completions"},
		},
		"end of another's answer": {
			handle: func(n int, w http.ResponseWriter, _ *http.Request) {
				if n == 0 {
					tokens(w, chatID, 0, 2)
					finish(w, "7-2", 99, 99)
				}
				whole(w, 2)
			},
			requests: []string{"POST /v1/chat/completions", "GET /streams/7-1?from=2"},
		},
		"slow but not silent": {
			handle: func(_ int, w http.ResponseWriter, _ *http.Request) {
				for i := range 5 {
					time.Sleep(DefaultSilenceTimeout * 3 / 4)
					tokens(w, chatID, i, i+1)
				}
				finish(w, chatID, 9, 5)
			},
			requests: []string{"POST /v1/chat/completions"},
			within:   5 * DefaultSilenceTimeout,
		},
		"engine is down for a moment": {
			handle: func(n int, w http.ResponseWriter, _ *http.Request) {
				switch n {
				case 0:
					tokens(w, chatID, 0, 2)
					panic(http.ErrAbortHandler)
				case 1, 2: // the resumption and the probe
					http.Error(w, "down", http.StatusServiceUnavailable)
				default:
					whole(w, 2)
				}
			},
			requests: []string{"POST /v1/chat/completions", "GET /streams/7-1?from=2", "GET /load", "GET /streams/7-1?from=2"},
			within:   time.Second,
		},
		"malformed event": {
			handle: func(n int, w http.ResponseWriter, _ *http.Request) {
				if n == 0 {
					tokens(w, chatID, 0, 2)
					w.Write([]byte("data: {\"id\":\n\n"))
					return
				}
				whole(w, 2)
			},
			requests: []string{"POST /v1/chat/completions", "GET /streams/7-1?from=2"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine, client, stop := newFake(t, c.handle)
				defer stop()
				var got recorder
				start := time.Now()
				outcome := client.Run(t.Context(), chatJob(), &got)
				require.True(t, outcome.Complete, outcome.Result.Message)
				require.EqualValues(t, 9, outcome.Prompt)
				require.EqualValues(t, 5, got.tokens)
				for i, e := range got.events[:5] {
					require.Contains(t, e, "w"+string(rune('0'+i)))
				}
				require.Equal(t, c.requests, engine.seen())
				require.LessOrEqual(t, time.Since(start), c.within)
			})
		})
	}
}

func TestChatEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine, client, stop := newFake(t, func(_ int, w http.ResponseWriter, r *http.Request) {
			switch {
			case strings.HasSuffix(r.URL.Path, "/cancel"):
			case r.URL.Path == "/tokenize":
				w.Write([]byte(`{"count":13}`))
			default:
				tokens(w, chatID, 0, 3)
				silence(r)
			}
		})
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var got recorder
		outcome := client.Run(ctx, chatJob(), &got)
		require.False(t, outcome.Complete)
		require.True(t, outcome.MayHaveRun)
		require.EqualValues(t, 13, outcome.Prompt)
		require.Contains(t, engine.seen(), "POST /streams/7-1/cancel")
	})
}
