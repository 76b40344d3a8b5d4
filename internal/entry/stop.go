package entry

import (
	"context"
	"time"
)

// Steps of a graceful stop.
const (
	// leastStop is how long the router serves on in any case: the platform
	// takes it out after two questions, a second apart, and callers may have
	// connected meanwhile.
	leastStop = 3 * time.Second
	// stopMargin is left of the grace period for the last steps.
	stopMargin = 1400 * time.Millisecond
	// activePoll is how often the stop looks for requests in progress.
	activePoll = 50 * time.Millisecond
	// releaseTimeout bounds giving tokens back; a slow log takes some 300 ms
	// for each call.
	releaseTimeout = 1100 * time.Millisecond
	// shutdownTimeout bounds closing idle connections.
	shutdownTimeout = 100 * time.Millisecond
)

// Stop serves on until no request is in progress or the grace period is over,
// then gives the tokens in hand back.
func (r *Router) Stop() {
	begun := time.Now()
	r.stopping.Store(true)
	r.log.Info().Int64("active", r.active.Load()).Msg("router stops")
	r.callers.SetKeepAlivesEnabled(false)
	limit := begun.Add(r.options.Grace - stopMargin)
	for time.Now().Before(limit) {
		if r.active.Load() == 0 && time.Since(begun) >= leastStop {
			break
		}
		time.Sleep(activePoll)
	}
	r.halt()
	r.budget.Wait()
	release, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	r.hands.Release(release)
	if err := r.roster.Leave(release, r.platform); err != nil {
		r.log.Warn().Err(err).Msg("other routers could not be told of the stop")
	}
	shutdown, end := context.WithTimeout(context.Background(), shutdownTimeout)
	defer end()
	if err := r.callers.Shutdown(shutdown); err != nil {
		r.log.Warn().Err(err).Int64("active", r.active.Load()).Msg("requests were cut by the end of the grace period")
	}
	r.cancel()
	r.log.Info().Dur("took", time.Since(begun)).Msg("router stopped")
}
