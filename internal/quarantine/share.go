package quarantine

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/membership"
)

// Timing of sharing evidence and of probes.
const (
	// batchPause collects the evidence of a crash, which several requests report.
	batchPause = 10 * time.Millisecond
	// relayDelay is the least time after which a router writes evidence that it got
	// from another one, which has probably written it. The delay is random up to
	// four times this.
	relayDelay = 200 * time.Millisecond
	// writeTimeout bounds one append, and writeRetryPause follows a failed one.
	writeTimeout    = time.Second
	writeRetryPause = 250 * time.Millisecond
	// pollPeriod is how often delayed writes are looked for.
	pollPeriod = 200 * time.Millisecond
	// probeDelay gives a server that crashed time to close its listener.
	probeDelay = 20 * time.Millisecond
	// maxWrites limits the entries of one append.
	maxWrites = 100
)

// Appender appends entries to a keyed stream. After an error the outcome is unknown.
type Appender interface {
	Append(ctx context.Context, stream logservice.Stream, entries ...logservice.KeyedEntry) error
}

// Gossiper sends evidence to other routers, which pass on what is new to them.
type Gossiper interface {
	Gossip(ctx context.Context, evidence []Evidence)
}

// Prober tries to connect to a server. It fails with syscall.ECONNREFUSED if none listens
// at the address.
type Prober interface {
	Probe(ctx context.Context, server membership.Server) error
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
// or were withheld because of it, written to the log after a delay. The caller holds the
// lock.
func (t *Tracker) share(s *suspect, writeDelay time.Duration) {
	part := s.evidence.Part
	t.gossip[part] = struct{}{}
	if s.isQuarantined() || s.evidence.Epoch > 0 {
		t.writeLater(part, writeDelay)
	}
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

// RunGossip sends new evidence to other routers until ctx ends.
func (t *Tracker) RunGossip(ctx context.Context, peers Gossiper) {
	for wait(ctx, t.wakeGossip, 0) {
		pause(ctx, batchPause)
		if evidence := t.takeGossip(); len(evidence) > 0 {
			peers.Gossip(ctx, evidence)
		}
	}
}

func (t *Tracker) takeGossip() []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	evidence := make([]Evidence, 0, len(t.gossip))
	for part := range t.gossip {
		if s := t.suspects[part]; s != nil {
			evidence = append(evidence, s.evidence.clone())
		}
	}
	clear(t.gossip)
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
	for key := range t.pending {
		t.keepPending(key, func(a *Attempt) bool { return now.Sub(a.brokenAt) < unconfirmedPeriod })
	}
	for part, s := range t.suspects {
		if now.Sub(s.changedAt) < s.retention() || now.Before(s.releaseAt) || s.trial != nil {
			continue
		}
		delete(t.suspects, part)
		if s.logged {
			t.writeLater(part, randomRelayDelay())
		}
		if s.isQuarantined() {
			t.listQuarantined()
		}
	}
}

// retention returns for how long the state of a part is kept after its last change.
func (s *suspect) retention() time.Duration {
	switch {
	case s.isQuarantined():
		return 2 * longQuarantine // nobody has asked for it since it could be tried again
	case s.evidence.Epoch > 0:
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

// Apply implements watch.Sink.
func (t *Tracker) Apply(entries []logservice.KeyedEntry) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		switch {
		case e.Key == "":
		case e.Value == nil:
			delete(t.unwritten, e.Key)
			if s := t.suspects[e.Key]; s != nil {
				t.entryRemoved(e.Key, s)
			}
		default:
			t.applyEntry(e, now)
		}
	}
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
func (t *Tracker) applyEntry(e logservice.KeyedEntry, now time.Time) {
	evidence, err := decodeEvidence(e.Key, e.Value)
	if err != nil {
		t.events.Inc("malformed")
		t.log.Warn().Err(err).Int64("offset", int64(e.Offset)).Msg("entry of a prompt part cannot be used")
		return
	}
	s, _ := t.merge(evidence, now)
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
