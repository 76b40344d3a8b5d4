package router

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/placement"
)

// Each router polls only its own subset of the servers, so that the traffic
// does not grow with the fleet.
const (
	loadInterval       = time.Second
	maxConcurrentPolls = 8
)

// loadPoller is the controller that keeps the placement's view of the servers
// up to date.
type loadPoller struct {
	directory       *directory
	picker          *placement.Picker
	gates           *gateClients
	routers         *routerClients
	dispatchWaiting func() // starts queued requests, as servers may have free slots again
	pollResults     *counter.Set
}

// run polls every loadInterval until ctx ends.
func (l *loadPoller) run(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		l.directory.refresh()
		l.directory.refreshLeaving()
		l.routers.closeRemoved()
		l.pollAll(ctx)
		l.dispatchWaiting()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// pollAll polls every server of the router's subset and waits for the replies.
func (l *loadPoller) pollAll(ctx context.Context) {
	calls := pool.New().WithMaxGoroutines(maxConcurrentPolls)
	for _, s := range l.picker.PolledServers() {
		calls.Go(func() { l.pollServer(ctx, s) })
	}
	calls.Wait()
}

// pollServer polls one server. If the poll fails, the last report stays in use,
// and the runs that this router places on the server still count towards its
// load.
func (l *loadPoller) pollServer(ctx context.Context, s *placement.Server) {
	since := l.picker.CacheMark(s.Gate)
	reply, err := l.gates.loadReport(ctx, serverTarget(s), since)
	if err != nil {
		l.pollResults.Inc("no_reply")
		l.picker.MarkFailed(s.Gate)
		return
	}
	if reply.Gate != s.Gate {
		l.pollResults.Inc("stranger")
		l.picker.MarkFailed(s.Gate)
		return
	}
	if reply.Unreachable {
		l.pollResults.Inc("server_unreachable")
		l.picker.MarkFailed(s.Gate)
		return
	}
	l.pollResults.Inc("answered")
	l.picker.ApplyReport(s.Gate, placementReport(since, &reply))
}
