package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func entryOf(sequence int64) Server {
	return Server{ID: "s1", Service: "readers", Address: "10.0.0.1:80", Slots: 4, StartedMS: 100, Sequence: sequence}
}

func newTable() *testTable { return &testTable{New(zerolog.Nop())} }

// testTable takes in entries one by one.
type testTable struct{ *Table }

func (t *testTable) Put(s Server)               { t.Apply(Update{ID: s.ID, Server: &s}) }
func (t *testTable) Drop(id string)             { t.Apply(Update{ID: id}) }
func (t *testTable) Spoil(id string, err error) { t.Apply(Update{ID: id, Err: err}) }

func with(s Server, change func(*Server)) Server {
	change(&s)
	return s
}

func TestEntriesInTheirOrder(t *testing.T) {
	draining := func(s *Server) { s.Draining = true }
	cases := []struct {
		name   string
		play   func(*testTable)
		usable bool
	}{
		{"ready", func(t *testTable) { t.Put(entryOf(1)) }, true},
		{"draining", func(t *testTable) { t.Put(entryOf(1)); t.Put(with(entryOf(2), draining)) }, false},
		{"removed", func(t *testTable) { t.Put(entryOf(1)); t.Drop("s1") }, false},
		{"older entry after draining", func(t *testTable) { t.Put(with(entryOf(5), draining)); t.Put(entryOf(4)) }, false},
		{"same entry after its removal", func(t *testTable) { t.Put(entryOf(5)); t.Drop("s1"); t.Put(entryOf(5)) }, false},
		{"older entry after its removal", func(t *testTable) { t.Put(entryOf(5)); t.Drop("s1"); t.Put(entryOf(4)) }, false},
		{"newer entry after its removal", func(t *testTable) { t.Put(entryOf(5)); t.Drop("s1"); t.Put(entryOf(6)) }, true},
		{"new life whose count starts anew", func(t *testTable) {
			t.Put(with(entryOf(50), draining))
			t.Put(with(entryOf(1), func(s *Server) { s.StartedMS = 200 }))
		}, true},
		{"entry of the life before", func(t *testTable) {
			t.Put(with(with(entryOf(1), draining), func(s *Server) { s.StartedMS = 200 }))
			t.Put(entryOf(50))
		}, false},
		{"unreadable", func(t *testTable) { t.Put(entryOf(1)); t.Spoil("s1", errors.New("bytes")) }, false},
		{"unreadable entry of another id", func(t *testTable) { t.Put(entryOf(1)); t.Spoil("s2", errors.New("bytes")) }, true},
		{"missing from the newest entries", func(t *testTable) { t.Put(entryOf(1)); t.Reset() }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTable()
			c.play(table)
			require.Equal(t, c.usable, len(table.ForService("readers")) == 1)
		})
	}
}

func TestEntriesThatLapseWhileTheStoreIsAwayAreKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		table.Put(entryOf(1))
		table.Put(with(entryOf(1), func(s *Server) { s.ID = "s2" }))
		table.SetReachable(false)
		time.Sleep(5 * time.Second)
		table.Drop("s1") // read at the store's return
		table.Drop("s2")
		table.SetReachable(true)
		require.Len(t, table.ForService("readers"), 2)
		time.Sleep(returnGrace - time.Millisecond)
		table.RemoveExpired()
		require.Len(t, table.ForService("readers"), 2)
		table.Put(entryOf(9)) // s1 is back
		time.Sleep(2 * time.Millisecond)
		table.RemoveExpired()
		servers := table.ForService("readers")
		require.Len(t, servers, 1)
		require.Equal(t, "s1", servers[0].ID)
	})
}

func TestLeavingBindsWhileTheStoreIsAway(t *testing.T) {
	table := newTable()
	table.Put(entryOf(1))
	table.Put(with(entryOf(2), func(s *Server) { s.Draining = true }))
	table.SetReachable(false)
	require.Empty(t, table.ForService("readers"))
	require.False(t, table.Usable(entryOf(1)))
}

func TestChangesAreTold(t *testing.T) {
	table := newTable()
	told := 0
	table.OnChange(func() { told++ })
	table.Put(entryOf(1))
	require.Equal(t, 1, told)
	table.Put(entryOf(2)) // only its count has changed
	require.Equal(t, 1, told)
	table.Drop("s1")
	require.Equal(t, 2, told)
}

// TestListIsWhatTheEntriesSay plays random entries in batches of random sizes and
// compares the published lists with a plain reading of the newest entries.
func TestListIsWhatTheEntriesSay(t *testing.T) {
	r := rand.New(rand.NewPCG(21, 22))
	table, newest := newTable(), map[string]Server{}
	born := int64(0)
	for range 2000 {
		var batch []Update
		for range 1 + r.IntN(5) {
			id := fmt.Sprint("s", r.IntN(12))
			if r.IntN(4) == 0 {
				batch = append(batch, Update{ID: id})
				delete(newest, id)
				continue
			}
			born++
			s := Server{ID: id, Service: fmt.Sprint("service", r.IntN(3)), Slots: 1 + r.IntN(2), StartedMS: born, Sequence: 1, Draining: r.IntN(4) == 0}
			batch = append(batch, Update{ID: id, Server: &s})
			newest[id] = s
		}
		before := table.ForService("service0")
		held := slices.Clone(before)
		table.Apply(batch...)
		require.Equal(t, held, before, "readers may still hold the old list")
		expected := map[string][]Server{}
		for _, id := range slices.Sorted(maps.Keys(newest)) {
			if s := newest[id]; !s.Draining {
				expected[s.Service] = append(expected[s.Service], s)
			}
		}
		require.Equal(t, expected, *table.current.Load())
	}
}

func TestNewestEntriesReplaceTheList(t *testing.T) {
	table := newTable()
	table.Put(entryOf(1))
	other := with(entryOf(1), func(s *Server) { s.ID = "s2" })
	table.Reset(Update{ID: "s2", Server: &other})
	require.Equal(t, []Server{other}, table.ForService("readers"))
	table.Reset(Update{ID: "s2", Err: errors.New("bytes")})
	require.Empty(t, table.ForService("readers"))
}

func TestServersThatWentLongAgoAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		table.Put(entryOf(1))
		table.Drop("s1")
		table.RemoveExpired()
		require.Len(t, table.known, 1)
		require.False(t, table.Known("s1"))
		time.Sleep(rememberGone + time.Second)
		table.RemoveExpired()
		require.Empty(t, table.known)
	})
}

// BenchmarkEntriesAtAStart reads the entries of 3,000 servers.
func BenchmarkEntriesAtAStart(b *testing.B) {
	var updates []Update
	for i := range 3000 {
		s := with(entryOf(1), func(s *Server) { s.ID = fmt.Sprint("s", i) })
		updates = append(updates, Update{ID: s.ID, Server: &s})
	}
	for b.Loop() {
		New(zerolog.Nop()).Reset(updates...)
	}
}

// BenchmarkOneEntryOfMany changes the entry of one of 3,000 servers.
func BenchmarkOneEntryOfMany(b *testing.B) {
	table := New(zerolog.Nop())
	for i := range 3000 {
		s := with(entryOf(1), func(s *Server) { s.ID = fmt.Sprint("s", i) })
		table.Apply(Update{ID: s.ID, Server: &s})
	}
	s := with(entryOf(1), func(s *Server) { s.ID = "s7" })
	for b.Loop() {
		s.Sequence++
		next := s
		table.Apply(Update{ID: s.ID, Server: &next})
	}
}
