package quarantine

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/membership"
)

// probeDelay gives a server that crashed time to close its listener.
const probeDelay = 20 * time.Millisecond

// Prober tries to connect to a server. It fails with syscall.ECONNREFUSED if none listens
// at the address.
type Prober interface {
	Probe(ctx context.Context, server membership.Server) error
}

// RunProber probes the servers at which attempts broke, until ctx ends.
func (t *Tracker) RunProber(ctx context.Context, prober Prober) {
	var probes conc.WaitGroup
	defer probes.Wait()
	for wait(ctx, t.wakeProber, 0) {
		t.mu.Lock()
		servers := t.probes
		t.probes = nil
		t.mu.Unlock()
		for _, server := range servers {
			probes.Go(func() { t.probe(ctx, prober, server) })
		}
	}
}

func (t *Tracker) probe(ctx context.Context, prober Prober, server membership.Server) {
	pause(ctx, probeDelay)
	if err := prober.Probe(ctx, server); errors.Is(err, syscall.ECONNREFUSED) {
		t.ServerCrashed(server)
		return
	}
	// Something may accept connections in place of a server that is down, so only an
	// answer shows that it lives. Otherwise the list of servers will tell.
	t.events.Inc("probe_undecided")
}
