package logsink

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter is an output whose reader has stopped reading: writes block until
// unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

func TestWriteDoesNotWaitForBlockedWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockedWriter{unblock: make(chan struct{})}
		s := New(w)
		start := time.Now()
		line := []byte(strings.Repeat("x", 100) + "\n")
		for range 3 * queueLines {
			n, err := s.Write(line)
			require.NoError(t, err)
			require.Len(t, line, n)
		}
		require.Zero(t, time.Since(start), "no write blocked")
		require.Positive(t, s.Dropped())
		close(w.unblock)
		s.Close(time.Second)
		require.Contains(t, w.b.String(), "lines were left out", "dropped lines are reported")
		require.GreaterOrEqual(t, strings.Count(w.b.String(), "xxx\n"), queueLines)
	})
}

func TestOutputRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written countingWriter
		s := New(&written)
		line := bytes.Repeat([]byte("x"), 1000)
		for range 100 {
			for range 2000 { // 20 MB per second
				_, _ = s.Write(line)
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.Close(time.Second)
		require.LessOrEqual(t, written.n, burstBytes+10*bytesPerSecond+10_000)
	})
}

func TestCloseReturnsAfterTimeoutIfWriterIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockedWriter{unblock: make(chan struct{})}
		s := New(w)
		_, _ = io.WriteString(s, "line\n")
		start := time.Now()
		s.Close(100 * time.Millisecond)
		require.Equal(t, 100*time.Millisecond, time.Since(start))
		close(w.unblock)
	})
}

type countingWriter struct{ n int }

func (c *countingWriter) Write(p []byte) (int, error) {
	c.n += len(p)
	return len(p), nil
}
