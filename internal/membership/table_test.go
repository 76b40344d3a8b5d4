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

func serverEntry(sequence int64) Server {
	return Server{ID: "s1", Service: "readers", Address: "10.0.0.1:80", Slots: 4, StartedMS: 100, Sequence: sequence}
}

func newTable() *testTable { return &testTable{New(zerolog.Nop())} }

// testTable applies entries one by one.
type testTable struct{ *Table }

func (t *testTable) Put(s Server)                        { t.Apply(Update{ID: s.ID, Server: &s}) }
func (t *testTable) Remove(id string)                    { t.Apply(Update{ID: id}) }
func (t *testTable) MakeUnreadable(id string, err error) { t.Apply(Update{ID: id, Err: err}) }

func modified(s Server, change func(*Server)) Server {
	change(&s)
	return s
}

func TestEntriesAreAppliedInLogOrder(t *testing.T) {
	draining := func(s *Server) { s.Draining = true }
	cases := []struct {
		name   string
		apply  func(*testTable)
		usable bool
	}{
		{"ready", func(t *testTable) { t.Put(serverEntry(1)) }, true},
		{"draining", func(t *testTable) { t.Put(serverEntry(1)); t.Put(modified(serverEntry(2), draining)) }, false},
		{"removed", func(t *testTable) { t.Put(serverEntry(1)); t.Remove("s1") }, false},
		{"older entry after draining", func(t *testTable) { t.Put(modified(serverEntry(5), draining)); t.Put(serverEntry(4)) }, false},
		{"same entry after its removal", func(t *testTable) { t.Put(serverEntry(5)); t.Remove("s1"); t.Put(serverEntry(5)) }, false},
		{"older entry after its removal", func(t *testTable) { t.Put(serverEntry(5)); t.Remove("s1"); t.Put(serverEntry(4)) }, false},
		{"newer entry after its removal", func(t *testTable) { t.Put(serverEntry(5)); t.Remove("s1"); t.Put(serverEntry(6)) }, true},
		{"new incarnation with a lower sequence number", func(t *testTable) {
			t.Put(modified(serverEntry(50), draining))
			t.Put(modified(serverEntry(1), func(s *Server) { s.StartedMS = 200 }))
		}, true},
		{"entry of the previous incarnation", func(t *testTable) {
			t.Put(modified(modified(serverEntry(1), draining), func(s *Server) { s.StartedMS = 200 }))
			t.Put(serverEntry(50))
		}, false},
		{"unreadable", func(t *testTable) { t.Put(serverEntry(1)); t.MakeUnreadable("s1", errors.New("bytes")) }, false},
		{"unreadable entry of another id", func(t *testTable) { t.Put(serverEntry(1)); t.MakeUnreadable("s2", errors.New("bytes")) }, true},
		{"missing from the newest entries", func(t *testTable) { t.Put(serverEntry(1)); t.Reset() }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTable()
			c.apply(table)
			require.Equal(t, c.usable, len(table.ForService("readers")) == 1)
		})
	}
}

func TestLapsedEntriesAreKeptUntilStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		table.Put(serverEntry(1))
		table.Put(modified(serverEntry(1), func(s *Server) { s.ID = "s2" }))
		table.SetReachable(false)
		time.Sleep(5 * time.Second)
		table.Remove("s1") // the removals are read when the store recovers
		table.Remove("s2")
		table.SetReachable(true)
		require.Len(t, table.ForService("readers"), 2)
		time.Sleep(recoveryGrace - time.Millisecond)
		table.RemoveExpired()
		require.Len(t, table.ForService("readers"), 2)
		table.Put(serverEntry(9)) // the entry of s1 is written again
		time.Sleep(2 * time.Millisecond)
		table.RemoveExpired()
		servers := table.ForService("readers")
		require.Len(t, servers, 1)
		require.Equal(t, "s1", servers[0].ID)
	})
}

func TestDrainingAppliesWhileStoreIsUnavailable(t *testing.T) {
	table := newTable()
	table.Put(serverEntry(1))
	table.Put(modified(serverEntry(2), func(s *Server) { s.Draining = true }))
	table.SetReachable(false)
	require.Empty(t, table.ForService("readers"))
	require.False(t, table.Usable(serverEntry(1)))
}

func TestListenersAreCalledForRelevantChanges(t *testing.T) {
	table := newTable()
	calls := 0
	table.OnChange(func() { calls++ })
	table.Put(serverEntry(1))
	require.Equal(t, 1, calls)
	table.Put(serverEntry(2)) // only the sequence number has changed
	require.Equal(t, 1, calls)
	table.Remove("s1")
	require.Equal(t, 2, calls)
}

// TestPublishedListsMatchNewestEntries applies random entries in batches of
// random sizes and compares the published lists with lists computed directly
// from the newest entries.
func TestPublishedListsMatchNewestEntries(t *testing.T) {
	r := rand.New(rand.NewPCG(21, 22))
	table, newest := newTable(), map[string]Server{}
	startedMS := int64(0)
	for range 2000 {
		var batch []Update
		for range 1 + r.IntN(5) {
			id := fmt.Sprint("s", r.IntN(12))
			if r.IntN(4) == 0 {
				batch = append(batch, Update{ID: id})
				delete(newest, id)
				continue
			}
			startedMS++
			s := Server{ID: id, Service: fmt.Sprint("service", r.IntN(3)), Slots: 1 + r.IntN(2), StartedMS: startedMS, Sequence: 1, Draining: r.IntN(4) == 0}
			batch = append(batch, Update{ID: id, Server: &s})
			newest[id] = s
		}
		before := table.ForService("service0")
		beforeCopy := slices.Clone(before)
		table.Apply(batch...)
		require.Equal(t, beforeCopy, before, "readers may still use the old list")
		expected := map[string][]Server{}
		for _, id := range slices.Sorted(maps.Keys(newest)) {
			if s := newest[id]; !s.Draining {
				expected[s.Service] = append(expected[s.Service], s)
			}
		}
		require.Equal(t, expected, *table.current.Load())
	}
}

func TestResetReplacesServers(t *testing.T) {
	table := newTable()
	table.Put(serverEntry(1))
	other := modified(serverEntry(1), func(s *Server) { s.ID = "s2" })
	table.Reset(Update{ID: "s2", Server: &other})
	require.Equal(t, []Server{other}, table.ForService("readers"))
	table.Reset(Update{ID: "s2", Err: errors.New("bytes")})
	require.Empty(t, table.ForService("readers"))
}

func TestRemovedServersAreForgottenAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		table.Put(serverEntry(1))
		table.Remove("s1")
		table.RemoveExpired()
		require.Len(t, table.entries, 1)
		require.False(t, table.Known("s1"))
		time.Sleep(removalRetention + time.Second)
		table.RemoveExpired()
		require.Empty(t, table.entries)
	})
}

// BenchmarkResetManyServers applies the entries of 3,000 servers at once, as at
// the start of a router.
func BenchmarkResetManyServers(b *testing.B) {
	var updates []Update
	for i := range 3000 {
		s := modified(serverEntry(1), func(s *Server) { s.ID = fmt.Sprint("s", i) })
		updates = append(updates, Update{ID: s.ID, Server: &s})
	}
	for b.Loop() {
		New(zerolog.Nop()).Reset(updates...)
	}
}

// BenchmarkApplyOneEntry changes the entry of one of 3,000 servers.
func BenchmarkApplyOneEntry(b *testing.B) {
	table := New(zerolog.Nop())
	for i := range 3000 {
		s := modified(serverEntry(1), func(s *Server) { s.ID = fmt.Sprint("s", i) })
		table.Apply(Update{ID: s.ID, Server: &s})
	}
	s := modified(serverEntry(1), func(s *Server) { s.ID = "s7" })
	for b.Loop() {
		s.Sequence++
		next := s
		table.Apply(Update{ID: s.ID, Server: &next})
	}
}

// TestLeavingIncarnationStaysWithoutWork has a server say in a response that it leaves, and
// its entries, older and newer ones, that it is ready.
func TestLeavingIncarnationStaysWithoutWork(t *testing.T) {
	table := newTable()
	s := serverEntry(5)
	table.Put(s)
	table.MarkLeaving(modified(s, func(s *Server) { s.StartedMS-- }))
	require.True(t, table.Usable(s), "another incarnation said so")
	table.MarkLeaving(s)
	require.False(t, table.Usable(s))
	for _, sequence := range []int64{4, 5, 6, 7} {
		table.Put(serverEntry(sequence))
		require.False(t, table.Usable(s), "sequence %d", sequence)
	}
	table.Reset(Update{ID: s.ID, Server: &s})
	require.False(t, table.Usable(s))
	require.False(t, table.Ended(s))
	table.Remove(s.ID)
	require.False(t, table.Ended(s), "it said so")
	next := modified(serverEntry(1), func(s *Server) { s.StartedMS++ })
	table.Put(next)
	require.True(t, table.Usable(next))
}

// TestLeavingServerIsNotKeptInAnOutage removes its entry while the log is unavailable.
func TestLeavingServerIsNotKeptInAnOutage(t *testing.T) {
	table := newTable()
	s := serverEntry(5)
	table.Put(s)
	table.SetReachable(false)
	table.MarkLeaving(s)
	table.Remove(s.ID)
	require.False(t, table.Known(s.ID))
}

// TestLateEntryOfALeavingServerGivesItNoWork guards against a server that has said that it
// leaves while it had no entry, and gets work again by a write that was made before.
func TestLateEntryOfALeavingServerGivesItNoWork(t *testing.T) {
	for name, before := range map[string]func(*Table, Server){
		"removed, then said": func(table *Table, s Server) {
			table.Apply(Update{ID: s.ID})
			table.MarkLeaving(s)
		},
		"said, then removed": func(table *Table, s Server) {
			table.MarkLeaving(s)
			table.Apply(Update{ID: s.ID})
		},
		"unreadable, then said": func(table *Table, s Server) {
			table.Apply(Update{ID: s.ID, Err: errors.New("unreadable")})
			table.MarkLeaving(s)
		},
		"said around an outage": func(table *Table, s Server) {
			table.SetReachable(false)
			table.Apply(Update{ID: s.ID})
			table.MarkLeaving(s)
			table.SetReachable(true)
		},
		"said by a draining one": func(table *Table, s Server) {
			table.Apply(Update{ID: s.ID, Server: ptr(modified(s, func(s *Server) { s.Draining = true }))})
			table.MarkLeaving(s)
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(zerolog.Nop())
			s := Server{ID: "a", Service: "svc", Address: "1", StartedMS: 5, Sequence: 1}
			table.Apply(Update{ID: s.ID, Server: &s})
			require.True(t, table.Usable(s))
			before(table, s)
			late := modified(s, func(s *Server) { s.Sequence = 9 })
			table.Apply(Update{ID: s.ID, Server: &late})
			require.False(t, table.Usable(s))
			require.False(t, table.Ended(s), "it is no crash")
			next := modified(s, func(s *Server) { s.StartedMS, s.Sequence = 6, 1 })
			table.Apply(Update{ID: s.ID, Server: &next})
			require.True(t, table.Usable(next), "a new incarnation begins without it")
		})
	}
}

func ptr(s Server) *Server { return &s }

// TestOlderCopyOfTheStoreIsNoProofThatAServerEnded guards against servers that are lost, or
// used again, because the store came back from an older copy.
func TestOlderCopyOfTheStoreIsNoProofThatAServerEnded(t *testing.T) {
	draining := func(s *Server) { s.Draining = true }
	synctest.Test(t, func(t *testing.T) {
		table := New(zerolog.Nop())
		put := func(s Server) { table.Apply(Update{ID: s.ID, Server: &s}) }
		usable := func() int { return len(table.ForService("readers")) }
		older := serverEntry(3)
		put(serverEntry(4))
		table.Restore(Update{ID: "s1", Server: &older})
		require.Equal(t, 1, usable(), "the older entry changes nothing")
		table.Restore()
		require.Equal(t, 1, usable(), "the copy lacks it")
		time.Sleep(recoveryGrace / 2)
		put(serverEntry(5))
		time.Sleep(2 * recoveryGrace)
		table.RemoveExpired()
		require.Equal(t, 1, usable(), "it was written again")
		table.Restore()
		time.Sleep(recoveryGrace + time.Millisecond)
		table.RemoveExpired()
		require.Zero(t, usable(), "it was not written again")
		put(modified(serverEntry(8), draining))
		table.Restore(Update{ID: "s1", Server: &older})
		require.Zero(t, usable(), "a server that drains is not used again")
	})
}
