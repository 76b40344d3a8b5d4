package prepaid

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// WitnessArgs tells a router of entries that were written.
type WitnessArgs struct {
	Shard   int
	Entries Copy
}

// WitnessReply has the era of the log that the router has seen.
type WitnessReply struct {
	Era logservice.Era
}

// maxAnnounceDelay is how long a draw may be unknown to the other owners after its tokens
// were used: announcements that got no answer are repeated each round.
const maxAnnounceDelay = 2 * time.Second

// Witness records entries that another router has written, and returns the era of the log
// that this router has seen.
func (bs *LocalBalances) Witness(args WitnessArgs) (WitnessReply, error) {
	s := bs.shardAt(args.Shard)
	if s == nil {
		return WitnessReply{}, nil
	}
	return WitnessReply{Era: s.ledger.seenEra()}, s.ledger.Observe(args.Entries)
}

// announceDraws tells the other owners of the accounts of which this router has drawn
// tokens, so that the draws can be written again if the log loses them and this router
// ends. It returns false if another owner has seen a later era of the log: the draws may
// be lost already.
func (bs *LocalBalances) announceDraws(ctx context.Context, s *shard, index int, accounts []string) bool {
	for _, account := range accounts {
		s.unannounced[account] = struct{}{}
	}
	if bs.peers == nil || len(s.unannounced) == 0 {
		return true
	}
	entries, err := s.ledger.CopyOf(slices.Collect(maps.Keys(s.unannounced)))
	if err != nil {
		bs.log.Warn().Err(err).Msg("written budget entries cannot be sent to another router")
		return true
	}
	owners, _ := s.ownersIn(bs.fleet())
	reply, answered := bs.peers.Witness(ctx, owners, WitnessArgs{Shard: index, Entries: entries})
	if !answered {
		bs.events.Inc("unwitnessed")
		return true
	}
	clear(s.unannounced)
	return reply.Era <= s.ledger.Era()
}

// maxGrantDelay is how long after an append its tokens may be used without another look
// at the log. A process that is paused in between may have missed a restore.
const maxGrantDelay = time.Second

// mayUse reports whether the tokens of an append that began at a time may be used: not if
// the log was restored since.
func (bs *LocalBalances) mayUse(ctx context.Context, s *shard, begun time.Time, announced bool) bool {
	if !announced {
		return false
	}
	now := time.Now()
	if max(now.Sub(begun), now.Round(0).Sub(begun.Round(0))) <= maxGrantDelay {
		return true
	}
	era := s.ledger.Era()
	return s.ledger.Update(ctx) == nil && s.ledger.Era() == era
}

// forfeit states that tokens which were granted to this router are not used, since the log
// has been restored before they were.
func (l *Ledger) forfeit(changes []Change, results []Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, r := range results {
		account := changes[i].Account
		own, found := l.own[account]
		if r.Granted == 0 || !found {
			continue
		}
		own.Net -= r.Granted
		own.Seq++
		l.own[account] = own
		l.entries[account] = l.entries[account].withPart(own.writer, own.part)
		l.unwritten[account] = struct{}{}
	}
	l.events.Inc("forfeited")
}
