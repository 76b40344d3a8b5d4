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

// MaxLevel is the highest format level that this program understands.
const MaxLevel = record.BaseLevel

// Limits of the format. They are part of it: a change needs a new level.
const (
	// MaxValueBytes bounds the value of a subtree.
	MaxValueBytes = 256 << 10
	// recentChanges is how many accepted changes of a subtree are known by
	// their ID.
	recentChanges = 8
)

// Outcome is the fold's verdict on one change.
type Outcome uint8

// Verdicts of the fold.
const (
	Accepted       Outcome = iota
	Repeated               // the change was accepted before, at Verdict.Version
	Conflict               // the subtree has changed since Base; see Verdict.Winner
	Forbidden              // the author has no right to the subtree
	Lockout                // no operator would be left with all rights
	RefusedLevel           // the record's level is above the stream's
	RefusedInvalid         // the record breaks a rule
)

// Verdict is the outcome of one record of a batch.
type Verdict struct {
	Outcome Outcome
	Version ident.Offset // of the accepted change
	Current Subtree      // of a conflict: what stands now
}

// Subtree is what stands at a path.
type Subtree struct {
	Path    Path             `msgpack:"p" json:"path"`
	Version ident.Offset     `msgpack:"v" json:"version"` // NoOffset if it never existed
	ID      string           `msgpack:"i" json:"id"`
	Author  ident.OperatorID `msgpack:"a" json:"author"`
	Value   []byte           `msgpack:"d" json:"-"` // empty if removed
}

// subtree keeps its version also when removed, so that an old change cannot
// be accepted a second time.
type subtree struct {
	Subtree `msgpack:",inline"`
	Recent  []change `msgpack:"r"` // accepted, oldest first
}

type change struct {
	ID      string       `msgpack:"i"`
	Version ident.Offset `msgpack:"v"`
}

// State is the fold of the settings stream. It is not safe for concurrent use.
type State struct {
	offset    ident.Offset
	level     uint16
	subtrees  map[Path]*subtree
	operators map[ident.OperatorID]Operator
	tree      *Tree // of an earlier offset if older than offset; see Tree
	stale     bool
}

// New returns the state before the first record.
func New() *State {
	return &State{
		offset:    ident.NoOffset,
		level:     record.BaseLevel,
		subtrees:  map[Path]*subtree{},
		operators: map[ident.OperatorID]Operator{},
		stale:     true,
	}
}

// Offset returns the offset of the last entry applied, NoOffset if none was.
func (s *State) Offset() ident.Offset { return s.offset }

// Level returns the stream's format level.
func (s *State) Level() uint16 { return s.level }

// Supported reports whether this program understands the stream's level. If
// not, the state stands still at the record that raised it.
func (s *State) Supported() bool { return s.level <= MaxLevel }

// Subtree returns what stands at a path.
func (s *State) Subtree(path Path) Subtree {
	if t := s.subtrees[path]; t != nil {
		return t.Subtree
	}
	return Subtree{Path: path, Version: ident.NoOffset}
}

// Paths lists the subtrees that exist, sorted.
func (s *State) Paths() []Path {
	paths := slices.Sorted(maps.Keys(s.subtrees))
	return slices.DeleteFunc(paths, func(p Path) bool { return len(s.subtrees[p].Value) == 0 })
}

// Apply folds one log entry and returns a verdict for each of its records.
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

func (s *State) applyRecord(r record.Record) Verdict {
	switch r.Kind {
	case KindChange:
		body, err := record.Decode[Change](r)
		if err != nil {
			return Verdict{Outcome: RefusedInvalid}
		}
		return s.change(body)
	case KindCheckpoint:
		return Verdict{Outcome: Accepted} // it repeats the state, it does not change it
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

func (s *State) raiseLevel(r RaiseLevel) Verdict {
	if r.Level <= s.level {
		return Verdict{Outcome: Repeated}
	}
	s.level = r.Level
	return Verdict{Outcome: Accepted}
}

// change accepts a change if the subtree is still at the version that it was
// made against. The path's version survives a removal.
func (s *State) change(c Change) Verdict {
	if !c.Path.Valid() || c.ID == "" || len(c.Value) > MaxValueBytes {
		return Verdict{Outcome: RefusedInvalid}
	}
	t := s.subtrees[c.Path]
	if t == nil {
		t = &subtree{Subtree: Subtree{Path: c.Path, Version: ident.NoOffset}}
	}
	for _, done := range t.Recent {
		if done.ID == c.ID {
			return Verdict{Outcome: Repeated, Version: done.Version}
		}
	}
	if t.Version != c.Base {
		return Verdict{Outcome: Conflict, Current: t.Subtree}
	}
	if !MayChange(s.operators, c.Author, c.Path) {
		return Verdict{Outcome: Forbidden}
	}
	if !s.replaceOperator(c) {
		return Verdict{Outcome: Lockout}
	}
	if len(c.Value) == 0 {
		c.Value = nil // one form, for equal snapshots
	}
	t.Subtree = Subtree{Path: c.Path, Version: s.offset, ID: c.ID, Author: c.Author, Value: c.Value}
	t.Recent = append(t.Recent, change{ID: c.ID, Version: s.offset})
	if len(t.Recent) > recentChanges {
		t.Recent = slices.Clone(t.Recent[len(t.Recent)-recentChanges:])
	}
	s.subtrees[c.Path] = t
	s.stale = true
	return Verdict{Outcome: Accepted, Version: s.offset}
}

// replaceOperator takes over a change of an operator. It fails if operators
// would be left of which none has all rights.
func (s *State) replaceOperator(c Change) bool {
	id, ok := strings.CutPrefix(string(c.Path), "operators/")
	if !ok {
		return true
	}
	next := maps.Clone(s.operators)
	delete(next, ident.OperatorID(id))
	if len(c.Value) > 0 {
		next[ident.OperatorID(id)] = decodeOperator(c.Value)
	}
	if len(next) > 0 && !anyAdministrator(next) {
		return false
	}
	s.operators = next
	return true
}

// snapshot is the serial form of a State.
type snapshot struct {
	Offset   ident.Offset `msgpack:"o"`
	Level    uint16       `msgpack:"l"`
	Subtrees []subtree    `msgpack:"s"` // sorted by path
}

// Snapshot encodes the state. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	image := snapshot{Offset: s.offset, Level: s.level, Subtrees: make([]subtree, 0, len(s.subtrees))}
	for _, path := range slices.Sorted(maps.Keys(s.subtrees)) {
		image.Subtrees = append(image.Subtrees, *s.subtrees[path])
	}
	raw, err := msgpack.Marshal(&image)
	return raw, errors.Wrap(err, "encode settings snapshot")
}

// Load decodes a snapshot. It fails if the bytes are not a snapshot or if the
// stream's level is above MaxLevel.
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
