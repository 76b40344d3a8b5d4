package router

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/punctual"
)

// Stop stops the router gracefully: it reports not ready to the load balancer,
// refuses new requests, waits until ctx ends for those in progress, settles
// their runs, returns the grants and deregisters. If a request is still in
// progress or a settlement or a grant could not be written, the process does not
// deregister and Stop returns an error; other processes then seal this
// incarnation and settle its runs. Further calls return nil.
func (r *Router) Stop(ctx context.Context) (err error) {
	r.stopOnce.Do(func() { err = r.shutDown(ctx) })
	return err
}

func (r *Router) shutDown(ctx context.Context) error {
	r.log.Info().Msg("router is stopping")
	r.state.unready.Store(true)
	sleep(ctx, unreadyDelay)
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
	r.background.Wait()
	return err
}

// finishRequests waits for all requests in progress, and until those that came while the
// process was held up have been read. The listener stays open meanwhile, so that new
// requests are refused as stopping.
func (r *Router) finishRequests(ctx context.Context) error {
	if r.callerServer == nil {
		return nil
	}
	for onTime := punctual.NewWatch(time.Now()); ctx.Err() == nil && (!onTime.Poll(time.Now()) || r.state.active.Load() > 0); {
		sleep(ctx, punctual.PollPeriod)
	}
	return errors.Wrap(r.callerServer.Shutdown(ctx), "requests in progress")
}

// leaveFleet settles all runs, returns the grants and deregisters. On an error
// the node stops without deregistering.
func (r *Router) leaveFleet() error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := r.settler.tracker.Flush(ctx); err != nil {
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
	for _, server := range []interface{ Close() error }{r.callerServer, r.internalServer, r.adminServer} {
		if server != nil {
			_ = server.Close() // no request is in progress, or the wait for it has ended
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
