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

func stored(seq, block uint64) CacheEvent {
	return CacheEvent{Seq: seq, Kind: cacheStored, Block: block}
}

func removed(seq, block uint64) CacheEvent {
	return CacheEvent{Seq: seq, Kind: "removed", Block: block}
}

// reader takes changes in without a second thought.
type reader struct {
	mark   wire.CacheMark
	blocks map[wire.ShortHash]bool
}

func (r *reader) take(c *wire.CacheChanges) {
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

// read polls until nothing is new and returns how many replies that took.
func (r *reader) read(t *testing.T, c *CacheView) (replies int) {
	for {
		changes := c.ChangesSince(r.mark)
		count := changes.Stored.Len() + changes.Removed.Len()
		require.LessOrEqual(t, count, wire.MaxCacheChanges)
		r.take(&changes)
		if replies++; count == 0 {
			return replies
		}
	}
}

func view(t *testing.T, c *CacheView) []uint64 {
	var r reader
	r.read(t, c)
	blocks := []uint64{}
	for block := range r.blocks {
		blocks = append(blocks, uint64(block))
	}
	return blocks
}

func TestCacheViewIsVoidAfterAGap(t *testing.T) {
	c := NewCacheView()
	steps := []struct {
		page   CachePage
		lost   bool
		epoch  uint64
		blocks []uint64
	}{
		{CachePage{Epoch: 1, First: 1, Events: []CacheEvent{stored(1, 10), stored(2, 20)}}, false, 1, []uint64{10, 20}},
		{CachePage{Epoch: 1, First: 1, Events: []CacheEvent{stored(2, 20), removed(3, 10)}}, false, 1, []uint64{20}},
		{CachePage{Epoch: 1, First: 1, Events: []CacheEvent{stored(5, 50)}}, true, 2, []uint64{50}},
		{CachePage{Epoch: 1, First: 9, Events: []CacheEvent{stored(9, 90)}}, true, 3, []uint64{90}},
		{CachePage{Epoch: 1, First: 12}, true, 4, []uint64{}},
		{CachePage{Epoch: 2, First: 1}, true, 5, []uint64{}},
		{CachePage{Epoch: 2, First: 1, Events: []CacheEvent{stored(1, 11)}}, false, 5, []uint64{11}},
	}
	following := reader{}
	for i, s := range steps {
		require.Equal(t, s.lost, c.Apply(s.page), "step %d", i)
		changes := c.ChangesSince(following.mark)
		require.Equal(t, s.lost || i == 0, changes.Whole, "step %d", i)
		require.Equal(t, s.epoch, changes.Mark.Epoch, "step %d", i)
		require.ElementsMatch(t, s.blocks, view(t, c), "step %d", i)
		following.take(&changes)
		require.Len(t, following.blocks, len(s.blocks), "step %d", i)
	}
	for seq := uint64(2); seq < 3*maxCacheEntries; seq++ {
		c.Apply(CachePage{Epoch: 2, First: 1, Events: []CacheEvent{stored(seq, seq)}})
	}
	require.Len(t, view(t, c), maxCacheEntries)
}

func TestWholeViewComesInPieces(t *testing.T) {
	c := NewCacheView()
	seq := uint64(0)
	store := func(n int) {
		for range n {
			seq++
			c.Apply(CachePage{Events: []CacheEvent{stored(seq, seq)}})
		}
	}
	store(2 * maxCacheEntries)
	late := reader{}
	first := c.ChangesSince(late.mark)
	late.take(&first)
	require.True(t, first.Whole)
	require.Zero(t, first.Removed.Len(), "what was removed before was never told")
	store(200)
	require.Equal(t, (maxCacheEntries+2*200+wire.MaxCacheChanges-1)/wire.MaxCacheChanges, late.read(t, c))
	require.Len(t, late.blocks, maxCacheEntries)
	store(maxCacheRemovals)
	require.False(t, c.ChangesSince(late.mark).Whole, "all removals since are known")
	store(1)
	require.True(t, c.ChangesSince(late.mark).Whole, "one is not")
	late.read(t, c)
	require.Len(t, late.blocks, maxCacheEntries)
}

func TestOldRemovalDoesNotHideANewStore(t *testing.T) {
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

// A reader that falls behind gets full pieces.
func TestLoadReplyIsSmall(t *testing.T) {
	const limit = 2500 // bytes
	c, follower := NewCacheView(), reader{}
	var connection bytes.Buffer
	encoder := gob.NewEncoder(&connection)
	require.NoError(t, encoder.Encode(&wire.LoadReply{})) // the types, sent once
	for seq := uint64(1); seq <= 3*maxCacheEntries; seq++ {
		c.Apply(CachePage{Events: []CacheEvent{stored(seq, ^seq)}})
		if seq%1024 != 0 {
			continue
		}
		changes := c.ChangesSince(follower.mark)
		follower.take(&changes)
		connection.Reset()
		require.NoError(t, encoder.Encode(&wire.LoadReply{Gate: 1 << 30, Server: "maps-waco-0001", Models: []ident.ModelID{"maps"}, Changes: changes}))
		require.Less(t, connection.Len(), limit)
	}
}

// The reader loses replies, and the view loses events; in the end they agree.
func TestReaderThatMissesRepliesAgreesInTheEnd(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 1))
		c, follower := NewCacheView(), reader{}
		held := map[wire.ShortHash]bool{}
		page := CachePage{First: 1}
		for range 40 {
			page.Events = nil
			if r.IntN(10) == 0 {
				page.Epoch++
				held = map[wire.ShortHash]bool{}
			}
			for range r.IntN(400) {
				block := r.Uint64N(1500)
				event := stored(page.First+uint64(len(page.Events)), block)
				held[wire.ShortenHash(block)] = true
				if r.IntN(3) == 0 {
					event.Kind = "removed"
					delete(held, wire.ShortenHash(block))
				}
				page.Events = append(page.Events, event)
			}
			c.Apply(page)
			page.First += uint64(len(page.Events))
			if changes := c.ChangesSince(follower.mark); r.IntN(2) == 0 {
				follower.take(&changes)
			}
		}
		follower.read(t, c)
		require.Equal(t, held, follower.blocks, "seed %d", seed)
	}
}
