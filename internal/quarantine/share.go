package quarantine

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// Timing and limits of sharing evidence.
const (
	// batchPause collects the evidence of a crash, which several requests report. It
	// also follows each full message.
	batchPause = 10 * time.Millisecond
	// refutedPause collects the answers that void evidence.
	refutedPause = time.Second
	// relayDelay is the least time after which a router writes evidence that it got
	// from another one, which has probably written it. The delay is random up to
	// four times this.
	relayDelay = 200 * time.Millisecond
	// writeTimeout bounds one append, and writeRetryPause follows a failed one.
	writeTimeout    = time.Second
	writeRetryPause = 250 * time.Millisecond
	// gossipRetryPause follows a message that reached no router. A router that has just
	// started knows no others for about a second.
	gossipRetryPause = 250 * time.Millisecond
	// pollPeriod is how often delayed writes are looked for.
	pollPeriod = 200 * time.Millisecond
	// maxGossip limits the parts of one message to another router.
	maxGossip = 256
	// maxWrites limits the entries of one append.
	maxWrites = 100
)

// Appender appends entries to a keyed stream. After an error the outcome is unknown.
type Appender interface {
	Append(ctx context.Context, stream logservice.Stream, entries ...logservice.KeyedEntry) error
}

// Gossiper sends evidence to other routers, which pass on what is new to them.
type Gossiper interface {
	// Gossip reports whether any router received the evidence.
	Gossip(ctx context.Context, evidence []Evidence) bool
}

// notify wakes the tasks that share evidence and probe servers.
func (t *Tracker) notify() {
	for _, wake := range []chan struct{}{t.wakeGossip, t.wakeWriter, t.wakeProber} {
		select {
		case wake <- struct{}{}:
		default: // it is awake
		}
	}
}

// share has the evidence against a part sent to the other routers and, if requests are
// withheld because of it or the log has an entry of it, written to the log after a delay.
// The caller holds the lock.
func (t *Tracker) share(s *suspect, writeDelay time.Duration) {
	part := s.evidence.Part
	t.gossip[part] = struct{}{}
	if s.isQuarantined() || s.logged {
		t.writeLater(part, writeDelay)
	}
	t.notify()
}

// shareRefuted has the other routers told that the evidence against a part, which was not in
// quarantine, is void. There is time for it: a router that reports the evidence before it
// knows is told at once. The caller holds the lock.
func (t *Tracker) shareRefuted(s *suspect) {
	if len(t.refuted) == 0 {
		time.AfterFunc(refutedPause, t.flushRefuted)
	}
	t.refuted[s.evidence.Part] = struct{}{}
}

func (t *Tracker) flushRefuted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.Copy(t.gossip, t.refuted)
	clear(t.refuted)
	t.notify()
}

// writeLater schedules the entry of a part to be written, unless it is already. The
// caller holds the lock.
func (t *Tracker) writeLater(part string, delay time.Duration) {
	at := time.Now().Add(delay)
	if scheduled, ok := t.unwritten[part]; !ok || at.Before(scheduled) {
		t.unwritten[part] = at
	}
}

func randomRelayDelay() time.Duration { return relayDelay + rand.N(3*relayDelay) }

// RunGossip sends new evidence to other routers until ctx ends. What no router received is
// sent again: evidence against a part that is not in quarantine is not in the log, and without
// it a sound part of the same requests may be blamed alone.
func (t *Tracker) RunGossip(ctx context.Context, peers Gossiper) {
	for wait(ctx, t.wakeGossip, 0) {
		pause(ctx, batchPause)
		evidence := t.takeGossip()
		if len(evidence) > 0 && !peers.Gossip(ctx, evidence) {
			t.events.Inc("gossip_failed")
			pause(ctx, gossipRetryPause)
			t.gossipAgain(evidence)
		}
	}
}

// gossipAgain schedules evidence that no router received.
func (t *Tracker) gossipAgain(evidence []Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range evidence {
		t.gossip[e.Part] = struct{}{}
	}
	t.notify()
}

// takeGossip returns the evidence to send next, that of parts in quarantine first.
func (t *Tracker) takeGossip() []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	evidence := make([]Evidence, 0, min(len(t.gossip), maxGossip))
	for _, withheld := range []bool{true, false} {
		for part := range t.gossip {
			s := t.suspects[part]
			if s == nil {
				delete(t.gossip, part)
				continue
			}
			if s.isQuarantined() == withheld && len(evidence) < maxGossip {
				evidence = append(evidence, s.evidence.clone())
				delete(t.gossip, part)
			}
		}
	}
	if len(t.gossip) > 0 {
		t.notify()
	}
	return evidence
}

// RunWriter writes the evidence of parts that are or were in quarantine to a keyed stream
// of the log, under the part, until ctx ends.
func (t *Tracker) RunWriter(ctx context.Context, log Appender, stream logservice.Stream) {
	for wait(ctx, t.wakeWriter, pollPeriod) {
		entries := t.dueEntries()
		if len(entries) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := log.Append(callCtx, stream, entries...)
		cancel()
		if err != nil {
			t.events.Inc("write_failed")
			t.log.Warn().Err(err).Int("parts", len(entries)).Msg("quarantined prompt parts could not be written to the log")
			t.rewrite(entries)
			pause(ctx, writeRetryPause)
		}
	}
}

// dueEntries returns the entries that are to be written now, and takes them for written.
func (t *Tracker) dueEntries() []logservice.KeyedEntry {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []logservice.KeyedEntry
	for part, at := range t.unwritten {
		if at.After(now) || len(entries) >= maxWrites {
			continue
		}
		delete(t.unwritten, part)
		entry := logservice.KeyedEntry{Key: part} // without a value it removes the entry
		if s := t.suspects[part]; s != nil {
			raw, err := encodeEvidence(s.evidence)
			if err != nil {
				t.log.Error().Err(err).Str("prompt_part", part).Msg("evidence cannot be encoded")
				continue
			}
			entry.Value = raw
			s.logged = true
		}
		entries = append(entries, entry)
	}
	return entries
}

func (t *Tracker) rewrite(entries []logservice.KeyedEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		t.writeLater(e.Key, 0)
	}
}

// wait waits until a task is woken or, if period is positive, for that period. It returns
// false once ctx has ended.
func wait(ctx context.Context, wake <-chan struct{}, period time.Duration) bool {
	var timeout <-chan time.Time
	if period > 0 {
		timer := time.NewTimer(period)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timeout:
	}
	return ctx.Err() == nil
}

// pause waits for a period or until ctx ends.
func pause(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
