package entry

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/peers"
	"github.com/camphorlever/camphorlever/internal/pressure"
)

// cleanupPeriod is how often expired servers and idle connections are
// removed.
const cleanupPeriod = 200 * time.Millisecond

// cleanUp periodically removes expired servers, and the connections and
// placement state of removed ones.
func (r *Router) cleanUp(ctx context.Context) {
	ticker := time.NewTicker(cleanupPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.servers.RemoveExpired()
			r.pool.RetainServers(r.servers.Usable)
			r.placer.RetainServers(r.servers.Known)
			if r.loads != nil {
				r.loads.Retain(r.servers.Known)
			}
			r.quarantine.Expire(r.servers.Ended)
			if r.cold != nil {
				r.cold.Expire()
			}
		}
	}
}

// samplePressure periodically measures the use of the VM's link.
func (r *Router) samplePressure(ctx context.Context) {
	ticker := time.NewTicker(pressure.SampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.pressure.Sample(now)
		}
	}
}

// Timing of the announcements of a full link to the other routers.
const (
	// pressurePollPeriod is how often the state is compared with the announced
	// one. A failed announcement is repeated after the same time.
	pressurePollPeriod = 200 * time.Millisecond
	// pressureRepeatPeriod is how often a link that stays full is announced
	// again.
	pressureRepeatPeriod = peers.FullExpiry / 2
	// pressureAnnounceTimeout bounds one attempt. A slow log takes about 300
	// ms.
	pressureAnnounceTimeout = time.Second
)

// announcePressure announces changes of the link's state to the other routers.
// Announcements must not overlap, so it makes one at a time.
func (r *Router) announcePressure(ctx context.Context) {
	ticker := time.NewTicker(pressurePollPeriod)
	defer ticker.Stop()
	announced, announcedAt := false, time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		over := r.pressure.Overloaded()
		if over == announced && (!over || time.Since(announcedAt) < pressureRepeatPeriod) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, pressureAnnounceTimeout)
		err := r.peerSet.SetFull(callCtx, r.platform, over)
		cancel()
		if err != nil {
			r.log.Warn().Err(err).Bool("full", over).Msg("change of the overload state could not be announced to the other routers")
			continue
		}
		announced, announcedAt = over, time.Now()
	}
}
