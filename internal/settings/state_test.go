package settings

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// logEntry returns the data of a log entry with one change.
func logEntry(t testing.TB, c Change) []byte {
	r, err := record.New(KindChange, c)
	require.NoError(t, err)
	data, err := record.Marshal(record.Batch{Records: []record.Record{r}})
	require.NoError(t, err)
	return data
}

// applyNext applies a change as the next log entry.
func applyNext(t testing.TB, s *State, c Change) Verdict {
	return s.Apply(s.Offset()+1, logEntry(t, c))[0]
}

const (
	rootOperator = `{"subtrees":["*"],"key_hashes":["00"]}`
	anaOperator  = `{"subtrees":["teams/a"],"top_ups":["a"],"key_hashes":["01"]}`
)

func TestChangeOutcomes(t *testing.T) {
	s := New()
	steps := []struct {
		id      string
		path    Path
		base    ident.Offset
		author  ident.OperatorID
		value   string
		outcome Outcome
	}{
		{"1", "teams/a", -1, "root", `{}`, Forbidden},                   // 0: no operator exists yet
		{"2", "operators/ana", -1, Bootstrap, anaOperator, Lockout},     // 1: an operator without all rights cannot be the only one
		{"3", "operators/root", -1, Bootstrap, rootOperator, Accepted},  // 2
		{"4", "teams/a", -1, Bootstrap, `{}`, Forbidden},                // 3: Bootstrap has no rights once an operator exists
		{"5", "operators/ana", -1, "root", anaOperator, Accepted},       // 4
		{"6", "teams/a", -1, "ana", `{"weight":2}`, Accepted},           // 5
		{"7", "teams/a", -1, "root", `{"weight":3}`, Conflict},          // 6
		{"6", "teams/a", -1, "ana", `{"weight":2}`, Repeated},           // 7
		{"8", "teams/b", -1, "ana", `{}`, Forbidden},                    // 8
		{"9", "operators/ana", 4, "ana", rootOperator, Forbidden},       // 9
		{"10", "teams/a", 5, "root", ``, Accepted},                      // 10: removes the subtree
		{"11", "teams/a", -1, "ana", `{"weight":2}`, Conflict},          // 11: a removed subtree keeps its version
		{"6", "teams/a", -1, "ana", `{"weight":2}`, Repeated},           // 12
		{"12", "teams/a", 10, "ana", `{"weight":4}`, Accepted},          // 13
		{"13", "operators/root", 2, "root", `{"subtrees":[]}`, Lockout}, // 14
		{"14", "nothing/a", -1, "root", `{}`, RefusedInvalid},           // 15
		{"", "teams/a", 13, "root", `{}`, RefusedInvalid},               // 16
		{"15", "operators/ana", 4, "root", ``, Accepted},                // 17
		{"16", "teams/a", 13, "ana", `{"weight":5}`, Forbidden},         // 18: rights are those at this position of the log
		{"17", "operators/root", 2, "root", ``, Accepted},               // 19: removes the last operator; Bootstrap has all rights again
		{"18", "teams/a", 13, Bootstrap, `{"weight":6}`, Accepted},      // 20
	}
	for i, step := range steps {
		v := applyNext(t, s, Change{ID: step.id, Path: step.path, Base: step.base, Author: step.author, Value: []byte(step.value)})
		require.Equal(t, step.outcome, v.Outcome, "step %d", i)
		if step.outcome == Conflict {
			require.Equal(t, s.Subtree(step.path), v.Current, "step %d", i)
		}
		requireSnapshotRoundTrip(t, s)
	}
	require.Equal(t, 6, s.Tree().Teams["a"].Weight)
	require.Equal(t, ident.Offset(20), s.Tree().Offset)
}

// requireSnapshotRoundTrip checks that a loaded snapshot encodes to the same bytes
// and gives the same tree.
func requireSnapshotRoundTrip(t *testing.T, s *State) {
	raw, err := s.Snapshot()
	require.NoError(t, err)
	loaded, err := Load(raw)
	require.NoError(t, err)
	reencoded, err := loaded.Snapshot()
	require.NoError(t, err)
	require.Equal(t, raw, reencoded)
	require.Equal(t, s.Tree(), loaded.Tree())
}

// TestConcurrentChangesLoseNoUpdate has concurrent changes each add one to a value
// read before, with entries that are repeated or delayed. No update may be lost
// or applied twice, and a tree handed out before must not change.
func TestConcurrentChangesLoseNoUpdate(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := New()
		accepted := map[string]bool{}
		var sent []Change
		initial := *s.Tree()
		for step := range 80 {
			c := increment(s, fmt.Sprint(step))
			if random.IntN(3) == 0 && len(sent) > 0 {
				c = sent[random.IntN(len(sent))]
			}
			sent = append(sent, c)
			if random.IntN(4) == 0 {
				continue // delayed: applied by a later repeat, or never
			}
			v := applyNext(t, s, c)
			require.False(t, v.Outcome == Accepted && accepted[c.ID], "change %s accepted twice", c.ID)
			if v.Outcome == Accepted {
				accepted[c.ID] = true
			}
			require.Equal(t, len(accepted), s.Tree().Teams["a"].Weight-defaultWeight)
		}
		require.Empty(t, initial.Teams)
		require.Greater(t, len(accepted), 10)
	}
}

func increment(s *State, id string) Change {
	weight := s.Tree().Teams["a"].Weight
	if weight == 0 {
		weight = defaultWeight
	}
	value := fmt.Sprintf(`{"weight":%d}`, weight+1)
	return Change{ID: id, Path: "teams/a", Base: s.Subtree("teams/a").Version, Author: Bootstrap, Value: []byte(value)}
}

func TestUnsupportedLevelStopsTheFold(t *testing.T) {
	s := New()
	r, err := record.New(KindChange, Change{ID: "1", Path: "teams/a", Base: -1, Author: Bootstrap, Value: []byte(`{}`)})
	require.NoError(t, err)
	r.Level = MaxLevel + 1
	raise, err := record.New(KindRaiseLevel, RaiseLevel{Level: MaxLevel + 1})
	require.NoError(t, err)
	data, err := record.Marshal(record.Batch{Records: []record.Record{r, raise, r}})
	require.NoError(t, err)
	verdicts := s.Apply(0, data)
	require.Equal(t, RefusedLevel, verdicts[0].Outcome)
	require.Equal(t, RefusedLevel, verdicts[2].Outcome)
	require.False(t, s.Supported())
	require.Nil(t, s.Apply(1, data))
	require.Equal(t, ident.Offset(0), s.Offset())
	raw, err := s.Snapshot()
	require.NoError(t, err)
	_, err = Load(raw)
	require.Error(t, err)
}
