package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// fixture is a picker with a manual clock.
type fixture struct {
	*Picker
	now     time.Time
	servers []*Server
}

var mapsModel = Requirements{Model: "maps"}

func newFixture(servers int, config Config) *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	config.Now = func() time.Time { return f.now }
	config.Seed = 7
	f.Picker = New(config)
	for i := range servers {
		f.servers = append(f.servers, &Server{ID: ident.ServerID(fmt.Sprint("s", i)), Gate: ident.Incarnation(i + 1), Models: []ident.ModelID{"maps"}, Slots: 8})
	}
	f.Update(f.servers)
	return f
}

func (f *fixture) pick(t *testing.T, q Query) *Run {
	t.Helper()
	if q.Requirements == (Requirements{}) {
		q.Requirements = mapsModel
	}
	r, ok := f.Pick(&q)
	require.True(t, ok)
	return r
}

// countPicks places n runs, each ended at once, and counts them per server.
func (f *fixture) countPicks(t *testing.T, n int, q Query) map[ident.Incarnation]int {
	counts := map[ident.Incarnation]int{}
	for range n {
		r := f.pick(t, q)
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
		"model":       {Query{Requirements: mapsModel}, []ident.Incarnation{1, 2}},
		"adapter":     {Query{Requirements: Requirements{Model: "maps", Adapter: "waco"}}, []ident.Incarnation{2}},
		"service":     {Query{Requirements: Requirements{Service: "desk"}}, []ident.Incarnation{5}},
		"not tried":   {Query{Requirements: mapsModel, Exclude: []ident.Incarnation{2}}, []ident.Incarnation{1}},
		"only owners": {Query{Requirements: mapsModel, Allowed: []ident.Incarnation{2, 3}}, []ident.Incarnation{2}},
		"no model":    {Query{Requirements: Requirements{Model: "none"}}, nil},
		"all tried":   {Query{Requirements: mapsModel, Exclude: []ident.Incarnation{1, 2}}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(0, Config{})
			f.Update(servers)
			got := map[ident.Incarnation]bool{}
			for range 50 {
				if r, ok := f.Pick(&c.query); ok {
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

func TestLeavingServerGetsNoNewRuns(t *testing.T) {
	f := newFixture(2, Config{})
	require.Len(t, f.countPicks(t, 50, Query{}), 2)
	f.ApplyReport(1, &Report{Leaving: true, Slots: 8})
	require.Equal(t, map[ident.Incarnation]int{2: 50}, f.countPicks(t, 50, Query{}))
	f.ApplyReport(1, &Report{Slots: 8, Models: []ident.ModelID{"other"}})
	require.Equal(t, map[ident.Incarnation]int{2: 50}, f.countPicks(t, 50, Query{}), "the model is not loaded on server 1")
	f.ApplyReport(1, &Report{Slots: 8, Models: []ident.ModelID{"maps"}})
	require.Len(t, f.countPicks(t, 50, Query{}), 2)
	leaving := *f.servers[0]
	leaving.Leaving = true
	f.Update([]*Server{&leaving, f.servers[1]})
	f.ApplyReport(1, &Report{Slots: 8})
	require.Equal(t, map[ident.Incarnation]int{2: 50}, f.countPicks(t, 50, Query{}), "a report does not override Leaving of the member list")
}

func TestCachedPrefixIsPreferredUpToLoadBound(t *testing.T) {
	f := newFixture(6, Config{})
	blocks := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	first := f.pick(t, Query{Blocks: blocks})
	holder := first.Server.Gate
	first.Done()
	longer := append(blocks[:10:10], 11, 12)
	require.Equal(t, map[ident.Incarnation]int{holder: 20}, f.countPicks(t, 20, Query{Blocks: longer}))
	// The load bound must hold even if the estimated cost of waiting is zero.
	f.group(mapsModel).costs.run = 0
	counts := map[ident.Incarnation]int{}
	for range 40 { // no run ends: 40 of 48 slots are used
		counts[f.pick(t, Query{Blocks: longer}).Server.Gate]++
	}
	for gate, n := range counts {
		require.LessOrEqual(t, n, 10, "server %d", gate)
	}
}

func TestShortPrefixDoesNotJustifyWaiting(t *testing.T) {
	f := newFixture(2, Config{})
	r := f.pick(t, Query{Blocks: []uint64{1}})
	holder := r.Server.Gate
	r.Done()
	f.ApplyReport(holder, &Report{Running: 8, Slots: 8})
	f.ApplyReport(3-holder, &Report{Running: 6, Slots: 8})
	require.Equal(t, map[ident.Incarnation]int{3 - holder: 20}, f.countPicks(t, 20, Query{Blocks: []uint64{1}}))
}

func TestReportedLoadExcludesOwnRuns(t *testing.T) {
	f := newFixture(1, Config{ReportLag: 500 * time.Millisecond})
	n := f.node(1)
	load := func() float64 {
		v, ok := n.candidate(&Query{Requirements: mapsModel}, f.now)
		require.True(t, ok)
		return v.load
	}
	runs := make([]*Run, 3)
	for i := range runs {
		runs[i] = f.pick(t, Query{})
	}
	f.now = f.now.Add(time.Second)
	f.ApplyReport(1, &Report{Running: 5, Slots: 8})
	require.EqualValues(t, 5, load(), "3 of the 5 are this router's runs")
	f.pick(t, Query{})
	require.EqualValues(t, 6, load())
	f.ApplyReport(1, &Report{Running: 5, Slots: 8})
	require.EqualValues(t, 6, load(), "the report predates the last run")
	for _, r := range runs {
		r.Done()
	}
	require.EqualValues(t, 3, load())
	f.now = f.now.Add(time.Minute)
	f.ApplyReport(1, &Report{Running: 2, Queued: 1, Slots: 8})
	require.EqualValues(t, 3, load(), "one of the 3 is this router's run")
}

func TestCacheAppliesLateEvents(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	const lag = 2 * time.Second
	c := newCache(100)
	// apply applies the next reply: complete for a new epoch, incremental for the
	// present one.
	apply := func(epoch uint64, stored, removed []uint64, now time.Time) {
		changes := wire.CacheChanges{Mark: c.mark, Whole: epoch != c.mark.Epoch}
		changes.Mark.Epoch = epoch
		changes.Mark.Seq++
		for _, block := range stored {
			changes.Stored = changes.Stored.Append(wire.ShortenHash(block))
		}
		for _, block := range removed {
			changes.Removed = changes.Removed.Append(wire.ShortenHash(block))
		}
		c.applyChanges(c.mark, &changes, now, lag)
	}
	blocks := []uint64{1, 2, 3, 4}
	c.recordPlacement(blocks, at(0))
	apply(1, nil, nil, at(1))
	require.Equal(t, 4, c.cachedPrefix(blocks), "the reply may predate the placement")
	apply(1, blocks, nil, at(5))
	apply(1, nil, blocks[2:], at(10))
	require.Equal(t, 2, c.cachedPrefix(blocks), "the engine has removed the last two blocks")
	apply(1, []uint64{3}, nil, at(11))
	require.Equal(t, 3, c.cachedPrefix(blocks), "a prompt of another router")
	c.recordPlacement(blocks, at(20))
	apply(1, nil, []uint64{2, 3}, at(21))
	require.Equal(t, 4, c.cachedPrefix(blocks), "the blocks were sent again within the lag")
	apply(1, blocks[1:], nil, at(22))
	apply(1, []uint64{8}, nil, at(23))
	require.Equal(t, 1, c.cachedPrefix([]uint64{8}))
	apply(2, []uint64{9}, nil, at(30))
	require.Equal(t, 4, c.cachedPrefix(blocks), "a new epoch drops no block")
	require.Equal(t, 1, c.cachedPrefix([]uint64{8}), "nor one that was only reported")
	require.Equal(t, 1, c.cachedPrefix([]uint64{9}))
	apply(2, nil, []uint64{9}, at(31))
	require.Zero(t, c.cachedPrefix([]uint64{9}))
	whole := wire.CacheChanges{Mark: c.mark, Whole: true}
	whole.Mark.Seq++
	c.applyChanges(c.mark, &whole, at(32), lag)
	require.Zero(t, c.cachedPrefix([]uint64{8}), "removals may have been missed within the epoch")
	require.Equal(t, 4, c.cachedPrefix(blocks), "blocks that this router sent stay")

	small := newCache(3)
	small.recordPlacement(blocks, at(0))
	require.Equal(t, 3, small.cachedPrefix(blocks), "the tail is evicted first")
}

func TestSlowServerIsAvoidedUntilSamplesExpire(t *testing.T) {
	f := newFixture(4, Config{})
	serve := func(n int) (slow int) {
		for range n {
			r := f.pick(t, Query{})
			latency := 10 * time.Millisecond
			if r.Server.Gate == 1 {
				latency *= 20
				slow++
			}
			f.now = f.now.Add(latency)
			r.FirstToken()
			r.Done()
		}
		return slow
	}
	serve(60)
	require.LessOrEqual(t, serve(200), 4)
	f.now = f.now.Add(time.Hour)
	require.Positive(t, serve(20), "it is tried again")
}

func TestFailedServerIsAvoidedForAvoidPeriod(t *testing.T) {
	f := newFixture(2, Config{})
	f.MarkFailed(1)
	require.Equal(t, map[ident.Incarnation]int{2: 50}, f.countPicks(t, 50, Query{}))
	require.Equal(t, map[ident.Incarnation]int{1: 5}, f.countPicks(t, 5, Query{Exclude: []ident.Incarnation{2}}), "it is used if there is no other")
	f.now = f.now.Add(avoidPeriod)
	require.Len(t, f.countPicks(t, 50, Query{}), 2)
}

func TestSubsetsAndOwners(t *testing.T) {
	f := newFixture(930, Config{})
	shares := map[ident.ServerID]int{}
	const routers = 360
	for router := range routers {
		subset := Subset(ident.Incarnation(router), f.servers, defaultSubset)
		require.Len(t, subset, defaultSubset)
		for _, s := range subset {
			shares[s.ID]++
		}
	}
	mean := routers * defaultSubset / 930
	for _, s := range f.servers {
		require.InDelta(t, mean, shares[s.ID], float64(2*mean), "%s", s.ID)
		require.Positive(t, shares[s.ID])
	}
	// A removed server changes only the owners of the keys that it owned.
	moved := 0
	for i := range 1000 {
		key := ident.HashKey("a", fmt.Sprint(i))
		before, after := Owners(key, f.servers), Owners(key, f.servers[1:])
		require.Len(t, before, OwnerCount)
		if before[0] != after[0] || before[1] != after[1] {
			moved++
			require.Contains(t, before, f.servers[0])
			require.True(t, before[0] == after[0] || before[1] == after[0], "one owner stays")
		}
	}
	require.Less(t, moved, 10)
	require.LessOrEqual(t, len(f.PolledServers()), defaultSubset)
	f.pick(t, Query{})
	require.Len(t, f.PolledServers(), defaultSubset)
}
