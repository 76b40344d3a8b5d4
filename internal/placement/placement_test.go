package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// world is a picker on a clock of its own.
type world struct {
	*Picker
	now     time.Time
	servers []*Server
}

var maps = Requirements{Model: "maps"}

func newWorld(servers int, config Config) *world {
	w := &world{now: time.Unix(1000, 0)}
	config.Now = func() time.Time { return w.now }
	config.Seed = 7
	w.Picker = New(config)
	for i := range servers {
		w.servers = append(w.servers, &Server{ID: ident.ServerID(fmt.Sprint("s", i)), Gate: ident.Incarnation(i + 1), Models: []ident.ModelID{"maps"}, Slots: 8})
	}
	w.Update(w.servers)
	return w
}

func (w *world) pick(t *testing.T, q Query) *Run {
	t.Helper()
	if q.Requirements == (Requirements{}) {
		q.Requirements = maps
	}
	r, ok := w.Pick(&q)
	require.True(t, ok)
	return r
}

// spread counts where n runs go, each ended at once.
func (w *world) spread(t *testing.T, n int, q Query) map[ident.Incarnation]int {
	counts := map[ident.Incarnation]int{}
	for range n {
		r := w.pick(t, q)
		counts[r.Server.Gate]++
		r.Done()
	}
	return counts
}

func TestCandidates(t *testing.T) {
	servers := []*Server{
		{ID: "a", Gate: 1, Models: []ident.ModelID{"maps"}},
		{ID: "b", Gate: 2, Models: []ident.ModelID{"maps"}, Adapters: []ident.AdapterID{"waco"}},
		{ID: "c", Gate: 3, Models: []ident.ModelID{"maps"}, Leaving: true},
		{ID: "d", Gate: 4, Models: []ident.ModelID{"maps"}, Role: RoleDecode},
		{ID: "e", Gate: 5, Services: []ident.ServiceID{"desk"}},
	}
	cases := map[string]struct {
		query Query
		want  []ident.Incarnation
	}{
		"model":      {Query{Requirements: maps}, []ident.Incarnation{1, 2}},
		"adapter":    {Query{Requirements: Requirements{Model: "maps", Adapter: "waco"}}, []ident.Incarnation{2}},
		"service":    {Query{Requirements: Requirements{Service: "desk"}}, []ident.Incarnation{5}},
		"not tried":  {Query{Requirements: maps, Exclude: []ident.Incarnation{2}}, []ident.Incarnation{1}},
		"only homes": {Query{Requirements: maps, Allowed: []ident.Incarnation{2, 3}}, []ident.Incarnation{2}},
		"no model":   {Query{Requirements: Requirements{Model: "none"}}, nil},
		"all tried":  {Query{Requirements: maps, Exclude: []ident.Incarnation{1, 2}}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(0, Config{})
			w.Update(servers)
			got := map[ident.Incarnation]bool{}
			for range 50 {
				if r, ok := w.Pick(&c.query); ok {
					got[r.Server.Gate] = true
					r.Done()
				}
			}
			require.Len(t, got, len(c.want))
			for _, gate := range c.want {
				require.True(t, got[gate])
			}
		})
	}
}

func TestLeavingServerGetsNothingNew(t *testing.T) {
	w := newWorld(2, Config{})
	require.Len(t, w.spread(t, 50, Query{}), 2)
	w.ApplyReport(1, &Report{Leaving: true, Slots: 8})
	require.Equal(t, map[ident.Incarnation]int{2: 50}, w.spread(t, 50, Query{}))
	w.ApplyReport(1, &Report{Slots: 8, Models: []ident.ModelID{"other"}})
	require.Equal(t, map[ident.Incarnation]int{2: 50}, w.spread(t, 50, Query{}), "the model is not loaded there now")
	w.ApplyReport(1, &Report{Slots: 8, Models: []ident.ModelID{"maps"}})
	require.Len(t, w.spread(t, 50, Query{}), 2)
	leaving := *w.servers[0]
	leaving.Leaving = true
	w.Update([]*Server{&leaving, w.servers[1]})
	w.ApplyReport(1, &Report{Slots: 8})
	require.Equal(t, map[ident.Incarnation]int{2: 50}, w.spread(t, 50, Query{}), "a report does not undo the membership")
}

func TestPrefixIsFollowedUntilItsServerIsFull(t *testing.T) {
	w := newWorld(6, Config{})
	blocks := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	first := w.pick(t, Query{Blocks: blocks})
	home := first.Server.Gate
	first.Done()
	longer := append(blocks[:10:10], 11, 12)
	require.Equal(t, map[ident.Incarnation]int{home: 20}, w.spread(t, 20, Query{Blocks: longer}))
	// Also where waiting is wrongly thought to cost nothing.
	w.group(maps).costs.run = 0
	counts := map[ident.Incarnation]int{}
	for range 40 { // none ends: 40 of 48 slots
		counts[w.pick(t, Query{Blocks: longer}).Server.Gate]++
	}
	for gate, n := range counts {
		require.LessOrEqual(t, n, 10, "server %d", gate)
	}
}

func TestShortPrefixIsNotWaitedFor(t *testing.T) {
	w := newWorld(2, Config{})
	r := w.pick(t, Query{Blocks: []uint64{1}})
	holder := r.Server.Gate
	r.Done()
	w.ApplyReport(holder, &Report{Running: 8, Slots: 8})
	w.ApplyReport(3-holder, &Report{Running: 6, Slots: 8})
	require.Equal(t, map[ident.Incarnation]int{3 - holder: 20}, w.spread(t, 20, Query{Blocks: []uint64{1}}))
}

func TestReportIsCorrectedByOwnRuns(t *testing.T) {
	w := newWorld(1, Config{ReportLag: 500 * time.Millisecond})
	n := w.node(1)
	load := func() float64 {
		v, ok := n.look(&Query{Requirements: maps}, w.now)
		require.True(t, ok)
		return v.load
	}
	runs := make([]*Run, 3)
	for i := range runs {
		runs[i] = w.pick(t, Query{})
	}
	w.now = w.now.Add(time.Second)
	w.ApplyReport(1, &Report{Running: 5, Slots: 8})
	require.EqualValues(t, 5, load(), "3 of the 5 are own")
	w.pick(t, Query{})
	require.EqualValues(t, 6, load())
	w.ApplyReport(1, &Report{Running: 5, Slots: 8})
	require.EqualValues(t, 6, load(), "the report is older than the last run")
	for _, r := range runs {
		r.Done()
	}
	require.EqualValues(t, 3, load())
	w.now = w.now.Add(time.Minute)
	w.ApplyReport(1, &Report{Running: 2, Queued: 1, Slots: 8})
	require.EqualValues(t, 3, load(), "one of the 3 is own")
}

func TestCacheIsCorrectedByLateEvents(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	const lag = 2 * time.Second
	c := newCache(100)
	// tell gives the next reply: a new epoch is whole, the own one goes on.
	tell := func(epoch uint64, stored, removed []uint64, now time.Time) {
		changes := wire.CacheChanges{Mark: c.mark, Whole: epoch != c.mark.Epoch}
		changes.Mark.Epoch = epoch
		changes.Mark.Seq++
		for _, block := range stored {
			changes.Stored = changes.Stored.Append(wire.ShortenHash(block))
		}
		for _, block := range removed {
			changes.Removed = changes.Removed.Append(wire.ShortenHash(block))
		}
		c.correct(c.mark, &changes, now, lag)
	}
	blocks := []uint64{1, 2, 3, 4}
	c.placed(blocks, at(0))
	tell(1, nil, nil, at(1))
	require.Equal(t, 4, c.depth(blocks), "the view is late")
	tell(1, blocks, nil, at(5))
	tell(1, nil, blocks[2:], at(10))
	require.Equal(t, 2, c.depth(blocks), "the engine has removed the rest")
	tell(1, []uint64{3}, nil, at(11))
	require.Equal(t, 3, c.depth(blocks), "another router's prompt")
	c.placed(blocks, at(20))
	tell(1, nil, []uint64{2, 3}, at(21))
	require.Equal(t, 4, c.depth(blocks), "placed since")
	tell(1, blocks[1:], nil, at(22))
	tell(1, []uint64{8}, nil, at(23))
	require.Equal(t, 1, c.depth([]uint64{8}))
	tell(2, []uint64{9}, nil, at(30))
	require.Equal(t, 4, c.depth(blocks), "a gap proves nothing")
	require.Equal(t, 1, c.depth([]uint64{8}), "nor of what was only told")
	require.Equal(t, 1, c.depth([]uint64{9}))
	tell(2, nil, []uint64{9}, at(31))
	require.Zero(t, c.depth([]uint64{9}))
	whole := wire.CacheChanges{Mark: c.mark, Whole: true}
	whole.Mark.Seq++
	c.correct(c.mark, &whole, at(32), lag)
	require.Zero(t, c.depth([]uint64{8}), "removals were missed within the epoch")
	require.Equal(t, 4, c.depth(blocks), "placed here")

	small := newCache(3)
	small.placed(blocks, at(0))
	require.Equal(t, 3, small.depth(blocks), "the tail is forgotten first")
}

func TestSlowServerIsAvoidedAndTriedAgain(t *testing.T) {
	w := newWorld(4, Config{})
	serve := func(n int) (slow int) {
		for range n {
			r := w.pick(t, Query{})
			took := 10 * time.Millisecond
			if r.Server.Gate == 1 {
				took *= 20
				slow++
			}
			w.now = w.now.Add(took)
			r.FirstToken()
			r.Done()
		}
		return slow
	}
	serve(60)
	require.LessOrEqual(t, serve(200), 4)
	w.now = w.now.Add(time.Hour)
	require.Positive(t, serve(20), "it may be well again")
}

func TestFailedServerIsAvoidedForAWhile(t *testing.T) {
	w := newWorld(2, Config{})
	w.MarkFailed(1)
	require.Equal(t, map[ident.Incarnation]int{2: 50}, w.spread(t, 50, Query{}))
	require.Equal(t, map[ident.Incarnation]int{1: 5}, w.spread(t, 5, Query{Exclude: []ident.Incarnation{2}}), "unless there is no other")
	w.now = w.now.Add(suspectAfter)
	require.Len(t, w.spread(t, 50, Query{}), 2)
}

func TestSubsetsAndHomes(t *testing.T) {
	w := newWorld(930, Config{})
	shares := map[ident.ServerID]int{}
	const routers = 360
	for router := range routers {
		subset := Subset(ident.Incarnation(router), w.servers, defaultSubset)
		require.Len(t, subset, defaultSubset)
		for _, s := range subset {
			shares[s.ID]++
		}
	}
	mean := routers * defaultSubset / 930
	for _, s := range w.servers {
		require.InDelta(t, mean, shares[s.ID], float64(2*mean), "%s", s.ID)
		require.Positive(t, shares[s.ID])
	}
	// A server that leaves changes the homes only of its own keys.
	moved := 0
	for i := range 1000 {
		key := ident.HashKey("a", fmt.Sprint(i))
		before, after := Owners(key, w.servers), Owners(key, w.servers[1:])
		require.Len(t, before, OwnerCount)
		if before[0] != after[0] || before[1] != after[1] {
			moved++
			require.Contains(t, before, w.servers[0])
			require.True(t, before[0] == after[0] || before[1] == after[0], "one home stays")
		}
	}
	require.Less(t, moved, 10)
	require.LessOrEqual(t, len(w.PolledServers()), defaultSubset)
	w.pick(t, Query{})
	require.Len(t, w.PolledServers(), defaultSubset)
}
