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

// TestBodyTimeoutBoundsTheBodyOnly sends a body that stops, and one that is
// whole and is answered long after the time that a body may take.
func TestBodyTimeoutBoundsTheBodyOnly(t *testing.T) {
	const body = `{"model":"maps","messages":[{"role":"user","content":"x"}]}`
	for _, whole := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := New()
			outcome := make(chan filter.Outcome, 1)
			handle := func(w http.ResponseWriter, r *http.Request) {
				request := &filter.Request{HTTP: r, Writer: filter.NewWriter(w, time.Second), Settings: settings.Empty()}
				outcome <- f.Handle(r.Context(), request, func(ctx context.Context, _ *filter.Request) filter.Outcome {
					select {
					case <-ctx.Done():
						return filter.Refused(refusal.Internal, refusal.MayHaveRun, "the caller seems gone")
					case <-time.After(10 * bodyTimeout):
						return filter.Answered()
					}
				})
			}
			l := pipetest.New()
			server := &http.Server{Handler: http.HandlerFunc(handle)}
			served := make(chan struct{})
			go func() { _ = server.Serve(l); close(served) }()
			near, err := l.Dial(t.Context(), "", "")
			require.NoError(t, err)
			sent := body
			if !whole {
				sent = body[:20]
			}
			_, err = io.WriteString(near, fmt.Sprintf("POST / HTTP/1.1\r\nHost: r\r\nContent-Length: %d\r\n\r\n%s", len(body), sent))
			require.NoError(t, err)
			go func() { _, _ = io.Copy(io.Discard, bufio.NewReader(near)) }()
			start := time.Now()
			out := <-outcome
			if whole {
				require.Nil(t, out.Refusal)
			} else {
				require.Equal(t, refusal.BadRequest, out.Refusal.Code)
				require.Equal(t, bodyTimeout, time.Since(start))
			}
			require.NoError(t, server.Close())
			<-served
			near.Close()
		})
	}
}
