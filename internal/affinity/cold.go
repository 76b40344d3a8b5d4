package affinity

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/coldlimit"
	"github.com/camphorlever/camphorlever/internal/membership"
)

// LimitCold has the placer ask a limiter before it chooses a cold server. It must be
// called before the first Pick.
func (p *Placer) LimitCold(limiter *coldlimit.Limiter) { p.cold = limiter }

// splitCold separates the servers whose requests are limited now from the others.
func (p *Placer) splitCold(servers []membership.Server, now time.Time) (warm, cold []membership.Server) {
	for i := range servers {
		if p.cold.IsCold(&servers[i], now) {
			cold = append(cold, servers[i])
		} else {
			warm = append(warm, servers[i])
		}
	}
	return warm, cold
}

// pickBesideCold chooses a server if some are cold. A cold server with remaining rate is
// chosen only if no warm one is within the usual load bound, a cold one without never.
// The caller holds p.mu.
func (p *Placer) pickBesideCold(servers, coldServers []membership.Server, q Query, now time.Time) (*Placement, bool) {
	warm, warmTotal := p.candidates(servers, q.Tried, now)
	cold, coldTotal := p.candidates(coldServers, q.Tried, now)
	all := append(append(make([]candidate, 0, len(warm)+len(cold)), warm...), cold...)
	if len(all) == 0 {
		return nil, false
	}
	baseline := p.baseline(all[0].server.Service)
	baseline.setPenalties(all, now)
	l := p.setLoads(all, warmTotal+coldTotal)
	limit := l.limit()
	warm, cold = all[:len(warm)], all[len(warm):]
	var within []candidate
	for _, c := range warm {
		if c.load() <= limit && !c.node.isAvoided(now) {
			within = append(within, c)
		}
	}
	if len(within) > 0 {
		return p.place(p.choose(within, q.Key, l, baseline, now), q, l, baseline, now), true
	}
	for len(cold) > 0 {
		best := p.choose(cold, q.Key, l, baseline, now)
		if reservation, ok := p.cold.Reserve(best.server, now, len(warm) == 0); ok {
			placed := p.place(best, q, l, baseline, now)
			placed.reservation, placed.Cold = reservation, true
			return placed, true
		}
		cold = without(cold, best)
	}
	if len(warm) > 0 {
		return p.place(p.choose(warm, q.Key, l, baseline, now), q, l, baseline, now), true
	}
	return nil, false
}

// without returns the candidates except one. It changes the slice.
func without(candidates []candidate, excluded candidate) []candidate {
	for i := range candidates {
		if candidates[i].node == excluded.node {
			candidates[i] = candidates[len(candidates)-1]
			return candidates[:len(candidates)-1]
		}
	}
	return candidates
}

// AdmitCold reports whether the request may be sent to its server now, and counts it as
// sent if the server is cold. The server may have become cold since it was chosen.
func (p *Placement) AdmitCold(now time.Time) bool {
	limiter := p.placer.cold
	if limiter == nil {
		return true
	}
	if p.reservation == nil {
		if !limiter.AnyCold() {
			return true
		}
		reservation, ok := limiter.Reserve(&p.Server, now, false)
		if !ok || reservation == nil {
			return ok
		}
		p.reservation = reservation
	}
	return p.reservation.Confirm(now)
}
