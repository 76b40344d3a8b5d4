package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Defaults of settings that a subtree leaves out.
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

// DefaultFleet returns the fleet's settings where nothing is set.
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

// DefaultTeam returns the values of a team's fields that are left out. Whoever
// changes a subtree that it has read decodes over them.
func DefaultTeam() Team {
	return Team{Priority: defaultPriority, Weight: defaultWeight}
}

// HashSecret returns the form in which a secret key is stored.
func HashSecret(secret string) KeyHash {
	sum := sha256.Sum256([]byte(secret))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// EmptyTree returns the tree before any settings.
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

// Tree returns the typed configuration at the state's offset. It is built when
// asked for after a change; without one only its offset differs.
func (s *State) Tree() *Tree {
	switch {
	case s.stale:
		s.tree = s.build()
		s.stale = false
	case s.tree.Offset != s.offset:
		next := *s.tree
		next.Offset = s.offset
		s.tree = &next
	}
	return s.tree
}

func (s *State) build() *Tree {
	t := EmptyTree()
	t.Offset = s.offset
	for path, sub := range s.subtrees {
		if len(sub.Value) > 0 {
			t.put(path, sub.Value)
		}
	}
	t.derive()
	return t
}

// put decodes a subtree. One that cannot be decoded is left out: it was
// checked before it was published, so a newer program wrote it.
func (t *Tree) put(path Path, value []byte) {
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

// decodeInto decodes over defaults, which stay if the value is not valid.
func decodeInto[T any](value []byte, into *T) bool {
	decoded := *into
	if err := json.Unmarshal(value, &decoded); err != nil {
		return false
	}
	*into = decoded
	return true
}

// derive fills the maps that are looked up by key, model and service. It goes
// through sorted names, so that two processes build the same.
func (t *Tree) derive() {
	for _, id := range slices.Sorted(maps.Keys(t.Teams)) {
		t.deriveKeys(id)
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

func (t *Tree) deriveKeys(id ident.TeamID) {
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
