package prepaid

import (
	"context"
	"sync"
	"time"
)

// Detection of pauses of this process, such as a suspension of its VM.
const (
	pauseCheckPeriod = 200 * time.Millisecond
	// minPause is how late a check must be for the process to count as paused.
	minPause = 800 * time.Millisecond
	// pauseMemory is for how long a pause is remembered: longer than the age of a copy
	// from which the log is restored and the outage before that.
	pauseMemory = 30 * time.Second
)

// pauseDetector notices that the process did not run for a while. Announcements of other
// routers were lost meanwhile.
type pauseDetector struct {
	mu        sync.Mutex // guards all below
	checkedAt time.Time
	pausedAt  time.Time // end of the last pause; zero if there was none
}

// run checks regularly until ctx ends.
func (d *pauseDetector) run(ctx context.Context) {
	for sleepOrWake(ctx, pauseCheckPeriod, nil) {
		d.check(time.Now())
	}
}

// check records a pause if the last check was too long ago. The clock of the process does
// not count some pauses, but the time of day does.
func (d *pauseDetector) check(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.checkedAt
	d.checkedAt = now
	if last.IsZero() {
		return
	}
	if max(now.Sub(last), now.Round(0).Sub(last.Round(0)).Abs()) > pauseCheckPeriod+minPause {
		d.pausedAt = now
	}
}

// pausedRecently reports whether there was a pause within pauseMemory.
func (d *pauseDetector) pausedRecently() bool {
	now := time.Now()
	d.check(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.pausedAt.IsZero() && now.Sub(d.pausedAt) < pauseMemory
}
