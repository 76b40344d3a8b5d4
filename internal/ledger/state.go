package ledger

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// MaxLevel is the highest format level that this program supports.
const MaxLevel = record.BaseLevel

// Sizes of the fold's windows. They are part of the format: programs with
// different sizes would reach different states, so a change requires a new
// format level.
const (
	// BilledKeyWindow is how many billed keys of a shard are remembered. A
	// second run of a key is billed again if it settles after that many other
	// keys were billed.
	BilledKeyWindow = 1 << 13
	// ClaimWindow is how many claims of a shard are remembered. A key that
	// must run at most once is protected until that many later claims.
	ClaimWindow = 1 << 14
	// TopUpWindow is how many top-up IDs of a team are remembered.
	TopUpWindow = 1 << 12
)

// State is the fold of one ledger stream. It is not safe for concurrent use.
type State struct {
	shard  int
	shards int
	offset ident.Offset
	level  uint16

	budgets         map[ident.TeamID]*budget
	lastSequences   map[ident.Incarnation]uint64    // last accepted sequence of each writer that is not closed
	closed          rangeSet                        // closed incarnations
	settled         map[ident.Incarnation]*rangeSet // settled run numbers of each gate that is not closed
	billed          window[KeyBill]                 // by key of the billed run
	horizon         ident.Offset                    // offset of the newest bill evicted from billed
	claims          window[ClaimHolder]
	lowestUnsettled uint64 // highest Settle.LowestUnsettled of the batch being applied
}

// ClaimHolder is the gate that holds the claim of a key.
type ClaimHolder struct {
	Gate   ident.Incarnation
	Offset ident.Offset // of the claim
}

// KeyBill is the run for which a key was billed.
type KeyBill struct {
	Run    ident.RunID
	Holder ident.Incarnation // of the grant that was charged
	Tokens int64
	Offset ident.Offset // of the settlement
}

// New returns the state before the first record of a shard's stream. The number
// of shards is the same for the whole fleet and never changes.
func New(shard, shards int) *State {
	return &State{
		shard:         shard,
		shards:        shards,
		offset:        ident.NoOffset,
		level:         record.BaseLevel,
		budgets:       map[ident.TeamID]*budget{},
		lastSequences: map[ident.Incarnation]uint64{},
		settled:       map[ident.Incarnation]*rangeSet{},
		billed:        newWindow[KeyBill](BilledKeyWindow),
		horizon:       ident.NoOffset,
		claims:        newWindow[ClaimHolder](ClaimWindow),
	}
}

// Apply folds one log entry and returns a verdict for each of its records. An
// entry that is not a batch has no effect and no verdicts. Entries must be
// applied in log order; an entry at or before Offset is ignored. Once the format
// level is above MaxLevel, no entry is applied any more, see Supported.
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
	refusal := s.acceptBatch(batch.Identity)
	for i := range batch.Records {
		verdicts[i] = Verdict{Outcome: refusal, Offset: offset}
		if refusal == Accepted && s.Supported() {
			verdicts[i] = s.applyRecord(batch.Identity.Writer, batch.Records[i])
		}
	}
	s.applyLowestUnsettled(batch.Identity.Writer)
	return verdicts
}

// acceptBatch checks the writer and sequence of a batch. If the batch is the
// writer's next one, it advances the writer's last sequence.
func (s *State) acceptBatch(id record.Identity) Outcome {
	if id.Writer == 0 || id.Sequence == 0 {
		return RefusedInvalid
	}
	if s.closed.contains(uint64(id.Writer)) {
		return RefusedClosed
	}
	last := s.lastSequences[id.Writer]
	if id.Sequence <= last {
		return Repeated
	}
	if id.Sequence > last+1 {
		return RefusedGap
	}
	s.lastSequences[id.Writer] = id.Sequence
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

// Supported reports whether this program supports the stream's format level. If
// not, the state stays at the record that raised the level.
func (s *State) Supported() bool {
	return s.level <= MaxLevel
}

// LastSequence returns the last accepted sequence of a writer, zero if there is
// none.
func (s *State) LastSequence(writer ident.Incarnation) uint64 {
	return s.lastSequences[writer]
}

// Closed reports whether an incarnation is closed in this shard.
func (s *State) Closed(incarnation ident.Incarnation) bool {
	return s.closed.contains(uint64(incarnation))
}

// Budget returns a team's budget, the zero Budget if it was never topped up.
func (s *State) Budget(team ident.TeamID) Budget {
	b := s.budgets[team]
	if b == nil {
		return Budget{}
	}
	return b.view()
}

// Grant returns a copy of a holder's grant, one without tokens if it has none.
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

// ForEachGrant calls visit for each grant of a team, sorted by holder. Visit must
// neither change nor retain the grant.
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

// Settled reports whether a run needs no further settlement, because it was
// settled or its gate is closed.
func (s *State) Settled(run ident.RunID) bool {
	if s.closed.contains(uint64(run.Gate)) {
		return true
	}
	runs := s.settled[run.Gate]
	return runs != nil && runs.contains(run.Number)
}

// BillFor returns the bill of a key, if it is known. A router that lost the
// connection during a run derives from it how many tokens of its reservation
// the run used.
func (s *State) BillFor(key ident.Key) (KeyBill, bool) {
	return s.billed.get(key)
}

// BillHorizon returns the offset of the newest evicted bill, NoOffset if none was
// evicted: a key that BillFor does not know was not billed after this offset.
func (s *State) BillHorizon() ident.Offset {
	return s.horizon
}

// Claim returns the holder of a key's claim, if there is one.
func (s *State) Claim(key ident.Key) (ClaimHolder, bool) {
	return s.claims.get(key)
}

// Hash returns a digest of the whole state; equal states have equal digests.
func (s *State) Hash() uint64 {
	raw, err := s.Snapshot()
	if err != nil {
		panic(err) // msgpack encoding of plain types into memory cannot fail
	}
	return xxhash.Sum64(raw)
}
