package settings

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// MaxLevel is the highest format level that this program supports.
const MaxLevel = record.BaseLevel

// Limits that are part of the format: programs with different limits would reach
// different states, so a change requires a new format level.
const (
	// MaxValueBytes is the maximum size of a subtree's JSON value.
	MaxValueBytes = 256 << 10
	// recentChanges is how many accepted changes of a subtree are remembered
	// by ID, to recognize retries.
	recentChanges = 8
)

// Outcome is the result of one record in the fold.
type Outcome uint8

// Outcomes of a record.
const (
	Accepted       Outcome = iota
	Repeated               // the change was accepted before, at Verdict.Version
	Conflict               // the subtree has changed since Base; see Verdict.Current
	Forbidden              // the author may not change the subtree
	Lockout                // operators would remain, but none with a key and all rights
	RefusedLevel           // the record's level is above the stream's
	RefusedInvalid         // the record is invalid
)

// Verdict is the fold's reply to one record of a batch.
type Verdict struct {
	Outcome Outcome
	Version ident.Offset // of the accepted change
	Current Subtree      // after a Conflict: the subtree as it is now
}

// Subtree is the current value at a path with the change that set it.
type Subtree struct {
	Path    Path             `msgpack:"p" json:"path"`
	Version ident.Offset     `msgpack:"v" json:"version"` // offset of the last change; NoOffset if it never existed
	ID      string           `msgpack:"i" json:"id"`
	Author  ident.OperatorID `msgpack:"a" json:"author"`
	Value   []byte           `msgpack:"d" json:"-"` // empty if removed
}

// subtree is the stored form of a Subtree. A removed subtree keeps its version and
// recent changes, so that an old change cannot be accepted a second time.
type subtree struct {
	Subtree `msgpack:",inline"`
	Recent  []acceptedChange `msgpack:"r"` // the last recentChanges accepted changes, oldest first
}

// acceptedChange is the ID of an accepted change with the version it created.
type acceptedChange struct {
	ID      string       `msgpack:"i"`
	Version ident.Offset `msgpack:"v"`
}

// State is the fold of the settings stream. It is not safe for concurrent use.
type State struct {
	offset    ident.Offset
	level     uint16
	subtrees  map[Path]*subtree
	operators map[ident.OperatorID]Operator
	tree      *Tree // cached result of Tree; may be of an earlier offset
	treeStale bool  // a subtree has changed since tree was built
}

// New returns the state before the first record of the settings stream.
func New() *State {
	return &State{
		offset:    ident.NoOffset,
		level:     record.BaseLevel,
		subtrees:  map[Path]*subtree{},
		operators: map[ident.OperatorID]Operator{},
		treeStale: true,
	}
}

// Offset returns the offset of the last entry applied, NoOffset if none was.
func (s *State) Offset() ident.Offset { return s.offset }

// Level returns the stream's format level.
func (s *State) Level() uint16 { return s.level }

// Supported reports whether this program supports the stream's format level. If
// not, the state stays at the record that raised the level.
func (s *State) Supported() bool { return s.level <= MaxLevel }

// Subtree returns the subtree at a path. For a path that never existed it has the
// version NoOffset and no value.
func (s *State) Subtree(path Path) Subtree {
	if t := s.subtrees[path]; t != nil {
		return t.Subtree
	}
	return Subtree{Path: path, Version: ident.NoOffset}
}

// Paths returns the sorted paths of all subtrees that exist.
func (s *State) Paths() []Path {
	paths := slices.Sorted(maps.Keys(s.subtrees))
	return slices.DeleteFunc(paths, func(p Path) bool { return len(s.subtrees[p].Value) == 0 })
}

// Apply folds one log entry and returns a verdict for each of its records. An
// entry that is not a batch, or is at or before Offset, has no effect and no
// verdicts. Once the format level is above MaxLevel, no entry is applied any
// more, see Supported.
func (s *State) Apply(offset ident.Offset, data []byte) []Verdict {
	if offset <= s.offset || !s.Supported() {
		return nil
	}
	s.offset = offset
	batch, err := record.Unmarshal(data)
	if err != nil {
		return nil
	}
	verdicts := make([]Verdict, len(batch.Records))
	for i, r := range batch.Records {
		verdicts[i] = Verdict{Outcome: RefusedLevel}
		if r.Level <= s.level && s.Supported() {
			verdicts[i] = s.applyRecord(r)
		}
	}
	return verdicts
}

// applyRecord applies one record to the state.
func (s *State) applyRecord(r record.Record) Verdict {
	switch r.Kind {
	case KindChange:
		body, err := record.Decode[Change](r)
		if err != nil {
			return Verdict{Outcome: RefusedInvalid}
		}
		return s.applyChange(body)
	case KindCheckpoint:
		return Verdict{Outcome: Accepted} // a checkpoint repeats the state and changes nothing
	case KindRaiseLevel:
		body, err := record.Decode[RaiseLevel](r)
		if err != nil {
			return Verdict{Outcome: RefusedInvalid}
		}
		return s.raiseLevel(body)
	default:
		return Verdict{Outcome: RefusedInvalid}
	}
}

// raiseLevel raises the format level; it never lowers it.
func (s *State) raiseLevel(r RaiseLevel) Verdict {
	if r.Level <= s.level {
		return Verdict{Outcome: Repeated}
	}
	s.level = r.Level
	return Verdict{Outcome: Accepted}
}

// applyChange accepts a change if the subtree still has the version Base that the
// change was made against. A removed subtree keeps a version, the offset of its
// removal.
func (s *State) applyChange(c Change) Verdict {
	if !c.Path.Valid() || c.ID == "" || len(c.Value) > MaxValueBytes {
		return Verdict{Outcome: RefusedInvalid}
	}
	sub := s.subtrees[c.Path]
	if sub == nil {
		sub = &subtree{Subtree: Subtree{Path: c.Path, Version: ident.NoOffset}}
	}
	for _, earlier := range sub.Recent {
		if earlier.ID == c.ID {
			return Verdict{Outcome: Repeated, Version: earlier.Version}
		}
	}
	if sub.Version != c.Base {
		return Verdict{Outcome: Conflict, Current: sub.Subtree}
	}
	if !MayChange(s.operators, c.Author, c.Path) {
		return Verdict{Outcome: Forbidden}
	}
	if !s.applyOperatorChange(c) {
		return Verdict{Outcome: Lockout}
	}
	if len(c.Value) == 0 {
		c.Value = nil // nil and empty values encode differently; equal states need equal snapshots
	}
	sub.Subtree = Subtree{Path: c.Path, Version: s.offset, ID: c.ID, Author: c.Author, Value: c.Value}
	sub.Recent = append(sub.Recent, acceptedChange{ID: c.ID, Version: s.offset})
	if len(sub.Recent) > recentChanges {
		sub.Recent = slices.Clone(sub.Recent[len(sub.Recent)-recentChanges:])
	}
	s.subtrees[c.Path] = sub
	s.treeStale = true
	return Verdict{Outcome: Accepted, Version: s.offset}
}

// applyOperatorChange updates the operators if the change concerns one. It changes
// nothing and returns false if the change would lock all operators out.
func (s *State) applyOperatorChange(c Change) bool {
	next, ok := operatorsAfter(s.operators, c.Path, c.Value)
	if ok {
		s.operators = next
	}
	return ok
}

// operatorsAfter returns the operators after a change of a subtree, the same if it is
// not that of an operator. It returns false if operators would remain of which none has
// a key and all rights, because then nobody could change the settings any more.
func operatorsAfter(operators map[ident.OperatorID]Operator, path Path, value []byte) (map[ident.OperatorID]Operator, bool) {
	id, ok := strings.CutPrefix(string(path), "operators/")
	if !ok {
		return operators, true
	}
	next := maps.Clone(operators)
	delete(next, ident.OperatorID(id))
	if len(value) > 0 {
		next[ident.OperatorID(id)] = decodeOperator(value)
	}
	return next, len(next) == 0 || anyAdministrator(next)
}

// snapshot is the serialized form of a State.
type snapshot struct {
	Offset   ident.Offset `msgpack:"o"`
	Level    uint16       `msgpack:"l"`
	Subtrees []subtree    `msgpack:"s"` // sorted by path
}

// Snapshot encodes the state as msgpack. Equal states encode to equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	image := snapshot{Offset: s.offset, Level: s.level, Subtrees: make([]subtree, 0, len(s.subtrees))}
	for _, path := range slices.Sorted(maps.Keys(s.subtrees)) {
		image.Subtrees = append(image.Subtrees, *s.subtrees[path])
	}
	raw, err := msgpack.Marshal(&image)
	return raw, errors.Wrap(err, "encode settings snapshot")
}

// Load decodes the result of Snapshot. It fails if the bytes are not a snapshot or
// if the stream's format level is above MaxLevel.
func Load(raw []byte) (*State, error) {
	var image snapshot
	if err := msgpack.Unmarshal(raw, &image); err != nil {
		return nil, errors.Wrap(err, "decode settings snapshot")
	}
	if image.Level == 0 || image.Level > MaxLevel {
		return nil, errors.Errorf("settings snapshot has level %d, this program knows %d", image.Level, MaxLevel)
	}
	s := New()
	s.offset = image.Offset
	s.level = image.Level
	for _, t := range image.Subtrees {
		s.subtrees[t.Path] = &t
		id, isOperator := strings.CutPrefix(string(t.Path), "operators/")
		if isOperator && len(t.Value) > 0 {
			s.operators[ident.OperatorID(id)] = decodeOperator(t.Value)
		}
	}
	return s, nil
}
