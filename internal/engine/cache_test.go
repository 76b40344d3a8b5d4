package engine

import (
	"bytes"
	"encoding/gob"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

func storedEvent(seq, block uint64) CacheEvent {
	return CacheEvent{Seq: seq, Kind: eventStored, Block: block}
}

func removedEvent(seq, block uint64) CacheEvent {
	return CacheEvent{Seq: seq, Kind: "removed", Block: block}
}

// follower keeps the view of a reader that applies each reply as it comes.
type follower struct {
	mark   wire.CacheMark
	blocks map[wire.ShortHash]bool
}

func (r *follower) apply(c *wire.CacheChanges) {
	r.mark = c.Mark
	if c.Whole {
		r.blocks = map[wire.ShortHash]bool{}
	}
	for block := range c.Removed.All {
		delete(r.blocks, block)
	}
	for block := range c.Stored.All {
		r.blocks[block] = true
	}
}

// readAll reads until a reply has no changes and returns the number of replies.
func (r *follower) readAll(t *testing.T, c *CacheView) (replies int) {
	for {
		changes := c.ChangesSince(r.mark)
		count := changes.Stored.Len() + changes.Removed.Len()
		require.LessOrEqual(t, count, wire.MaxCacheChanges)
		r.apply(&changes)
		if replies++; count == 0 {
			return replies
		}
	}
}

func viewBlocks(t *testing.T, c *CacheView) []uint64 {
	var r follower
	r.readAll(t, c)
	blocks := []uint64{}
	for block := range r.blocks {
		blocks = append(blocks, uint64(block))
	}
	return blocks
}

func TestCacheViewIsResetAfterGap(t *testing.T) {
	c := NewCacheView()
	steps := []struct {
		page   CachePage
		lost   bool
		epoch  uint64
		blocks []uint64
	}{
		{CachePage{Epoch: 1, First: 1, Events: []CacheEvent{storedEvent(1, 10), storedEvent(2, 20)}}, false, 1, []uint64{10, 20}},
		{CachePage{Epoch: 1, First: 1, Events: []CacheEvent{storedEvent(2, 20), removedEvent(3, 10)}}, false, 1, []uint64{20}},
		{CachePage{Epoch: 1, First: 1, Events: []CacheEvent{storedEvent(5, 50)}}, true, 2, []uint64{50}},
		{CachePage{Epoch: 1, First: 9, Events: []CacheEvent{storedEvent(9, 90)}}, true, 3, []uint64{90}},
		{CachePage{Epoch: 1, First: 12}, true, 4, []uint64{}},
		{CachePage{Epoch: 2, First: 1}, true, 5, []uint64{}},
		{CachePage{Epoch: 2, First: 1, Events: []CacheEvent{storedEvent(1, 11)}}, false, 5, []uint64{11}},
	}
	f := follower{}
	for i, s := range steps {
		require.Equal(t, s.lost, c.Apply(s.page), "step %d", i)
		changes := c.ChangesSince(f.mark)
		require.Equal(t, s.lost || i == 0, changes.Whole, "step %d", i)
		require.Equal(t, s.epoch, changes.Mark.Epoch, "step %d", i)
		require.ElementsMatch(t, s.blocks, viewBlocks(t, c), "step %d", i)
		f.apply(&changes)
		require.Len(t, f.blocks, len(s.blocks), "step %d", i)
	}
	for seq := uint64(2); seq < 3*maxCacheEntries; seq++ {
		c.Apply(CachePage{Epoch: 2, First: 1, Events: []CacheEvent{storedEvent(seq, seq)}})
	}
	require.Len(t, viewBlocks(t, c), maxCacheEntries)
}

func TestFullViewIsSplitIntoReplies(t *testing.T) {
	c := NewCacheView()
	seq := uint64(0)
	store := func(n int) {
		for range n {
			seq++
			c.Apply(CachePage{Events: []CacheEvent{storedEvent(seq, seq)}})
		}
	}
	store(2 * maxCacheEntries)
	f := follower{}
	first := c.ChangesSince(f.mark)
	f.apply(&first)
	require.True(t, first.Whole)
	require.Zero(t, first.Removed.Len(), "removals before the first reply must not be sent")
	store(200)
	require.Equal(t, (maxCacheEntries+2*200+wire.MaxCacheChanges-1)/wire.MaxCacheChanges, f.readAll(t, c))
	require.Len(t, f.blocks, maxCacheEntries)
	store(maxCacheRemovals)
	require.False(t, c.ChangesSince(f.mark).Whole, "all removals since the mark are remembered")
	store(1)
	require.True(t, c.ChangesSince(f.mark).Whole, "a removal since the mark is forgotten")
	f.readAll(t, c)
	require.Len(t, f.blocks, maxCacheEntries)
}

// Dropping the oldest remembered removals must not drop the entry of a block that
// was stored again since: the block could then never be removed.
func TestForgottenRemovalKeepsNewerStore(t *testing.T) {
	l := newCacheLog()
	l.store(1)
	l.remove(1)
	l.store(1)
	for block := uint64(2); block < maxCacheRemovals+4; block++ {
		l.store(block)
		l.remove(block)
	}
	l.remove(1)
	require.Zero(t, l.stored.Len())
}

// The encoded size of a load reply must stay below the limit, even if the follower
// falls behind and so gets replies with the maximum number of changes.
func TestLoadReplySizeIsBounded(t *testing.T) {
	const limit = 2500 // bytes
	c, follower := NewCacheView(), follower{}
	var connection bytes.Buffer
	encoder := gob.NewEncoder(&connection)
	require.NoError(t, encoder.Encode(&wire.LoadReply{})) // gob sends the type descriptions once per connection
	for seq := uint64(1); seq <= 3*maxCacheEntries; seq++ {
		c.Apply(CachePage{Events: []CacheEvent{storedEvent(seq, ^seq)}})
		if seq%1024 != 0 {
			continue
		}
		changes := c.ChangesSince(follower.mark)
		follower.apply(&changes)
		connection.Reset()
		require.NoError(t, encoder.Encode(&wire.LoadReply{Gate: 1 << 30, Server: "maps-waco-0001", Models: []ident.ModelID{"maps"}, Changes: changes}))
		require.Less(t, connection.Len(), limit)
	}
}

// A reader that loses half of the replies, of a view that is reset by changes of
// the engine's epoch, must still end with the engine's blocks.
func TestFollowerConvergesDespiteLostRepliesAndEvents(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 1))
		c, follower := NewCacheView(), follower{}
		expected := map[wire.ShortHash]bool{}
		page := CachePage{First: 1}
		for range 40 {
			page.Events = nil
			if r.IntN(10) == 0 {
				page.Epoch++
				expected = map[wire.ShortHash]bool{}
			}
			for range r.IntN(400) {
				block := r.Uint64N(1500)
				event := storedEvent(page.First+uint64(len(page.Events)), block)
				expected[wire.ShortenHash(block)] = true
				if r.IntN(3) == 0 {
					event.Kind = "removed"
					delete(expected, wire.ShortenHash(block))
				}
				page.Events = append(page.Events, event)
			}
			c.Apply(page)
			page.First += uint64(len(page.Events))
			if changes := c.ChangesSince(follower.mark); r.IntN(2) == 0 {
				follower.apply(&changes)
			}
		}
		follower.readAll(t, c)
		require.Equal(t, expected, follower.blocks, "seed %d", seed)
	}
}
