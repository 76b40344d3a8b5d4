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

// blocked is a reader of the log that stopped reading.
type blocked struct {
	free chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

func (w *blocked) Write(p []byte) (int, error) {
	<-w.free
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

func TestBlockedReaderDelaysNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blocked{free: make(chan struct{})}
		s := New(w)
		begun := time.Now()
		line := []byte(strings.Repeat("x", 100) + "\n")
		for range 3 * queueLines {
			n, err := s.Write(line)
			require.NoError(t, err)
			require.Len(t, line, n)
		}
		require.Zero(t, time.Since(begun), "no write waited")
		require.Positive(t, s.Dropped())
		close(w.free)
		s.Close(time.Second)
		require.Contains(t, w.b.String(), "lines were left out", "what is missing is told")
		require.GreaterOrEqual(t, strings.Count(w.b.String(), "xxx\n"), queueLines)
	})
}

func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written counting
		s := New(&written)
		line := bytes.Repeat([]byte("x"), 1000)
		for range 100 {
			for range 2000 { // 20 MB a second
				_, _ = s.Write(line)
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.Close(time.Second)
		require.LessOrEqual(t, written.n, burstBytes+10*bytesPerSecond+10_000)
	})
}

func TestNothingIsWrittenAfterTheEndOfAStuckReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blocked{free: make(chan struct{})}
		s := New(w)
		_, _ = io.WriteString(s, "line\n")
		begun := time.Now()
		s.Close(100 * time.Millisecond)
		require.Equal(t, 100*time.Millisecond, time.Since(begun))
		close(w.free)
	})
}

type counting struct{ n int }

func (c *counting) Write(p []byte) (int, error) {
	c.n += len(p)
	return len(p), nil
}
