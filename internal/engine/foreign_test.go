package engine

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// numberedEvent returns an event of the run's stream, with a number.
func numberedEvent(number int) string {
	return fmt.Sprintf("id: %d\n%s", number, plainEvent(number))
}

// plainEvent returns an event of the run's stream without a number.
func plainEvent(word int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"w%d\"}}]}\n\n", chatID, word)
}

// randomText returns random bytes with line ends among them.
func randomText(seed uint64, size int) string {
	random := rand.NewChaCha8([32]byte{byte(seed)})
	text := make([]byte, size)
	_, _ = random.Read(text) // never fails
	return string(text)
}

// TestForeignEventsAreNoPartOfAStream guards against events that do not belong to a numbered
// stream and count as its next ones, so that the next true event is dropped as a repeated one.
func TestForeignEventsAreNoPartOfAStream(t *testing.T) {
	const tokens = 5
	foreign := map[string]string{
		"without a number":   plainEvent(9),
		"number is a word":   "id: x\n" + plainEvent(9),
		"number not UTF-8":   "id: 3\xff\n" + plainEvent(9),
		"negative number":    "id: -1\n" + plainEvent(9),
		"text not UTF-8":     "id: 3\n" + strings.Replace(plainEvent(9), "w9", "\xfe\xff", 1),
		"joined to the next": "id: 3\ndata: {\"id\":\n" + numberedEvent(3),
		"random":             randomText(1, 1<<10) + "\n\n",
		"other response":     "HTTP/1.1 200 OK\r\n\r\n" + numberedEvent(0),
		"too many in a line": strings.Repeat("x", maxEventBytes+1),
		"without data":       strings.Repeat("x: y\n\n", maxEventBytes/3),
	}
	for name, text := range foreign {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine, client, stop := newFakeEngine(t, func(n int, w http.ResponseWriter, _ *http.Request) {
					first := 0
					if n > 0 {
						first = 3
					}
					for number := first; number < tokens; number++ {
						if n == 0 && number == 3 {
							_, _ = io.WriteString(w, text)
						}
						_, _ = io.WriteString(w, numberedEvent(number))
					}
					_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", tokens, chatID, tokens)
				})
				defer stop()
				var got recordingSink
				require.True(t, client.Run(t.Context(), chatJob(), &got).Complete)
				require.Len(t, got.events, tokens+1)
				for i, e := range got.events[:tokens] {
					require.Contains(t, e, fmt.Sprintf("w%d", i))
				}
				require.LessOrEqual(t, len(engine.requestLines()), 2)
			})
		})
	}
}

// TestStreamsWithoutSomeNumbers has engines that number none of their events, or not all.
func TestStreamsWithoutSomeNumbers(t *testing.T) {
	for name, numbers := range map[string]func(int) bool{
		"none": func(int) bool { return false }, "all": func(int) bool { return true },
		"not the first": func(n int) bool { return n > 0 }, "not the last": func(n int) bool { return n < 4 },
		"every other": func(n int) bool { return n%2 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, client, stop := newFakeEngine(t, func(_ int, w http.ResponseWriter, r *http.Request) {
					from := 0
					_, _ = fmt.Sscan(r.URL.Query().Get("from"), &from) // absent at first
					for n := from; n < 5; n++ {
						event := plainEvent(n)
						if numbers(n) {
							event = numberedEvent(n)
						}
						_, _ = io.WriteString(w, event)
					}
					writeEnd(w, chatID, 9, 5)
				})
				defer stop()
				var got recordingSink
				require.True(t, client.Run(t.Context(), chatJob(), &got).Complete)
				require.Len(t, got.events, 6)
				for i, e := range got.events[:5] {
					require.Contains(t, e, fmt.Sprintf("w%d", i))
				}
			})
		})
	}
}
