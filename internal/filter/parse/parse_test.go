package parse

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/pipetest"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// TestBodyTimeoutBoundsTheBodyOnly sends an incomplete body, which must time out,
// and a complete one that is answered long after bodyTimeout, which must not.
func TestBodyTimeoutBoundsTheBodyOnly(t *testing.T) {
	const body = `{"model":"maps","messages":[{"role":"user","content":"x"}]}`
	for _, complete := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := New()
			outcome := make(chan filter.Outcome, 1)
			handle := func(w http.ResponseWriter, r *http.Request) {
				request := &filter.Request{HTTP: r, Writer: filter.NewWriter(w, time.Second), Settings: settings.EmptyTree()}
				outcome <- f.Handle(r.Context(), request, func(ctx context.Context, _ *filter.Request) filter.Outcome {
					select {
					case <-ctx.Done():
						return filter.Refused(refusal.Internal, refusal.MayHaveRun, "the request context was cancelled")
					case <-time.After(10 * bodyTimeout):
						return filter.Answered()
					}
				})
			}
			l := pipetest.New()
			server := &http.Server{Handler: http.HandlerFunc(handle)}
			served := make(chan struct{})
			go func() { _ = server.Serve(l); close(served) }()
			conn, err := l.Dial(t.Context(), "", "")
			require.NoError(t, err)
			sent := body
			if !complete {
				sent = body[:20]
			}
			_, err = io.WriteString(conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: r\r\nContent-Length: %d\r\n\r\n%s", len(body), sent))
			require.NoError(t, err)
			go func() { _, _ = io.Copy(io.Discard, bufio.NewReader(conn)) }()
			start := time.Now()
			out := <-outcome
			if complete {
				require.Nil(t, out.Refusal)
			} else {
				require.Equal(t, refusal.BadRequest, out.Refusal.Code)
				require.Equal(t, bodyTimeout, time.Since(start))
			}
			require.NoError(t, server.Close())
			<-served
			conn.Close()
		})
	}
}
