package router

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Stop ends the process without cutting off a request: it tells the balancer,
// refuses what is new, finishes what runs, settles, returns the grants and
// deregisters. Requests in progress are waited for until ctx ends. What could
// not be settled or returned is left to the fleet: the process then does not
// deregister, and returns an error.
func (r *Router) Stop(ctx context.Context) (err error) {
	r.stop.Do(func() { err = r.stopOnce(ctx) })
	return err
}

func (r *Router) stopOnce(ctx context.Context) error {
	r.log.Info().Msg("router stops")
	r.state.unready.Store(true)
	r.announce()
	pause(ctx, unreadyPause)
	r.state.stopping.Store(true)
	close(r.refusing)
	err := r.finishRequests(ctx)
	if err == nil {
		err = r.leaveFleet()
	} else {
		r.node.Abandon()
	}
	if r.cancel != nil {
		r.cancel()
	}
	if grants := r.grants.Load(); grants != nil {
		grants.Close()
	}
	r.closeListeners()
	r.relay.Close()
	r.work.Wait()
	return err
}

// announce lets the other routers give their loans back early. Without it they
// do so when the loans have been idle for a while.
func (r *Router) announce() {
	if r.node.Incarnation() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if err := r.node.Leave(ctx); err != nil {
		r.log.Warn().Err(err).Msg("stop could not be announced")
	}
}

// finishRequests waits for every request in progress. Until they are over,
// those that still come are told that the router stops.
func (r *Router) finishRequests(ctx context.Context) error {
	if r.callers == nil {
		return nil
	}
	for r.state.active.Load() > 0 && ctx.Err() == nil {
		pause(ctx, activePoll)
	}
	return errors.Wrap(r.callers.Shutdown(ctx), "requests in progress")
}

// leaveFleet settles, returns the grants and deregisters.
func (r *Router) leaveFleet() error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := r.witness.tracker.Flush(ctx); err != nil {
		r.node.Abandon()
		return errors.Wrap(err, "settle")
	}
	if grants := r.grants.Load(); grants != nil {
		if err := grants.Drain(ctx); err != nil {
			r.node.Abandon()
			return errors.Wrap(err, "return grants")
		}
	}
	return r.node.Stop(ctx)
}

func (r *Router) closeListeners() {
	for _, server := range []interface{ Close() error }{r.callers, r.internal, r.admin} {
		if server != nil {
			_ = server.Close() // nothing is in progress any more
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
