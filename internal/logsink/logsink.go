// Package logsink writes log lines without blocking the code that logs them. Lines
// go through a bounded queue and a limit on bytes per second; lines that exceed
// either are dropped, counted and reported.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limits of a sink.
const (
	// queueLines is the length of the queue for a slow reader of the log, which
	// holds about 2 MB at most.
	queueLines = 4096
	// bytesPerSecond limits the long-term output of a router. It allows about
	// five lines for each request that a small VM can serve.
	bytesPerSecond = 256 << 10
	// burstBytes may be written at once, for example when many requests fail at
	// the same time.
	burstBytes = 1 << 20
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
)

// Sink is an io.Writer that takes one whole log line per call. It is safe for
// concurrent use.
type Sink struct {
	out       io.Writer
	queue     chan []byte
	limiter   *rate.Limiter
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
	stop      chan struct{}
}

// New returns a sink and starts the goroutine that writes its lines to out. Close
// ends it.
func New(out io.Writer) *Sink {
	s := &Sink{
		out:     out,
		queue:   make(chan []byte, queueLines),
		limiter: rate.NewLimiter(bytesPerSecond, burstBytes),
		done:    make(chan struct{}),
		stop:    make(chan struct{}),
	}
	go s.run()
	return s
}

// Write queues a copy of the line, or drops it if the queue is full or the rate
// limit is exceeded. It never blocks and never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.limiter.AllowN(time.Now(), len(line)) {
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

// Dropped returns the number of dropped lines that are not yet reported.
func (s *Sink) Dropped() int64 {
	return s.dropped.Load()
}

func (s *Sink) run() {
	defer close(s.done)
	lastReport := time.Now()
	for {
		select {
		case line := <-s.queue:
			_, _ = s.out.Write(line) // a failure of the log itself cannot be reported anywhere
		case <-s.stop:
			s.drain()
			return
		}
		if time.Since(lastReport) >= reportInterval {
			lastReport = time.Now()
			s.report()
		}
	}
}

// drain writes the queued lines and the report of dropped lines.
func (s *Sink) drain() {
	for {
		select {
		case line := <-s.queue:
			_, _ = s.out.Write(line) // a failure of the log itself cannot be reported anywhere
		default:
			s.report()
			return
		}
	}
}

func (s *Sink) report() {
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(s.out, "{\"level\":\"warn\",\"part\":\"log\",\"lines\":%d,\"message\":\"lines were left out\"}\n", n) // a failure of the log itself cannot be reported anywhere
	}
}

// Close writes the queued lines and returns when they are written, or after the
// timeout if the output is blocked.
func (s *Sink) Close(timeout time.Duration) {
	s.closeOnce.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}
