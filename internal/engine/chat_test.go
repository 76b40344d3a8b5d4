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

// blockUntilClosed blocks until the request's connection is closed.
func blockUntilClosed(r *http.Request) { <-r.Context().Done() }

func TestChatCompletesDespiteFaults(t *testing.T) {
	writeRest := func(w http.ResponseWriter, from int) {
		writeTokens(w, chatID, from, 5)
		writeEnd(w, chatID, 9, 5)
	}
	cases := map[string]struct {
		handle     func(n int, w http.ResponseWriter, r *http.Request)
		requests   []string
		maxElapsed time.Duration
	}{
		"complete response": {
			handle:   func(_ int, w http.ResponseWriter, _ *http.Request) { writeRest(w, 0) },
			requests: []string{"POST /v1/chat/completions"},
		},
		"connection breaks": {
			handle: func(n int, w http.ResponseWriter, _ *http.Request) {
				if n == 0 {
					writeTokens(w, chatID, 0, 2)
					panic(http.ErrAbortHandler)
				}
				writeRest(w, 2)
			},
			requests: []string{"POST /v1/chat/completions", "GET /streams/7-1?from=2"},
		},
		"silent connection after events": {
			handle: func(n int, w http.ResponseWriter, r *http.Request) {
				if n == 0 {
					writeTokens(w, chatID, 0, 3)
					blockUntilClosed(r)
					return
				}
				writeRest(w, 3)
			},
			requests:   []string{"POST /v1/chat/completions", "GET /streams/7-1?from=3"},
			maxElapsed: DefaultSilenceTimeout + time.Second,
		},
		"silent connection before the response header": {
			handle: func(n int, w http.ResponseWriter, r *http.Request) {
				if n == 0 {
					blockUntilClosed(r)
					return
				}
				writeRest(w, 0)
			},
			requests:   []string{"POST /v1/chat/completions", "GET /streams/7-1?from=0"},
			maxElapsed: DefaultSilenceTimeout + time.Second,
		},
		"events of another stream": {
			handle: func(_ int, w http.ResponseWriter, _ *http.Request) {
				writeTokens(w, chatID, 0, 2)
				writeTokens(w, "7-2", 2, 4)
				writeRest(w, 2)
			},
			requests: []string{"POST /v1/chat/completions"},
		},
		"end marker of another stream": {
			handle: func(n int, w http.ResponseWriter, _ *http.Request) {
				if n == 0 {
					writeTokens(w, chatID, 0, 2)
					writeEnd(w, "7-2", 99, 99)
				}
				writeRest(w, 2)
			},
			requests: []string{"POST /v1/chat/completions", "GET /streams/7-1?from=2"},
		},
		"slow but not silent": {
			handle: func(_ int, w http.ResponseWriter, _ *http.Request) {
				for i := range 5 {
					time.Sleep(DefaultSilenceTimeout * 3 / 4)
					writeTokens(w, chatID, i, i+1)
				}
				writeEnd(w, chatID, 9, 5)
			},
			requests:   []string{"POST /v1/chat/completions"},
			maxElapsed: 5 * DefaultSilenceTimeout,
		},
		"engine briefly unavailable": {
			handle: func(n int, w http.ResponseWriter, _ *http.Request) {
				switch n {
				case 0:
					writeTokens(w, chatID, 0, 2)
					panic(http.ErrAbortHandler)
				case 1, 2: // the resume request and the load request
					http.Error(w, "down", http.StatusServiceUnavailable)
				default:
					writeRest(w, 2)
				}
			},
			requests:   []string{"POST /v1/chat/completions", "GET /streams/7-1?from=2", "GET /load", "GET /streams/7-1?from=2"},
			maxElapsed: time.Second,
		},
		"malformed event": {
			handle: func(n int, w http.ResponseWriter, _ *http.Request) {
				if n == 0 {
					writeTokens(w, chatID, 0, 2)
					w.Write([]byte("data: {\"id\":\n\n"))
					return
				}
				writeRest(w, 2)
			},
			requests: []string{"POST /v1/chat/completions", "GET /streams/7-1?from=2"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine, client, stop := newFakeEngine(t, c.handle)
				defer stop()
				var got recordingSink
				start := time.Now()
				outcome := client.Run(t.Context(), chatJob(), &got)
				require.True(t, outcome.Complete, outcome.Result.Message)
				require.EqualValues(t, 9, outcome.Prompt)
				require.EqualValues(t, 5, got.tokens)
				for i, e := range got.events[:5] {
					require.Contains(t, e, "w"+string(rune('0'+i)))
				}
				require.Equal(t, c.requests, engine.requestLines())
				require.LessOrEqual(t, time.Since(start), c.maxElapsed)
			})
		})
	}
}

func TestChatIsCancelledAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine, client, stop := newFakeEngine(t, func(_ int, w http.ResponseWriter, r *http.Request) {
			switch {
			case strings.HasSuffix(r.URL.Path, "/cancel"):
			case r.URL.Path == "/tokenize":
				w.Write([]byte(`{"count":13}`))
			default:
				writeTokens(w, chatID, 0, 3)
				blockUntilClosed(r)
			}
		})
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var got recordingSink
		outcome := client.Run(ctx, chatJob(), &got)
		require.False(t, outcome.Complete)
		require.True(t, outcome.MayHaveRun)
		require.EqualValues(t, 13, outcome.Prompt)
		require.Contains(t, engine.requestLines(), "POST /streams/7-1/cancel")
	})
}
