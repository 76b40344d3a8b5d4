package router

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/placement"
)

// Polling of the servers' loads. Only the router's own subset of the servers
// is asked, so that the traffic does not grow with the fleet.
const (
	loadInterval = time.Second
	loadCalls    = 8 // at once
)

// loads is the controller that keeps the placement's view of the servers.
type loads struct {
	directory *directory
	picker    *placement.Picker
	gates     *gates
	routers   *routers
	kick      func() // there may be more room than before
	polls     *counter.Set
}

// run polls until ctx ends.
func (l *loads) run(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		l.directory.refresh()
		l.directory.refreshVMs()
		l.routers.keep()
		l.round(ctx)
		l.kick()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (l *loads) round(ctx context.Context) {
	calls := pool.New().WithMaxGoroutines(loadCalls)
	for _, s := range l.picker.PolledServers() {
		calls.Go(func() { l.poll(ctx, s) })
	}
	calls.Wait()
}

// poll asks one server. Without an answer the last report stays; the runs
// that this router places there are still counted.
func (l *loads) poll(ctx context.Context, s *placement.Server) {
	known := l.picker.CacheMark(s.Gate)
	reply, err := l.gates.load(ctx, target(s), known)
	if err != nil {
		l.polls.Inc("no_reply")
		l.picker.MarkFailed(s.Gate)
		return
	}
	if reply.Gate != s.Gate {
		l.polls.Inc("stranger")
		l.picker.MarkFailed(s.Gate)
		return
	}
	if reply.Unreachable {
		l.polls.Inc("server_unreachable")
		l.picker.MarkFailed(s.Gate)
		return
	}
	l.polls.Inc("answered")
	l.picker.ApplyReport(s.Gate, report(known, &reply))
}
