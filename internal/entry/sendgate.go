package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/evacuation"
	"github.com/camphorlever/camphorlever/internal/membership"
	"github.com/camphorlever/camphorlever/internal/watch"
)

// Limits on the age of the operators' orders.
const (
	// maxOrderAgeShare is the age of the known orders, as a share of the time within
	// which an order must have effect, from which a request waits for newer ones. A
	// router in contact with the log reads them every 1 to 2 s; they are older after the
	// process was frozen. The rest of the time is for the read.
	maxOrderAgeShare = 0.5
	// refreshTimeout bounds that wait. If the log has not answered for so long, the
	// last known orders hold.
	refreshTimeout = time.Second
	// refreshRetryPause is how often a failed wait is repeated: the first read after a
	// freeze fails, since its time limit has passed.
	refreshRetryPause = 20 * time.Millisecond
	// maxSendDelay is the time from the choice of a server until the request is sent
	// beyond which the process has probably been frozen. Connecting takes 0.3 s at most.
	maxSendDelay = time.Second
)

var (
	errEvacuated      = errors.New("data centre is evacuated")
	errOrdersOutdated = errors.New("orders may be outdated")
)

// sendGate withholds requests from evacuated data centres right before they are sent.
type sendGate struct {
	orders  *evacuation.Set
	watcher *watch.Watcher // of the stream of orders
	maxAge  time.Duration  // of the known orders; zero if requests never wait for newer ones
	events  *counter.Set
}

func newSendGate(orders *evacuation.Set, watcher *watch.Watcher, evacuationTimeout time.Duration) *sendGate {
	return &sendGate{
		orders:  orders,
		watcher: watcher,
		maxAge:  time.Duration(maxOrderAgeShare * float64(evacuationTimeout)),
		events:  counter.NewSet("evacuation"),
	}
}

// outdated reports whether the log may hold orders that are not known, although it could
// be read.
func (g *sendGate) outdated() bool {
	return g.maxAge > 0 && time.Since(g.watcher.SyncedAt()) > g.maxAge && g.watcher.UnavailableFor() < refreshTimeout
}

// Refresh implements forward.Gate.
func (g *sendGate) Refresh(ctx context.Context) {
	if !g.outdated() {
		return
	}
	g.events.Inc("orders_awaited")
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	for g.watcher.Sync(ctx) != nil && g.outdated() {
		select {
		case <-ctx.Done():
			g.events.Inc("orders_unsure")
			return
		case <-time.After(refreshRetryPause):
		}
	}
}

// Check implements forward.Gate.
func (g *sendGate) Check(server membership.Server, chosenAt time.Time) error {
	if g.orders.InForce(server.DataCentre) {
		g.events.Inc("withheld")
		return errors.Wrapf(errEvacuated, "server %s", server.ID)
	}
	if time.Since(chosenAt) > maxSendDelay && g.outdated() {
		g.events.Inc("withheld_outdated")
		return errOrdersOutdated
	}
	return nil
}

// gatedProber probes servers, except those of evacuated data centres.
type gatedProber struct {
	gate   *sendGate
	prober interface {
		Probe(ctx context.Context, server membership.Server) error
	}
}

// Probe implements quarantine.Prober.
func (p *gatedProber) Probe(ctx context.Context, server membership.Server) error {
	p.gate.Refresh(ctx)
	if err := p.gate.Check(server, time.Now()); err != nil {
		return err
	}
	return p.prober.Probe(ctx, server)
}
