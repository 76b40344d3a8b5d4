package memlog

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// Causes of unavailability. Both are returned wrapped in logservice.ErrUnavailable.
var (
	// ErrDown means that the log is switched off, see SetDown.
	ErrDown = errors.New("log is down")
	// ErrReplyLost means that the entry was written but its reply dropped.
	ErrReplyLost = errors.New("reply was lost")
)

// Always makes LoseReplies drop every reply until it is called again.
const Always = -1

// faults holds the currently injected faults.
type faults struct {
	mu                 sync.Mutex // guards all fields; downChanged is closed and replaced while it is held
	down               bool
	delay              time.Duration
	repliesToLose      int // further appends whose reply is dropped; Always for all
	appendsToDuplicate int // further appends that are written twice
	downChanged        chan struct{}
}

// SetDown switches the log off or on again. Calls in progress fail at once.
func (l *Log) SetDown(down bool) {
	f := &l.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	close(f.downChanged)
	f.downChanged = make(chan struct{})
}

// SetDelay delays every call. An append is written halfway through the delay, so the
// entry of a caller that times out may or may not have been written.
func (l *Log) SetDelay(delay time.Duration) {
	l.faults.mu.Lock()
	defer l.faults.mu.Unlock()
	l.faults.delay = delay
}

// LoseReplies makes the next n appends write their entry and then fail with
// ErrReplyLost. Always does so for all appends, 0 for none.
func (l *Log) LoseReplies(n int) {
	l.faults.mu.Lock()
	defer l.faults.mu.Unlock()
	l.faults.repliesToLose = n
}

// DuplicateNext makes the next n appends write their entry twice, as happens
// when the network duplicates a request. The reply has the second offset.
func (l *Log) DuplicateNext(n int) {
	l.faults.mu.Lock()
	defer l.faults.mu.Unlock()
	l.faults.appendsToDuplicate = n
}

// startCall returns the channel that is closed when SetDown is called and the delay
// of the call; it fails with ErrDown if the log is down.
func (f *faults) startCall() (downChanged <-chan struct{}, delay time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, 0, logservice.Unavailable(ErrDown)
	}
	return f.downChanged, f.delay, nil
}

// nextCopyCount returns how many copies of its entry the next append writes, and
// counts a duplicated append.
func (f *faults) nextCopyCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.appendsToDuplicate == 0 {
		return 1
	}
	f.appendsToDuplicate--
	return 2
}

// shouldLoseReply reports whether the reply of this append is dropped, and counts
// it.
func (f *faults) shouldLoseReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.repliesToLose == 0 {
		return false
	}
	if f.repliesToLose > 0 {
		f.repliesToLose--
	}
	return true
}

// sleep waits for d. It fails when ctx ends or SetDown is called.
func sleep(ctx context.Context, downChanged <-chan struct{}, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-downChanged:
		return logservice.Unavailable(ErrDown)
	case <-ctx.Done():
		return logservice.Unavailable(ctx.Err())
	}
}
