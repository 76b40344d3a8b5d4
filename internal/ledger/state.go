package ledger

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// MaxLevel is the highest format level that this program understands.
const MaxLevel = record.BaseLevel

// Sizes of what a fold remembers. They are part of the format: two programs
// with different sizes would disagree, so a change needs a new level.
const (
	// BilledKeyWindow is how many billed keys of a shard are remembered. A
	// second run of a key that is settled after so many others is billed.
	BilledKeyWindow = 1 << 13
	// ClaimWindow is how many claims of a shard are remembered. A key that
	// must not be repeated is protected until so many later claims.
	ClaimWindow = 1 << 14
	// TopUpWindow is how many top-up identities of a team are remembered.
	TopUpWindow = 1 << 12
)

// State is the fold of one ledger stream. It is not safe for concurrent use.
type State struct {
	shard  int
	shards int
	offset ident.Offset
	level  uint16

	budgets map[ident.TeamID]*budget
	marks   map[ident.Incarnation]uint64    // last sequence of each writer that is not closed
	closed  rangeSet                        // closed incarnations
	settled map[ident.Incarnation]*rangeSet // settled run numbers of each gate that is not closed
	billed  window[KeyBill]                 // by the keys of billed runs
	horizon ident.Offset                    // of the newest bill that is forgotten
	claims  window[ClaimHolder]
	floor   uint64 // highest Settle.Floor of the batch that is being applied
}

// ClaimHolder is the winner of a claim.
type ClaimHolder struct {
	Gate   ident.Incarnation
	Offset ident.Offset
}

// KeyBill is the run for which a key was billed.
type KeyBill struct {
	Run    ident.RunID
	Holder ident.Incarnation // of the grant that paid
	Tokens int64
	Offset ident.Offset // of the settlement
}

// New returns the state before the first record of a shard's stream. The
// number of shards is fixed for the fleet.
func New(shard, shards int) *State {
	return &State{
		shard:   shard,
		shards:  shards,
		offset:  ident.NoOffset,
		level:   record.BaseLevel,
		budgets: map[ident.TeamID]*budget{},
		marks:   map[ident.Incarnation]uint64{},
		settled: map[ident.Incarnation]*rangeSet{},
		billed:  newWindow[KeyBill](BilledKeyWindow),
		horizon: ident.NoOffset,
		claims:  newWindow[ClaimHolder](ClaimWindow),
	}
}

// Apply folds one log entry and returns a verdict for each of its records. An
// entry that is not a batch has no effect and no verdicts. Entries must be
// applied in order; one at or before Offset is ignored. Once the level is
// above MaxLevel, nothing is applied any more: see Supported.
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
	refusal := s.accept(batch.Identity)
	for i := range batch.Records {
		verdicts[i] = Verdict{Outcome: refusal, Offset: offset}
		if refusal == Accepted && s.Supported() {
			verdicts[i] = s.applyRecord(batch.Identity.Writer, batch.Records[i])
		}
	}
	s.raiseFloor(batch.Identity.Writer)
	return verdicts
}

// accept checks the identity of a batch and moves the writer's mark.
func (s *State) accept(id record.Identity) Outcome {
	if id.Writer == 0 || id.Sequence == 0 {
		return RefusedInvalid
	}
	if s.closed.has(uint64(id.Writer)) {
		return RefusedClosed
	}
	mark := s.marks[id.Writer]
	if id.Sequence <= mark {
		return Repeated
	}
	if id.Sequence > mark+1 {
		return RefusedGap
	}
	s.marks[id.Writer] = id.Sequence
	return Accepted
}

// Offset returns the offset of the last entry applied, NoOffset if none was.
func (s *State) Offset() ident.Offset {
	return s.offset
}

// Level returns the stream's format level.
func (s *State) Level() uint16 {
	return s.level
}

// Supported reports whether this program understands the stream's level. If
// not, the state stands still at the record that raised it.
func (s *State) Supported() bool {
	return s.level <= MaxLevel
}

// LastSequence returns the last sequence that was accepted of a writer.
func (s *State) LastSequence(writer ident.Incarnation) uint64 {
	return s.marks[writer]
}

// Closed reports whether an incarnation is closed in this shard.
func (s *State) Closed(incarnation ident.Incarnation) bool {
	return s.closed.has(uint64(incarnation))
}

// Budget returns a team's budget, zero if it was never topped up.
func (s *State) Budget(team ident.TeamID) Budget {
	b := s.budgets[team]
	if b == nil {
		return Budget{}
	}
	return b.view()
}

// Grant returns the grant of a holder, zero tokens if it has none.
func (s *State) Grant(team ident.TeamID, holder ident.Incarnation) Grant {
	if b := s.budgets[team]; b != nil {
		if grant := b.grant(holder); grant != nil {
			copied := *grant
			copied.BorrowerBills = slices.Clone(copied.BorrowerBills)
			return copied
		}
	}
	return Grant{Holder: holder}
}

// Grants returns a copy of the grants of a team, sorted by holder.
func (s *State) Grants(team ident.TeamID) []Grant {
	b := s.budgets[team]
	if b == nil {
		return nil
	}
	grants := slices.Clone(b.grants)
	for i := range grants {
		grants[i].BorrowerBills = slices.Clone(grants[i].BorrowerBills)
	}
	return grants
}

// ForEachGrant calls visit for the grants of a team, sorted by holder. They must
// neither be changed nor kept.
func (s *State) ForEachGrant(team ident.TeamID, visit func(*Grant)) {
	b := s.budgets[team]
	if b == nil {
		return
	}
	for i := range b.grants {
		visit(&b.grants[i])
	}
}

// TeamCount returns the number of teams that were ever topped up.
func (s *State) TeamCount() int {
	return len(s.budgets)
}

// ForEachTeam calls visit for every team, in no particular order.
func (s *State) ForEachTeam(visit func(ident.TeamID, Budget)) {
	for team, b := range s.budgets {
		visit(team, b.view())
	}
}

// Settled reports whether a run needs no settlement any more: it was settled,
// or its gate is closed.
func (s *State) Settled(run ident.RunID) bool {
	if s.closed.has(uint64(run.Gate)) {
		return true
	}
	runs := s.settled[run.Gate]
	return runs != nil && runs.has(run.Number)
}

// BillFor returns what a key was billed for. A router whose call was lost
// learns from it what its reservation was used for.
func (s *State) BillFor(key ident.Key) (KeyBill, bool) {
	return s.billed.get(key)
}

// BillHorizon returns the offset up to which bills may be forgotten: a key
// that BilledKey does not know was not billed behind it.
func (s *State) BillHorizon() ident.Offset {
	return s.horizon
}

// Claim returns the winner of a key's claim.
func (s *State) Claim(key ident.Key) (ClaimHolder, bool) {
	return s.claims.get(key)
}

// Hash returns a digest of the whole state; equal states have equal digests.
func (s *State) Hash() uint64 {
	raw, err := s.Snapshot()
	if err != nil {
		panic(err) // encoding to memory of plain types cannot fail
	}
	return xxhash.Sum64(raw)
}
