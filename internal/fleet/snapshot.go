package fleet

import (
	"slices"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// snapshot is the serialised form of a State. Every list has a fixed order, so
// that equal states have equal bytes.
type snapshot struct {
	Offset  ident.Offset         `msgpack:"o"`
	Level   uint16               `msgpack:"l"`
	Shards  int                  `msgpack:"s"`
	Members []memberSnapshot     `msgpack:"m"`
	Recent  []recentRegistration `msgpack:"n"`

	Ended []ident.Incarnation `msgpack:"e"` // oldest first
}

type memberSnapshot struct {
	Incarnation  ident.Incarnation   `msgpack:"i"`
	Registration Register            `msgpack:"r"`
	Leaving      bool                `msgpack:"v"`
	Sealed       bool                `msgpack:"s"`
	SealedAt     ident.Offset        `msgpack:"a"`
	Destroyed    bool                `msgpack:"d"`
	Acked        []ident.Incarnation `msgpack:"k"`
}

// Snapshot encodes the state. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	image := snapshot{
		Offset:  s.offset,
		Level:   s.level,
		Shards:  s.shards,
		Members: make([]memberSnapshot, 0, len(s.members)),
		Recent:  append(make([]recentRegistration, 0, len(s.recent)), s.recent...),
		Ended:   append(make([]ident.Incarnation, 0, len(s.recentlyClosed)), s.recentlyClosed...),
	}
	for _, m := range s.sortedMembers() {
		image.Members = append(image.Members, m.snapshot())
	}
	raw, err := msgpack.Marshal(&image)
	return raw, errors.Wrap(err, "encode fleet snapshot")
}

func (m *member) snapshot() memberSnapshot {
	image := memberSnapshot{
		Incarnation:  m.Incarnation,
		Registration: m.Registration,
		Leaving:      m.Leaving,
		Sealed:       m.Sealed,
		SealedAt:     m.sealedAt,
		Destroyed:    m.destroyed,
		Acked:        make([]ident.Incarnation, 0, len(m.ackedBy)),
	}
	for incarnation := range m.ackedBy {
		image.Acked = append(image.Acked, incarnation)
	}
	slices.Sort(image.Acked)
	return image
}

// Load decodes a snapshot. It fails if the bytes are not a snapshot or if the
// stream's level is above MaxLevel.
func Load(raw []byte) (*State, error) {
	var image snapshot
	if err := msgpack.Unmarshal(raw, &image); err != nil {
		return nil, errors.Wrap(err, "decode fleet snapshot")
	}
	if image.Level == 0 || image.Level > MaxLevel {
		return nil, errors.Errorf("fleet snapshot has level %d, this program knows %d", image.Level, MaxLevel)
	}
	s := New()
	s.offset = image.Offset
	s.level = image.Level
	s.shards = image.Shards
	s.recent = image.Recent
	s.recentlyClosed = image.Ended
	for _, n := range image.Recent {
		s.nonces[n.Nonce] = n.Incarnation
	}
	for _, m := range image.Members {
		s.members[m.Incarnation] = m.restore()
	}
	return s, nil
}

func (image memberSnapshot) restore() *member {
	m := &member{
		Member: Member{
			Incarnation:  image.Incarnation,
			Registration: image.Registration,
			Leaving:      image.Leaving,
			Sealed:       image.Sealed,
		},
		sealedAt:  image.SealedAt,
		destroyed: image.Destroyed,
	}
	if image.Sealed {
		m.ackedBy = make(map[ident.Incarnation]struct{}, len(image.Acked))
	}
	for _, incarnation := range image.Acked {
		m.ackedBy[incarnation] = struct{}{}
		m.ackOrder = append(m.ackOrder, incarnation)
	}
	return m
}
