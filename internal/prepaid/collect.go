package prepaid

import (
	"context"
	"slices"
	"time"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// Timing of the repair after the log was restored from an older copy.
const (
	// collectInterval is the pause between two rounds of asking the other routers.
	collectInterval = 100 * time.Millisecond
	// collectTimeout is how long they are asked. A router that has not answered by then
	// writes what it has drawn itself once it reaches the log.
	collectTimeout = 1500 * time.Millisecond
	// nonOwnerCollectDelay is how long a router that is not an owner leaves the repair to
	// the owners.
	nonOwnerCollectDelay = 3 * time.Second
)

// CopyArgs asks a router for its copy of the entries of a shard.
type CopyArgs struct {
	Shard int
	// Era is the era of the log that the caller has seen. Draws that the log acknowledges
	// in an earlier one count as lost.
	Era logservice.Era
}

// CopyReply is a router's copy of the entries of a shard.
type CopyReply struct {
	Entries Copy
	// Remembers is set if the router has had a copy since before the caller's era.
	Remembers bool
	// Owner is set if it is an owner of the shard and has not been paused, so that it has
	// got the announcements of the other owners, unless it was cut off.
	Owner bool
	// Gap is for how long the router could not read the log until it saw the caller's era,
	// or so far. It is zero if it has started in that era.
	Gap time.Duration
}

// collection is the state of asking the other routers for their copies.
type collection struct {
	era       logservice.Era
	answered  map[string]bool
	remember  map[string]bool // routers whose memory of earlier eras was merged
	gaps      []time.Duration // of all routers that have one
	ownerGaps []time.Duration // of the owners among those that remember
}

// maxGapDifference is how much longer than any other router an owner may have been unable
// to read the log to count as not cut off before the outage. Each router reads it about
// every second.
const maxGapDifference = 1500 * time.Millisecond

// isComplete reports whether the merged copies hold all draws that were announced: one of
// them is of an owner that was not cut off before the outage. One router alone cannot
// tell whether it was.
func (c *collection) isComplete() bool {
	return len(c.gaps) > 1 && len(c.ownerGaps) > 0 && slices.Min(c.ownerGaps)-slices.Min(c.gaps) <= maxGapDifference
}

// add records the reply of a router.
func (c *collection) add(name string, reply CopyReply) {
	c.answered[name] = true
	if reply.Gap > 0 {
		c.gaps = append(c.gaps, reply.Gap)
	}
	if !reply.Remembers {
		return
	}
	c.remember[name] = true
	if reply.Owner && reply.Gap > 0 {
		c.ownerGaps = append(c.ownerGaps, reply.Gap)
	}
}

// repair collects the draws that the log has lost and writes them again. It reports
// whether tokens of the shard may be drawn.
func (bs *LocalBalances) repair(ctx context.Context, s *shard, index int) bool {
	if !s.ledger.NeedsRepair() {
		return true
	}
	if _, isOwner := s.ownersIn(bs.fleet()); !isOwner && s.ledger.NeedsRepairFor() < nonOwnerCollectDelay {
		if err := s.ledger.Update(ctx); err != nil {
			bs.events.Inc("look_failed")
		}
		return !s.ledger.NeedsRepair()
	}
	missing := bs.collectCopies(ctx, s, index)
	// The list of routers may be incomplete while nobody is known who remembers anything.
	forgotten := s.ledger.lostHistory() && len(s.collection.remember) == 0
	if (len(missing) > 0 || forgotten) && s.ledger.NeedsRepairFor() < collectTimeout {
		return false
	}
	if len(missing) > 0 {
		bs.events.Inc("copies_missing")
		bs.log.Warn().Int("routers", len(missing)).Strs("names", missing[:min(len(missing), maxNamesLogged)]).
			Msg("routers did not send their copy of the ledger; they write what they have drawn themselves")
	}
	var lost *unremembered
	if s.ledger.lostHistory() {
		owners, _ := s.ownersIn(bs.fleet())
		lost = &unremembered{isRemembered: func(node string) bool { return s.collection.remember[node] }, owners: owners, span: maxCopyAge}
		if s.collection.isComplete() {
			lost.span = maxAnnounceDelay
		}
	}
	if err := s.ledger.Repair(ctx, s.collection.era, lost); err != nil {
		bs.events.Inc("repair_failed")
		bs.log.Warn().Err(err).Msg("draws lost by the log could not be written again")
		return false
	}
	return true
}

// maxNamesLogged bounds how many routers a log line names.
const maxNamesLogged = 8

// collectCopies asks the routers that have not answered yet for their copies, and
// returns the names of those that still have not.
func (bs *LocalBalances) collectCopies(ctx context.Context, s *shard, index int) []string {
	c := &s.collection
	if era := s.ledger.Era(); c.era != era || c.answered == nil {
		*c = collection{era: era, answered: map[string]bool{}, remember: map[string]bool{}}
		c.add(bs.fleet().Self, bs.describeCopy(s, era))
	}
	if bs.peers == nil {
		return nil
	}
	fleet := bs.fleet()
	missing := slices.DeleteFunc(slices.Clone(fleet.Routers), func(name string) bool {
		return name == fleet.Self || c.answered[name]
	})
	if len(missing) == 0 {
		return nil
	}
	bs.peers.Copies(ctx, missing, CopyArgs{Shard: index, Era: c.era}, func(name string, reply CopyReply) {
		if err := s.ledger.MergeCopy(reply.Entries); err != nil {
			bs.log.Warn().Err(err).Str("router", name).Msg("copy of the ledger of another router cannot be used")
			return
		}
		c.add(name, reply)
	})
	return slices.DeleteFunc(missing, func(name string) bool { return c.answered[name] })
}

// describeCopy returns what this router knows of the time before an era, without entries.
func (bs *LocalBalances) describeCopy(s *shard, era logservice.Era) CopyReply {
	_, isOwner := s.ownersIn(bs.fleet())
	reply := CopyReply{Remembers: s.ledger.remembers(era), Owner: isOwner && !bs.pauses.pausedRecently()}
	if bs.logGap != nil {
		reply.Gap = bs.logGap(era)
	}
	return reply
}

// LedgerCopy returns this router's copy of the entries of a shard to another router.
func (bs *LocalBalances) LedgerCopy(args CopyArgs) (CopyReply, error) {
	s := bs.shardAt(args.Shard)
	if s == nil {
		return CopyReply{}, nil
	}
	bs.checkLog(s)
	reply := bs.describeCopy(s, args.Era)
	var err error
	reply.Entries, err = s.ledger.Copy(args.Era)
	return reply, err
}

// ObserveLogGap sets a function that returns for how long the log could not be read until
// an era was first seen. It must be called before Run.
func (bs *LocalBalances) ObserveLogGap(gap func(era logservice.Era) time.Duration) { bs.logGap = gap }

// LogRestored has the ledger read again, after a stream of the log was seen to be
// restored from an older copy.
func (bs *LocalBalances) LogRestored() {
	if shards := bs.shards.Load(); shards != nil {
		for _, s := range *shards {
			bs.checkLog(s)
		}
	}
}

// checkLog has the ledger of a shard read again soon if it holds any entries.
func (bs *LocalBalances) checkLog(s *shard) {
	if s.ledger.isKnown() {
		s.needsRefresh.Store(true)
		s.triggerRebalance()
	}
}

// shardAt returns one of the shards; nil until the layout was loaded.
func (bs *LocalBalances) shardAt(index int) *shard {
	shards := bs.shards.Load()
	if shards == nil || index < 0 || index >= len(*shards) {
		return nil
	}
	return (*shards)[index]
}
