package memlog

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// Causes of an unavailable log. Both come wrapped in ErrUnavailable.
var (
	// ErrDown means that the log was switched off.
	ErrDown = errors.New("log is down")
	// ErrReplyLost means that the entry was written and its reply dropped.
	ErrReplyLost = errors.New("reply was lost")
)

// Always makes LoseReplies lose every reply until it is set anew.
const Always = -1

// faults holds the faults in force.
type faults struct {
	mu        sync.Mutex // guards all fields; changed is closed while holding it
	down      bool
	delay     time.Duration
	lost      int // appends whose reply is dropped; Always for all
	duplicate int // appends that are written twice
	changed   chan struct{}
}

// SetDown switches the log off or on again. Calls in progress fail at once.
func (l *Log) SetDown(down bool) {
	f := &l.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	close(f.changed)
	f.changed = make(chan struct{})
}

// SetDelay delays every call. The write of an append takes effect in the middle
// of the delay, so a caller that gives up may or may not have written.
func (l *Log) SetDelay(delay time.Duration) {
	l.faults.mu.Lock()
	defer l.faults.mu.Unlock()
	l.faults.delay = delay
}

// LoseReplies makes the next n appends take effect and then fail. Always
// loses all of them, 0 none.
func (l *Log) LoseReplies(n int) {
	l.faults.mu.Lock()
	defer l.faults.mu.Unlock()
	l.faults.lost = n
}

// DuplicateNext makes the next n appends write their entry twice, as a
// network that repeats a request does. The reply tells the later offset.
func (l *Log) DuplicateNext(n int) {
	l.faults.mu.Lock()
	defer l.faults.mu.Unlock()
	l.faults.duplicate = n
}

// enter returns the channel that is closed when the log goes down or up, and
// the delay in force; it fails if the log is down.
func (f *faults) enter() (changed <-chan struct{}, delay time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, 0, logservice.Unavailable(ErrDown)
	}
	return f.changed, f.delay, nil
}

// copies returns how often the entry of the next append is written.
func (f *faults) copies() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.duplicate == 0 {
		return 1
	}
	f.duplicate--
	return 2
}

// loseReply reports whether the reply of an append is dropped.
func (f *faults) loseReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost == 0 {
		return false
	}
	if f.lost > 0 {
		f.lost--
	}
	return true
}

// sleep waits for d. It fails when the caller gives up or the log changes
// between down and up.
func sleep(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-changed:
		return logservice.Unavailable(ErrDown)
	case <-ctx.Done():
		return logservice.Unavailable(ctx.Err())
	}
}
