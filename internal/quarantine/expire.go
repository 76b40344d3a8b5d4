package quarantine

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/membership"
)

// Expire drops what is too old to count. It must be called periodically. ended reports
// whether an incarnation of a server has ended without a planned stop.
func (t *Tracker) Expire(ended func(membership.Server) bool) {
	for _, server := range t.serversToConfirm() {
		if ended(server) {
			t.ServerCrashed(server)
		}
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePending(now)
	for part, s := range t.suspects {
		if now.Sub(s.changedAt) < s.retention() || now.Before(s.releaseAt) || s.trial != nil {
			continue
		}
		delete(t.suspects, part)
		if s.logged {
			t.writeLater(part, randomRelayDelay())
		}
		t.grouped = false
	}
}

// retention returns for how long the state of a part is kept after its last change.
func (s *suspect) retention() time.Duration {
	switch {
	case s.isQuarantined():
		return 2 * longQuarantine // nobody has asked for it since it could be tried again
	case s.evidence.Epoch > 0 && s.logged:
		return clearedPeriod
	default:
		return suspicionPeriod
	}
}

// serversToConfirm returns the servers at which attempts broke.
func (t *Tracker) serversToConfirm() []membership.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := make([]membership.Server, 0, len(t.pending))
	for _, attempts := range t.pending {
		servers = append(servers, attempts[0].server)
	}
	return servers
}
