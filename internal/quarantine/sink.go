package quarantine

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// Reset implements watch.Sink.
func (t *Tracker) Reset(entries []logservice.KeyedEntry) {
	t.mu.Lock()
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
	}
	for part, s := range t.suspects {
		if s.logged && !present[part] {
			t.entryRemoved(part, s)
		}
	}
	t.mu.Unlock()
	t.Apply(entries)
}

// Restore implements watch.Sink. Evidence that the older copy lacks is written again.
func (t *Tracker) Restore(entries []logservice.KeyedEntry) { t.Reset(entries) }

// Apply implements watch.Sink.
func (t *Tracker) Apply(entries []logservice.KeyedEntry) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := lineLimit{}
	for _, e := range entries {
		switch {
		case e.Key == "":
		case e.Value == nil:
			delete(t.unwritten, e.Key)
			if s := t.suspects[e.Key]; s != nil {
				t.entryRemoved(e.Key, s)
			}
		default:
			t.applyEntry(e, &lines, now)
		}
	}
	t.cancelBlocked(now)
}

// entryRemoved handles the removal of the entry of a part, which is written again if this
// router still needs it. The caller holds the lock.
func (t *Tracker) entryRemoved(part string, s *suspect) {
	s.logged = false
	if s.isQuarantined() {
		t.writeLater(part, randomRelayDelay())
	}
}

// applyEntry merges an entry of the log. If this router knows more, it writes that. The
// caller holds the lock.
func (t *Tracker) applyEntry(e logservice.KeyedEntry, lines *lineLimit, now time.Time) {
	evidence, err := decodeEvidence(e.Key, e.Value)
	if err != nil {
		t.events.Inc("malformed")
		t.log.Warn().Err(err).Int64("offset", int64(e.Offset)).Msg("entry of a prompt part cannot be used")
		return
	}
	s, _ := t.merge(evidence, lines, now)
	if s == nil {
		return
	}
	s.logged = true
	if s.evidence.Epoch == evidence.Epoch && (evidence.includes(&s.evidence) || len(evidence.Crashes) >= maxCrashes) {
		delete(t.unwritten, e.Key)
		return
	}
	t.writeLater(e.Key, randomRelayDelay())
}

// SetReachable implements watch.Sink.
func (t *Tracker) SetReachable(bool) {}
