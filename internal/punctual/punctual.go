// Package punctual tells whether a process runs on time. While it gets no processor time or
// is frozen, requests wait unread on its connections, and it cannot see them when it goes on.
package punctual

import "time"

const (
	// PollPeriod is the time between two polls.
	PollPeriod = 20 * time.Millisecond
	// maxDelay is how late a poll may come in a process that runs on time.
	maxDelay = 20 * time.Millisecond
	// readPeriod is how long a process must run on time. After it was held up, it reads
	// the requests that came meanwhile within this time.
	readPeriod = 60 * time.Millisecond
)

// Watch records since when a process runs on time, by how late its polls come. It is not
// safe for concurrent use.
type Watch struct{ since, polledAt time.Time }

// NewWatch returns a watch that begins now.
func NewWatch(now time.Time) *Watch { return &Watch{since: now, polledAt: now} }

// Poll is called every PollPeriod. It reports whether the process has run on time for long
// enough to have read the requests that came before.
func (w *Watch) Poll(now time.Time) bool {
	if now.Sub(w.polledAt) > PollPeriod+maxDelay {
		w.since = now
	}
	w.polledAt = now
	return now.Sub(w.since) >= readPeriod
}
