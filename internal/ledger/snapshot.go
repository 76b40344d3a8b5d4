package ledger

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// snapshot is the serial form of a State. Every list is sorted, so that equal
// states have equal bytes.
type snapshot struct {
	Shard   int            `msgpack:"sh"`
	Shards  int            `msgpack:"ss"`
	Offset  ident.Offset   `msgpack:"o"`
	Level   uint16         `msgpack:"l"`
	Budgets []budgetImage  `msgpack:"b"`
	Marks   []markImage    `msgpack:"m"`
	Closed  []span         `msgpack:"c"`
	Settled []settledImage `msgpack:"s"`
	Billed  []billImage    `msgpack:"k"` // oldest first
	Horizon ident.Offset   `msgpack:"h"`
	Claims  []claimImage   `msgpack:"cl"` // oldest first
}

type budgetImage struct {
	Team     ident.TeamID `msgpack:"t"`
	TopUps   int64        `msgpack:"u"`
	Billed   int64        `msgpack:"b"`
	Overrun  int64        `msgpack:"o,omitempty"`
	Late     int64        `msgpack:"l,omitempty"`
	Grants   []Grant      `msgpack:"g"`
	TopUpIDs []ident.Key  `msgpack:"i"` // oldest first
}

type markImage struct {
	Writer   ident.Incarnation `msgpack:"w"`
	Sequence uint64            `msgpack:"s"`
}

type settledImage struct {
	Gate ident.Incarnation `msgpack:"g"`
	Runs []span            `msgpack:"r"`
}

type billImage struct {
	Key    ident.Key         `msgpack:"k"`
	Run    ident.RunID       `msgpack:"r"`
	Holder ident.Incarnation `msgpack:"h"`
	Tokens int64             `msgpack:"n"`
	Offset ident.Offset      `msgpack:"o"`
}

type claimImage struct {
	Key    ident.Key         `msgpack:"k"`
	Gate   ident.Incarnation `msgpack:"g"`
	Offset ident.Offset      `msgpack:"o"`
}

// Snapshot encodes the state. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	image := snapshot{
		Shard:   s.shard,
		Shards:  s.shards,
		Offset:  s.offset,
		Level:   s.level,
		Budgets: s.budgetImages(),
		Marks:   s.markImages(),
		Closed:  canonical(s.closed.spans),
		Settled: s.settledImages(),
		Horizon: s.horizon,
	}
	s.billed.each(func(key ident.Key, bill KeyBill) {
		image.Billed = append(image.Billed, billImage{
			Key: key, Run: bill.Run, Holder: bill.Holder, Tokens: bill.Tokens, Offset: bill.Offset,
		})
	})
	s.claims.each(func(key ident.Key, holder ClaimHolder) {
		image.Claims = append(image.Claims, claimImage{Key: key, Gate: holder.Gate, Offset: holder.Offset})
	})
	raw, err := msgpack.Marshal(&image)
	return raw, errors.Wrap(err, "encode ledger snapshot")
}

func (s *State) budgetImages() []budgetImage {
	images := make([]budgetImage, 0, len(s.budgets))
	for team, b := range s.budgets {
		images = append(images, budgetImage{
			Team:     team,
			TopUps:   b.topUps,
			Billed:   b.billed,
			Overrun:  b.overrun,
			Late:     b.late,
			Grants:   canonical(b.grants),
			TopUpIDs: keysOf(&b.topUpIDs),
		})
	}
	slices.SortFunc(images, func(a, b budgetImage) int { return cmp.Compare(a.Team, b.Team) })
	return images
}

func (s *State) markImages() []markImage {
	images := make([]markImage, 0, len(s.marks))
	for writer, sequence := range s.marks {
		images = append(images, markImage{Writer: writer, Sequence: sequence})
	}
	slices.SortFunc(images, func(a, b markImage) int { return cmp.Compare(a.Writer, b.Writer) })
	return images
}

func (s *State) settledImages() []settledImage {
	images := make([]settledImage, 0, len(s.settled))
	for gate, runs := range s.settled {
		images = append(images, settledImage{Gate: gate, Runs: canonical(runs.spans)})
	}
	slices.SortFunc(images, func(a, b settledImage) int { return cmp.Compare(a.Gate, b.Gate) })
	return images
}

func keysOf(w *window[struct{}]) []ident.Key {
	var keys []ident.Key
	w.each(func(key ident.Key, _ struct{}) { keys = append(keys, key) })
	return keys
}

// canonical returns nil for an empty list, which has a serial form of its own.
func canonical[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// Load decodes a snapshot. It fails if the bytes are not a snapshot or if the
// stream's level is above MaxLevel.
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
		s.budgets[b.Team] = b.load()
	}
	for _, m := range image.Marks {
		s.marks[m.Writer] = m.Sequence
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

func (image budgetImage) load() *budget {
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
