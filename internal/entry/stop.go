package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/punctual"
)

// Steps of a graceful stop, as fractions of the grace period, and its timing.
const (
	// admitAllFraction is how long all requests are admitted. The platform
	// takes the router out of service after two readiness probes, a second
	// apart, and callers may still connect until then. Afterwards only requests
	// that are certain to end in time are admitted.
	admitAllFraction = 0.33
	// maxAdmitAll is the longest time for which all requests are admitted,
	// however long the grace period is.
	maxAdmitAll = 2700 * time.Millisecond
	// minStopFraction is the least time that a stop takes.
	minStopFraction = 0.38
	// releaseFraction is when local balances are returned even if requests are
	// still in progress.
	releaseFraction = 0.8
	// abortFraction is when requests in progress are aborted.
	abortFraction = 0.95
	// closeFraction is when connections are closed even if requests may wait unread.
	closeFraction = 0.97
	// idlePollPeriod is how often a stop checks for requests in progress.
	idlePollPeriod = punctual.PollPeriod
	// minReportedDelay is how late the process must run for that to be logged.
	minReportedDelay = 150 * time.Millisecond
	// releaseTimeout bounds the return of local balances; a slow log takes
	// about 300 ms for each call.
	releaseTimeout = 1100 * time.Millisecond
	// shutdownTimeout bounds closing idle connections.
	shutdownTimeout = 100 * time.Millisecond
)

// Stop serves on until no request is in progress or the grace period is nearly
// over, and returns the local balances. What is still in progress then is answered with
// a refusal, or cut off if its response has begun. Idle connections stay open until the
// end, because closing one races with a request that its caller may be sending.
// Each response asks the caller to connect to another router.
func (r *Router) Stop() {
	begun := time.Now()
	timeAt := func(part float64) time.Time {
		return begun.Add(time.Duration(part * float64(r.options.GracePeriod)))
	}
	r.stopping.Store(true)
	r.log.Info().Int64("active", r.activeRequests.Load()).Msg("router is stopping")
	stopped := make(chan struct{})
	defer close(stopped)
	go r.reportDelays(stopped)
	admitAll := min(time.Duration(admitAllFraction*float64(r.options.GracePeriod)), maxAdmitAll)
	r.stopFilter.beginStop(begun.Add(admitAll), timeAt(abortFraction))
	time.Sleep(time.Until(timeAt(minStopFraction)))
	r.waitIdle(timeAt(releaseFraction))
	r.stopFilter.refuseAllFromNow() // the tokens that requests may need are returned
	r.releaseBalances(timeAt(abortFraction))
	if !r.waitUnread(timeAt(abortFraction)) {
		if active := r.activeRequests.Load(); active > 0 {
			r.log.Warn().Int64("active", active).Msg("requests are aborted at the end of the grace period")
		}
		r.abortRequests(filter.ErrStopping)
		r.waitUnread(timeAt(closeFraction))
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	if err := r.callerServer.Shutdown(shutdownCtx); err != nil {
		r.log.Warn().Err(err).Int64("active", r.activeRequests.Load()).Msg("connections were closed without an answer at the end of the grace period")
	}
	r.cancel()
	r.log.Info().Dur("took", time.Since(begun)).Msg("router stopped")
}

// reportDelays logs that the process was held up, until stopped is closed. Requests that
// come meanwhile are not read.
func (r *Router) reportDelays(stopped <-chan struct{}) {
	for {
		due := time.Now().Add(idlePollPeriod)
		select {
		case <-stopped:
			return
		case <-time.After(idlePollPeriod):
		}
		if late := time.Since(due); late > minReportedDelay {
			r.log.Warn().Dur("late", late).Int64("active", r.activeRequests.Load()).Msg("process was held up while the router stops")
		}
	}
}

// waitIdle waits until no request is in progress, but not beyond limit.
func (r *Router) waitIdle(limit time.Time) {
	for r.activeRequests.Load() > 0 && time.Now().Before(limit) {
		time.Sleep(idlePollPeriod)
	}
}

// waitUnread waits until no request is in progress and those that came while the process was
// held up have been read. It returns false if it reached limit.
func (r *Router) waitUnread(limit time.Time) bool {
	for onTime := punctual.NewWatch(time.Now()); !onTime.Poll(time.Now()) || r.activeRequests.Load() > 0; {
		if !time.Now().Before(limit) {
			return false
		}
		time.Sleep(idlePollPeriod)
	}
	return true
}

// releaseBalances ends the budget tasks, returns the local balances and removes
// this router from the peer set, as far as limit and releaseTimeout allow.
func (r *Router) releaseBalances(limit time.Time) {
	r.cancelBudget()
	r.budgetTasks.Wait()
	if timeoutAt := time.Now().Add(releaseTimeout); timeoutAt.Before(limit) {
		limit = timeoutAt
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	r.balances.Release(ctx)
	if r.cold != nil {
		r.cold.Stop()
	}
	if err := r.peerSet.Leave(ctx, r.platform); err != nil {
		r.log.Warn().Err(err).Msg("stop of this router could not be announced to the other routers")
	}
}

// Active returns the number of requests in progress.
func (r *Router) Active() int64 { return r.activeRequests.Load() }

// Close stops the router at once. Local balances are not returned.
func (r *Router) Close() {
	r.cancelBudget()
	r.cancel()
	for _, server := range []*http.Server{r.callerServer, r.readyServer, r.peerServer, r.metricsServer} {
		if server != nil {
			_ = server.Close() // requests in progress are aborted on purpose
		}
	}
	r.budgetTasks.Wait()
	r.background.Wait()
}
