package engine

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPausedEngineIsNotGivenUp guards against a run that is lost since its engine pauses for
// longer than the silence timeout, and refuses or fails to resume the stream meanwhile.
func TestPausedEngineIsNotGivenUp(t *testing.T) {
	const pause = 4 * DefaultSilenceTimeout
	for name, meanwhile := range map[string]http.HandlerFunc{
		"refuses":                  func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "full", http.StatusServiceUnavailable) },
		"fails":                    func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "bad", http.StatusInternalServerError) },
		"hangs up":                 func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"is silent":                func(_ http.ResponseWriter, r *http.Request) { blockUntilClosed(r) },
		"is silent after the head": func(w http.ResponseWriter, r *http.Request) { writeTokens(w, chatID, 0, 0); blockUntilClosed(r) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				engine, client, stop := newFakeEngine(t, withShortCalls(func(n int, w http.ResponseWriter, r *http.Request) {
					switch {
					case n == 0:
						writeTokens(w, chatID, 0, 3)
						blockUntilClosed(r)
					case time.Since(begun) < pause:
						meanwhile(w, r)
					default:
						writeTokens(w, chatID, 3, 6)
						writeEnd(w, chatID, 13, 6)
					}
				}))
				defer stop()
				sink := &recordingSink{}
				outcome := client.Run(t.Context(), chatJob(), sink)
				require.True(t, outcome.Complete)
				require.EqualValues(t, 6, sink.tokens)
				require.Greater(t, len(engine.requestLines()), 2)
			})
		})
	}
}
