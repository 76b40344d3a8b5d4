package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/memlog"
)

// A stand-in that kept its entries, its end or its era through a restore would hide
// the faults that a restore causes.
func TestRestoreLosesNewerEntriesAndGivesOffsetsOutAgain(t *testing.T) {
	forms(t, func(t *testing.T, ctx context.Context, h harness) {
		fill(t, ctx, h, 3)
		older := h.mem.Copy()
		for i := 3; i < 6; i++ {
			_, err := h.log.Append(ctx, stream, fmt.Appendf(nil, "entry %d", i))
			require.NoError(t, err)
		}
		_, err := h.log.Append(ctx, "settings", []byte("not in the copy"))
		require.NoError(t, err)
		h.mem.Restore(older)
		page, err := read(ctx, h, 0, 10)
		require.NoError(t, err)
		require.Len(t, page.Entries, 3)
		require.Equal(t, ident.Offset(3), page.Next)
		require.Equal(t, logservice.Era(2), page.Era)
		offset, err := h.log.Append(ctx, stream, []byte("other entry 3"))
		require.NoError(t, err)
		require.Equal(t, ident.Offset(3), offset)
		page, err = read(ctx, h, 3, 10)
		require.NoError(t, err)
		require.Equal(t, "other entry 3", string(page.Entries[0].Data))
		page, err = h.log.Read(ctx, logservice.ReadRequest{Stream: "settings"})
		require.NoError(t, err)
		require.Equal(t, logservice.Page{Era: 2}, page)
		h.mem.Restore(older)
		page, err = read(ctx, h, 3, 10)
		require.NoError(t, err)
		require.Equal(t, logservice.Page{Next: 3, Era: 3}, page)
	})
}

func TestReadBeyondTheEndIsRefused(t *testing.T) {
	forms(t, func(t *testing.T, ctx context.Context, h harness) {
		older := h.mem.Copy()
		fill(t, ctx, h, 3)
		_, err := read(ctx, h, 3, 10)
		require.NoError(t, err)
		h.mem.Restore(older)
		for _, from := range []ident.Offset{1, 3, 4, logservice.End - 1} {
			_, err = read(ctx, h, from, 10)
			require.ErrorIs(t, err, logservice.ErrTrimmed, "from %d", from)
		}
		page, err := read(ctx, h, logservice.End, 10)
		require.NoError(t, err)
		require.Equal(t, logservice.Page{Era: 2}, page)
	})
}

// The copy is taken of a trimmed stream and restored after more of it was trimmed.
func TestRestoreKeepsTheFirstOffsetOfTheCopy(t *testing.T) {
	forms(t, func(t *testing.T, ctx context.Context, h harness) {
		fill(t, ctx, h, 6)
		h.mem.Trim(stream, 2)
		older := h.mem.Copy()
		h.mem.Trim(stream, 5)
		h.mem.Restore(older)
		page, err := read(ctx, h, 2, 10)
		require.NoError(t, err)
		require.Len(t, page.Entries, 4)
		require.Equal(t, []ident.Offset{2, 6}, []ident.Offset{page.First, page.Next})
	})
}

func TestRestoreWakesLongPoll(t *testing.T) {
	forms(t, func(t *testing.T, ctx context.Context, h harness) {
		older := h.mem.Copy()
		fill(t, ctx, h, 2)
		done := make(chan error, 1)
		go func() {
			_, err := h.log.Read(ctx, logservice.ReadRequest{Stream: stream, From: 2, Wait: patience / 2})
			done <- err
		}()
		time.Sleep(50 * time.Millisecond) // usually the reader waits by then; the result is the same if not
		h.mem.Restore(older)
		require.ErrorIs(t, <-done, logservice.ErrTrimmed)
	})
}

// An append made for a lost end of the stream must not take effect, also if the offset
// matches by accident.
func TestConditionalAppends(t *testing.T) {
	forms(t, func(t *testing.T, ctx context.Context, h harness) {
		older := h.mem.Copy()
		fill(t, ctx, h, 2)
		for _, c := range []struct {
			era  logservice.Era
			at   ident.Offset
			want error
		}{
			{era: 1, at: 2},
			{at: 3},
			{era: 2, at: 4, want: logservice.ErrEraChanged},
			{era: 2, at: ident.NoOffset, want: logservice.ErrEraChanged},
			{era: 1, at: 3, want: logservice.ErrMoved},
			{era: 1, at: 5, want: logservice.ErrMoved},
			{era: 1, at: 0, want: logservice.ErrMoved},
			{era: 1, at: ident.NoOffset},
		} {
			before := next(h)
			offset, err := h.log.AppendIf(ctx, logservice.AppendRequest{Stream: stream, Data: []byte("x"), Era: c.era, At: c.at})
			require.ErrorIs(t, err, c.want)
			if c.want != nil {
				require.Equal(t, before, next(h))
				continue
			}
			require.Equal(t, before, offset)
			require.Equal(t, before+1, next(h))
		}
		end := next(h)
		h.mem.Restore(older)
		fill(t, ctx, h, int(end))
		_, err := h.log.AppendIf(ctx, logservice.AppendRequest{Stream: stream, Era: 1, At: end})
		require.ErrorIs(t, err, logservice.ErrEraChanged)
	})
}

// The era must be in refusals too: a caller that gets only refusals after a restore
// has no other sign of it.
func TestEveryAnswerOfTheLogHasTheEra(t *testing.T) {
	p := New(Options{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	call := func(method, path, body string) (int, string) {
		request, err := http.NewRequestWithContext(bounded(t), method, server.URL+path, strings.NewReader(body))
		require.NoError(t, err)
		response, err := server.Client().Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode, response.Header.Get(logservice.EraHeader)
	}
	status, _ := call(http.MethodPut, "/copies/a", "")
	require.Equal(t, http.StatusNoContent, status)
	status, _ = call(http.MethodPost, "/copies/b/restore", "")
	require.Equal(t, http.StatusNotFound, status)
	for era := 1; era <= 3; era++ {
		for _, c := range []struct {
			method, path, body string
			status             int
		}{
			{http.MethodPost, "/log/x", "entry", http.StatusOK},
			{http.MethodPost, "/log/x?at=7", "entry", http.StatusConflict},
			{http.MethodPost, "/log/x?at=x", "entry", http.StatusBadRequest},
			{http.MethodGet, "/log/x?from=0", "", http.StatusOK},
			{http.MethodGet, "/log/x?from=9", "", http.StatusGone},
			{http.MethodGet, "/log/x?from=-1", "", http.StatusBadRequest},
			{http.MethodGet, "/log/x?from=x", "", http.StatusBadRequest},
			{http.MethodPost, "/log/x", strings.Repeat("x", memlog.MaxEntryBytes+1), http.StatusRequestEntityTooLarge},
		} {
			status, header := call(c.method, c.path, c.body)
			require.Equal(t, c.status, status)
			require.Equal(t, fmt.Sprint(era), header, "%s %s", c.method, c.path)
		}
		p.Log.SetDown(true)
		status, header := call(http.MethodGet, "/log/x", "")
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, fmt.Sprint(era), header)
		p.Log.SetDown(false)
		status, _ = call(http.MethodPost, "/copies/a/restore", "")
		require.Equal(t, http.StatusOK, status)
	}
}

// A missing or malformed era must be taken for no information, not for a restore or
// a failed read.
func TestClientTakesBadErasForNone(t *testing.T) {
	for _, header := range []string{"", "0", "-1", "x", "1.5", "99999999999999999999", "2"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if header != "" {
				w.Header().Set(logservice.EraHeader, header)
			}
			_, _ = w.Write([]byte(`{"next":0}`))
		}))
		page, err := logservice.NewHTTPClient(server.URL, nil).Read(bounded(t), logservice.ReadRequest{Stream: stream})
		server.Close()
		require.NoError(t, err)
		want := logservice.NoEra
		if header == "2" {
			want = 2
		}
		require.Equal(t, want, page.Era, "header %q", header)
	}
}
