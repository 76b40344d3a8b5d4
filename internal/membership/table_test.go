package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func entryOf(sequence int64) Server {
	return Server{ID: "s1", Service: "readers", Address: "10.0.0.1:80", Slots: 4, Born: 100, Sequence: sequence}
}

func newTable() *Table { return New(zerolog.Nop()) }

func with(s Server, change func(*Server)) Server {
	change(&s)
	return s
}

func TestEntriesInTheirOrder(t *testing.T) {
	draining := func(s *Server) { s.Draining = true }
	cases := []struct {
		name   string
		play   func(*Table)
		usable bool
	}{
		{"ready", func(t *Table) { t.Put(entryOf(1)) }, true},
		{"draining", func(t *Table) { t.Put(entryOf(1)); t.Put(with(entryOf(2), draining)) }, false},
		{"removed", func(t *Table) { t.Put(entryOf(1)); t.Drop("s1") }, false},
		{"older entry after draining", func(t *Table) { t.Put(with(entryOf(5), draining)); t.Put(entryOf(4)) }, false},
		{"same entry after its removal", func(t *Table) { t.Put(entryOf(5)); t.Drop("s1"); t.Put(entryOf(5)) }, false},
		{"older entry after its removal", func(t *Table) { t.Put(entryOf(5)); t.Drop("s1"); t.Put(entryOf(4)) }, false},
		{"newer entry after its removal", func(t *Table) { t.Put(entryOf(5)); t.Drop("s1"); t.Put(entryOf(6)) }, true},
		{"new life whose count starts anew", func(t *Table) {
			t.Put(with(entryOf(50), draining))
			t.Put(with(entryOf(1), func(s *Server) { s.Born = 200 }))
		}, true},
		{"entry of the life before", func(t *Table) {
			t.Put(with(with(entryOf(1), draining), func(s *Server) { s.Born = 200 }))
			t.Put(entryOf(50))
		}, false},
		{"unreadable", func(t *Table) { t.Put(entryOf(1)); t.Spoil("s1", errors.New("bytes")) }, false},
		{"unreadable entry of another id", func(t *Table) { t.Put(entryOf(1)); t.Spoil("s2", errors.New("bytes")) }, true},
		{"missing from the newest entries", func(t *Table) { t.Put(entryOf(1)); t.Replace(map[string]bool{}) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTable()
			c.play(table)
			require.Equal(t, c.usable, len(table.Of("readers")) == 1)
		})
	}
}

func TestEntriesThatLapseWhileTheStoreIsAwayAreKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		table.Put(entryOf(1))
		table.Put(with(entryOf(1), func(s *Server) { s.ID = "s2" }))
		table.Reachable(false)
		time.Sleep(5 * time.Second)
		table.Drop("s1") // read at the store's return
		table.Drop("s2")
		table.Reachable(true)
		require.Len(t, table.Of("readers"), 2)
		time.Sleep(returnGrace - time.Millisecond)
		table.Settle()
		require.Len(t, table.Of("readers"), 2)
		table.Put(entryOf(9)) // s1 is back
		time.Sleep(2 * time.Millisecond)
		table.Settle()
		servers := table.Of("readers")
		require.Len(t, servers, 1)
		require.Equal(t, "s1", servers[0].ID)
	})
}

func TestLeavingBindsWhileTheStoreIsAway(t *testing.T) {
	table := newTable()
	table.Put(entryOf(1))
	table.Put(with(entryOf(2), func(s *Server) { s.Draining = true }))
	table.Reachable(false)
	require.Empty(t, table.Of("readers"))
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
