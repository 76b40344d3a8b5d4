// Package logsink writes log lines without ever making their writers wait: a
// bounded queue, a bound on bytes a second, and a count of what was left out.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of a sink.
const (
	// queueLines is how many lines wait for a slow reader; some 2 MB at most.
	queueLines = 4096
	// bytesPerSecond is what a router writes at most over time, about five
	// lines for each request that a small VM can serve.
	bytesPerSecond = 256 << 10
	// burstBytes may come at once, as when many requests fail together.
	burstBytes = 1 << 20
	// reportEvery is how often the lines that were left out are told.
	reportEvery = time.Second
)

// Sink is an io.Writer for whole lines. It is safe for concurrent use.
type Sink struct {
	to      io.Writer
	queue   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	close   sync.Once
	stop    chan struct{}
}

// New returns a sink and starts its writer.
func New(to io.Writer) *Sink {
	s := &Sink{
		to:    to,
		queue: make(chan []byte, queueLines),
		limit: rate.NewLimiter(bytesPerSecond, burstBytes),
		done:  make(chan struct{}),
		stop:  make(chan struct{}),
	}
	go s.run()
	return s
}

// Write queues a line, or leaves it out. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.limit.AllowN(time.Now(), len(line)) {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out and not yet told of.
func (s *Sink) Dropped() int64 {
	return s.dropped.Load()
}

func (s *Sink) run() {
	defer close(s.done)
	told := time.Now()
	for {
		select {
		case line := <-s.queue:
			_, _ = s.to.Write(line) // there is nowhere else to tell
		case <-s.stop:
			s.drain()
			return
		}
		if time.Since(told) >= reportEvery {
			told = time.Now()
			s.report()
		}
	}
}

// drain writes what is queued.
func (s *Sink) drain() {
	for {
		select {
		case line := <-s.queue:
			_, _ = s.to.Write(line) // there is nowhere else to tell
		default:
			s.report()
			return
		}
	}
}

func (s *Sink) report() {
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(s.to, "{\"level\":\"warn\",\"part\":\"log\",\"lines\":%d,\"message\":\"lines were left out\"}\n", n) // there is nowhere else to tell
	}
}

// Close writes what is queued, for as long as the timeout.
func (s *Sink) Close(timeout time.Duration) {
	s.close.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}
