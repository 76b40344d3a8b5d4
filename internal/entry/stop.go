package entry

import (
	"context"
	"net/http"
	"time"
)

// Steps of a graceful stop, as parts of the grace period.
const (
	// servePart is how long everything is taken as before. The platform takes
	// the router out after two questions a second apart, and callers may have
	// connected meanwhile; later, only what will end in time is taken.
	servePart = 0.33
	// leastPart is the least time that a stop takes.
	leastPart = 0.38
	// releasePart is when tokens in hand are given back though requests are
	// still in progress.
	releasePart = 0.8
	// endPart is when requests in progress are cut.
	endPart = 0.95
	// activePoll is how often the stop looks for requests in progress.
	activePoll = 20 * time.Millisecond
	// releaseTimeout bounds giving tokens back; a slow log takes some 300 ms
	// for each call.
	releaseTimeout = 1100 * time.Millisecond
	// shutdownTimeout bounds closing idle connections.
	shutdownTimeout = 100 * time.Millisecond
)

// Stop serves on until no request is in progress or the grace period is nearly
// over, and gives the tokens in hand back. Connections on which nothing is in
// progress stay open until the end: closing one races with the request that its
// caller sends meanwhile. Each answer asks the caller to connect elsewhere.
func (r *Router) Stop() {
	begun := time.Now()
	at := func(part float64) time.Time {
		return begun.Add(time.Duration(part * float64(r.options.GracePeriod)))
	}
	r.stopping.Store(true)
	r.log.Info().Int64("active", r.active.Load()).Msg("router stops")
	r.lastCall.stop(at(servePart), at(endPart))
	time.Sleep(time.Until(at(leastPart)))
	r.idle(at(releasePart))
	r.release(at(endPart))
	r.idle(at(endPart))
	r.lastCall.stop(begun, begun) // what comes now is refused, since the next step may cut it
	r.idle(at(endPart))
	shutdown, end := context.WithTimeout(context.Background(), shutdownTimeout)
	defer end()
	if err := r.callers.Shutdown(shutdown); err != nil {
		r.log.Warn().Err(err).Int64("active", r.active.Load()).Msg("requests were cut by the end of the grace period")
	}
	r.cancel()
	r.log.Info().Dur("took", time.Since(begun)).Msg("router stopped")
}

// idle waits until no request is in progress, or for as long as it may.
func (r *Router) idle(limit time.Time) {
	for r.active.Load() > 0 && time.Now().Before(limit) {
		time.Sleep(activePoll)
	}
}

// release gives back what the router holds, as far as there is time for it.
func (r *Router) release(limit time.Time) {
	r.halt()
	r.budget.Wait()
	if soonest := time.Now().Add(releaseTimeout); soonest.Before(limit) {
		limit = soonest
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	r.hands.Release(ctx)
	if err := r.roster.Leave(ctx, r.platform); err != nil {
		r.log.Warn().Err(err).Msg("other routers could not be told of the stop")
	}
}

// Active returns how many requests are in progress.
func (r *Router) Active() int64 { return r.active.Load() }

// Close ends the router at once. Nothing is given back.
func (r *Router) Close() {
	r.halt()
	r.cancel()
	for _, server := range []*http.Server{r.callers, r.ready, r.inner, r.metrics} {
		if server != nil {
			_ = server.Close() // what it still carries is cut on purpose
		}
	}
	r.budget.Wait()
	r.work.Wait()
}
