package capacity

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/settings"
)

const rootOperator ident.OperatorID = "root"

// change returns the log entry of a settings change.
func change(w *logWriter, author ident.OperatorID, path settings.Path, base ident.Offset, value any) ([]byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	body := settings.Change{
		ID:     fmt.Sprintf("%s@%d", path, base),
		Path:   path,
		Base:   base,
		Author: author,
		Value:  raw,
	}
	r, err := record.New(settings.KindChange, body)
	if err != nil {
		return nil, err
	}
	return w.entry(r)
}

func teamSettings(i int) settings.Team {
	account := ident.AccountID("web-" + strconv.Itoa(i))
	hash := settings.HashSecret(string(account))
	return settings.Team{
		Name:     fmt.Sprintf("Team number %d", i),
		Accounts: map[ident.AccountID]settings.Account{account: {KeyHashes: []settings.KeyHash{hash}}},
		Models:   []ident.ModelID{"ledger-reader", "letter-writer"},
		Priority: 5,
		Weight:   1,
		Caution:  0.5,
	}
}

// settingsOf returns a tree with teams and the writer that made it.
func settingsOf(teams int) (*settings.State, *logWriter, error) {
	state := settings.New()
	writer := &logWriter{writer: measureHolder}
	root := settings.Operator{Name: "Root", KeyHashes: []settings.KeyHash{settings.HashSecret("root")}, Subtrees: []settings.Path{"*"}}
	data, err := change(writer, settings.Bootstrap, "operators/root", ident.NoOffset, root)
	if err != nil {
		return nil, nil, err
	}
	state.Apply(0, data)
	for i := range teams {
		path := settings.Path("teams/" + teamID(i))
		data, err := change(writer, rootOperator, path, ident.NoOffset, teamSettings(i))
		if err != nil {
			return nil, nil, err
		}
		for _, v := range state.Apply(state.Offset()+1, data) {
			if v.Outcome != settings.Accepted {
				return nil, nil, fmt.Errorf("change of %s was refused with outcome %d", path, v.Outcome)
			}
		}
	}
	return state, writer, nil
}

// settingsSlopes measures the configuration tree against the number of teams.
func settingsSlopes(emit measure.Emit, s *slopes) error {
	sizes := []int{500, 1000, 2000, 4000}
	var memory, apply []point
	for _, size := range sizes {
		var state *settings.State
		var writer *logWriter
		var err error
		bytes := heapOf(func() any {
			state, writer, err = settingsOf(size)
			if err != nil {
				return nil
			}
			return []any{state, state.Tree()}
		})
		if err != nil {
			return err
		}
		memory = append(memory, point{float64(size), bytes})
		ns, err := changeCost(state, writer, size)
		if err != nil {
			return err
		}
		apply = append(apply, point{float64(size), ns})
	}
	s.teamBytes = fit(memory)
	s.changeNs = fit(apply)
	s.teamBytes.emit(emit, "capacity.settings_heap", "bytes", memory)
	s.changeNs.emit(emit, "capacity.settings_change", "ns", apply)
	return nil
}

// changeCost measures a change of one team until the new tree stands.
func changeCost(state *settings.State, writer *logWriter, teams int) (float64, error) {
	const changes = 8
	var failure error
	ns := nsPer(changes, func(i int) {
		path := settings.Path("teams/" + teamID(i%teams))
		base := state.Subtree(path).Version
		data, err := change(writer, rootOperator, path, base, teamSettings(i))
		if err != nil {
			failure = err
			return
		}
		state.Apply(state.Offset()+1, data)
		_ = state.Tree()
	})
	return ns, failure
}
