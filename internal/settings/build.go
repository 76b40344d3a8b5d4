package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Default values of settings that a subtree omits. The units are those of the
// fields in Fleet, Team, Model and Server.
const (
	defaultOutageHorizonS    = 600
	defaultMaxBodyBytes      = 4 << 20
	defaultMaxOutputTokens   = 32768
	defaultRequestTimeoutS   = 600
	defaultWeightLoadsPerMin = 6
	defaultAnswerBufferBytes = 64 << 20
	defaultAnswerRetentionS  = 120
	defaultPriority          = 5
	defaultWeight            = 1
	defaultSlots             = 8
	defaultContextTokens     = 32768
)

// DefaultFleet returns the fleet's settings with all fields at their defaults.
func DefaultFleet() Fleet {
	return Fleet{
		OutageHorizonS:    defaultOutageHorizonS,
		MaxBodyBytes:      defaultMaxBodyBytes,
		MaxOutputTokens:   defaultMaxOutputTokens,
		RequestTimeoutS:   defaultRequestTimeoutS,
		WeightLoadsPerMin: defaultWeightLoadsPerMin,
		AnswerBufferBytes: defaultAnswerBufferBytes,
		AnswerRetentionS:  defaultAnswerRetentionS,
	}
}

// DefaultTeam returns a team with its omitted fields at their defaults. A client
// that modifies a team's subtree decodes the current value over it, so that the
// defaults survive.
func DefaultTeam() Team {
	return Team{Priority: defaultPriority, Weight: defaultWeight}
}

// HashSecret returns the hash under which a secret key is stored.
func HashSecret(secret string) KeyHash {
	sum := sha256.Sum256([]byte(secret))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// EmptyTree returns the tree of a fleet without any subtree.
func EmptyTree() *Tree {
	return &Tree{
		Offset:           ident.NoOffset,
		Fleet:            DefaultFleet(),
		Teams:            map[ident.TeamID]Team{},
		Models:           map[ident.ModelID]Model{},
		Services:         map[ident.ServiceID]Service{},
		Servers:          map[ident.ServerID]Server{},
		Operators:        map[ident.OperatorID]Operator{},
		CallersByKey:     map[KeyHash]Caller{},
		OperatorsByKey:   map[KeyHash]ident.OperatorID{},
		ServersByModel:   map[ident.ModelID][]ident.ServerID{},
		ServersByService: map[ident.ServiceID][]ident.ServerID{},
	}
}

// Tree returns the typed configuration at the state's offset. It is rebuilt only
// after a change of a subtree; otherwise the maps of the previous tree are shared
// and only the offset is updated.
func (s *State) Tree() *Tree {
	switch {
	case s.treeStale:
		s.tree = s.build()
		s.treeStale = false
	case s.tree.Offset != s.offset:
		next := *s.tree
		next.Offset = s.offset
		s.tree = &next
	}
	return s.tree
}

// build decodes all existing subtrees into a new tree.
func (s *State) build() *Tree {
	t := EmptyTree()
	t.Offset = s.offset
	for path, sub := range s.subtrees {
		if len(sub.Value) > 0 {
			t.setSubtree(path, sub.Value)
		}
	}
	t.buildIndexes()
	return t
}

// setSubtree decodes a subtree into the tree. A value that cannot be decoded is
// ignored: values are checked before they are published, so a newer program must
// have written it.
func (t *Tree) setSubtree(path Path, value []byte) {
	collection, name := path.Split()
	switch collection {
	case string(PathFleet):
		decodeInto(value, &t.Fleet)
	case collectionTeams:
		team := DefaultTeam()
		if decodeInto(value, &team) {
			t.Teams[ident.TeamID(name)] = team
		}
	case collectionModels:
		model := Model{ContextTokens: defaultContextTokens}
		if decodeInto(value, &model) {
			t.Models[ident.ModelID(name)] = model
		}
	case collectionServices:
		var service Service
		if decodeInto(value, &service) {
			t.Services[ident.ServiceID(name)] = service
		}
	case collectionServers:
		server := Server{Slots: defaultSlots}
		if decodeInto(value, &server) {
			t.Servers[ident.ServerID(name)] = server
		}
	case collectionOperators:
		t.Operators[ident.OperatorID(name)] = decodeOperator(value)
	}
}

// decodeInto decodes JSON over the defaults in target. If the value is invalid,
// target is unchanged and decodeInto returns false.
func decodeInto[T any](value []byte, target *T) bool {
	decoded := *target
	if err := json.Unmarshal(value, &decoded); err != nil {
		return false
	}
	*target = decoded
	return true
}

// buildIndexes fills the maps that are looked up by key, model and service. It
// iterates over sorted names, so that all processes build the same maps.
func (t *Tree) buildIndexes() {
	for _, id := range slices.Sorted(maps.Keys(t.Teams)) {
		t.indexCallerKeys(id)
	}
	for id, operator := range t.Operators {
		for _, hash := range operator.KeyHashes {
			t.OperatorsByKey[hash] = id
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.Servers)) {
		server := t.Servers[id]
		for _, model := range server.Models {
			t.ServersByModel[model] = append(t.ServersByModel[model], id)
		}
		for _, service := range server.Services {
			t.ServersByService[service] = append(t.ServersByService[service], id)
		}
	}
}

// indexCallerKeys adds the keys of a team's enabled accounts to CallersByKey.
func (t *Tree) indexCallerKeys(id ident.TeamID) {
	accounts := t.Teams[id].Accounts
	for _, account := range slices.Sorted(maps.Keys(accounts)) {
		a := accounts[account]
		if a.Disabled {
			continue
		}
		for _, hash := range a.KeyHashes {
			t.CallersByKey[hash] = Caller{Team: id, Account: account}
		}
	}
}
