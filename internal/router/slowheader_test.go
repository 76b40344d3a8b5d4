package router

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/pipetest"
)

// An incomplete header must end in a 408 response that says that nothing ran.
// An idle connection that times out between requests must get no response.
func TestSlowHeaderIsRefused(t *testing.T) {
	const completeHeader = "GET / HTTP/1.1\r\nHost: r\r\n\r\n"
	cases := map[string]struct {
		sent    []string // the test reads a response after each text but the last
		refused bool
	}{
		"part of a header":                 {[]string{completeHeader[:20]}, true},
		"part of a second header":          {[]string{completeHeader, completeHeader[:20]}, true},
		"nothing after the first response": {[]string{completeHeader, ""}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := pipetest.New()
				server := &http.Server{
					Handler:           markServing(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })),
					ReadHeaderTimeout: readHeaderTimeout,
					IdleTimeout:       idleTimeout,
					ConnContext:       withHeaderConn,
				}
				served := make(chan struct{})
				go func() {
					_ = server.Serve(headerListener{Listener: l, refusals: counter.NewSet("callers_test")})
					close(served)
				}()
				conn, err := l.Dial(t.Context(), "", "")
				require.NoError(t, err)
				responses := bufio.NewReader(conn)
				for i, text := range c.sent {
					_, err := io.WriteString(conn, text)
					require.NoError(t, err)
					if i == len(c.sent)-1 {
						break
					}
					response, err := http.ReadResponse(responses, nil)
					require.NoError(t, err)
					_, err = io.ReadAll(response.Body)
					require.NoError(t, err)
				}
				start := time.Now()
				rest, err := io.ReadAll(responses)
				require.NoError(t, err)
				if c.refused {
					require.Contains(t, string(rest), "HTTP/1.1 408 Request Timeout\r\n")
					require.Contains(t, string(rest), `"ran":"not_run"`)
					require.LessOrEqual(t, time.Since(start), readHeaderTimeout)
				} else {
					require.Empty(t, rest)
				}
				require.NoError(t, server.Close())
				<-served
				conn.Close()
			})
		})
	}
}
