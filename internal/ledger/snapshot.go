package ledger

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// snapshot is the serialized form of a State. Every list has a defined order, so
// that equal states encode to equal bytes.
type snapshot struct {
	Shard   int                `msgpack:"sh"`
	Shards  int                `msgpack:"ss"`
	Offset  ident.Offset       `msgpack:"o"`
	Level   uint16             `msgpack:"l"`
	Budgets []budgetSnapshot   `msgpack:"b"`
	Marks   []sequenceSnapshot `msgpack:"m"`
	Closed  []span             `msgpack:"c"`
	Settled []settledSnapshot  `msgpack:"s"`
	Billed  []billSnapshot     `msgpack:"k"` // oldest first
	Horizon ident.Offset       `msgpack:"h"`
	Claims  []claimSnapshot    `msgpack:"cl"` // oldest first
}

type budgetSnapshot struct {
	Team     ident.TeamID `msgpack:"t"`
	TopUps   int64        `msgpack:"u"`
	Billed   int64        `msgpack:"b"`
	Overrun  int64        `msgpack:"o,omitempty"`
	Late     int64        `msgpack:"l,omitempty"`
	Grants   []Grant      `msgpack:"g"`
	TopUpIDs []ident.Key  `msgpack:"i"` // oldest first
}

type sequenceSnapshot struct {
	Writer   ident.Incarnation `msgpack:"w"`
	Sequence uint64            `msgpack:"s"`
}

type settledSnapshot struct {
	Gate ident.Incarnation `msgpack:"g"`
	Runs []span            `msgpack:"r"`
}

type billSnapshot struct {
	Key    ident.Key         `msgpack:"k"`
	Run    ident.RunID       `msgpack:"r"`
	Holder ident.Incarnation `msgpack:"h"`
	Tokens int64             `msgpack:"n"`
	Offset ident.Offset      `msgpack:"o"`
}

type claimSnapshot struct {
	Key    ident.Key         `msgpack:"k"`
	Gate   ident.Incarnation `msgpack:"g"`
	Offset ident.Offset      `msgpack:"o"`
}

// Snapshot encodes the state as msgpack. Equal states encode to equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	image := snapshot{
		Shard:   s.shard,
		Shards:  s.shards,
		Offset:  s.offset,
		Level:   s.level,
		Budgets: s.budgetSnapshots(),
		Marks:   s.sequenceSnapshots(),
		Closed:  nilIfEmpty(s.closed.spans),
		Settled: s.settledSnapshots(),
		Horizon: s.horizon,
	}
	s.billed.each(func(key ident.Key, bill KeyBill) {
		image.Billed = append(image.Billed, billSnapshot{
			Key: key, Run: bill.Run, Holder: bill.Holder, Tokens: bill.Tokens, Offset: bill.Offset,
		})
	})
	s.claims.each(func(key ident.Key, holder ClaimHolder) {
		image.Claims = append(image.Claims, claimSnapshot{Key: key, Gate: holder.Gate, Offset: holder.Offset})
	})
	raw, err := msgpack.Marshal(&image)
	return raw, errors.Wrap(err, "encode ledger snapshot")
}

func (s *State) budgetSnapshots() []budgetSnapshot {
	images := make([]budgetSnapshot, 0, len(s.budgets))
	for team, b := range s.budgets {
		images = append(images, budgetSnapshot{
			Team:     team,
			TopUps:   b.topUps,
			Billed:   b.billed,
			Overrun:  b.overrun,
			Late:     b.late,
			Grants:   nilIfEmpty(b.grants),
			TopUpIDs: windowKeys(&b.topUpIDs),
		})
	}
	slices.SortFunc(images, func(a, b budgetSnapshot) int { return cmp.Compare(a.Team, b.Team) })
	return images
}

func (s *State) sequenceSnapshots() []sequenceSnapshot {
	images := make([]sequenceSnapshot, 0, len(s.lastSequences))
	for writer, sequence := range s.lastSequences {
		images = append(images, sequenceSnapshot{Writer: writer, Sequence: sequence})
	}
	slices.SortFunc(images, func(a, b sequenceSnapshot) int { return cmp.Compare(a.Writer, b.Writer) })
	return images
}

func (s *State) settledSnapshots() []settledSnapshot {
	images := make([]settledSnapshot, 0, len(s.settled))
	for gate, runs := range s.settled {
		images = append(images, settledSnapshot{Gate: gate, Runs: nilIfEmpty(runs.spans)})
	}
	slices.SortFunc(images, func(a, b settledSnapshot) int { return cmp.Compare(a.Gate, b.Gate) })
	return images
}

func windowKeys(w *window[struct{}]) []ident.Key {
	var keys []ident.Key
	w.each(func(key ident.Key, _ struct{}) { keys = append(keys, key) })
	return keys
}

// nilIfEmpty returns nil for an empty list: msgpack encodes nil and empty lists
// differently, and equal states must have equal bytes.
func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// Load decodes the result of Snapshot. It fails if the bytes are not a complete
// snapshot or if the stream's format level is above MaxLevel.
func Load(raw []byte) (*State, error) {
	var image snapshot
	if err := msgpack.Unmarshal(raw, &image); err != nil {
		return nil, errors.Wrap(err, "decode ledger snapshot")
	}
	if image.Level > MaxLevel {
		return nil, errors.Errorf("ledger snapshot has level %d, this program knows %d", image.Level, MaxLevel)
	}
	if image.Level == 0 || image.Shards <= 0 {
		return nil, errors.New("ledger snapshot is incomplete")
	}
	s := New(image.Shard, image.Shards)
	s.offset = image.Offset
	s.level = image.Level
	s.closed.spans = image.Closed
	for _, b := range image.Budgets {
		s.budgets[b.Team] = b.restore()
	}
	for _, m := range image.Marks {
		s.lastSequences[m.Writer] = m.Sequence
	}
	for _, g := range image.Settled {
		s.settled[g.Gate] = &rangeSet{spans: g.Runs}
	}
	s.horizon = image.Horizon
	for _, b := range image.Billed {
		s.billed.put(b.Key, KeyBill{Run: b.Run, Holder: b.Holder, Tokens: b.Tokens, Offset: b.Offset})
	}
	for _, c := range image.Claims {
		s.claims.put(c.Key, ClaimHolder{Gate: c.Gate, Offset: c.Offset})
	}
	return s, nil
}

// restore returns the budget of a snapshot; Outstanding is the sum over the
// grants.
func (image budgetSnapshot) restore() *budget {
	b := newBudget()
	b.topUps = image.TopUps
	b.billed = image.Billed
	b.overrun = image.Overrun
	b.late = image.Late
	b.grants = image.Grants
	for _, grant := range b.grants {
		b.outstanding += grant.Outstanding()
	}
	for _, id := range image.TopUpIDs {
		b.topUpIDs.put(id, struct{}{})
	}
	return b
}
