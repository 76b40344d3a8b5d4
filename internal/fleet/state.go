package fleet

import (
	"github.com/google/uuid"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// MaxLevel is the highest format level that this program understands.
const MaxLevel = record.BaseLevel

// RegistrationWindow is how many entries a registration may stand behind what
// its process had read. Nonces are remembered for as long, so that a repeated
// registration is recognised exactly and memory stays bounded. It is part of
// the format.
const RegistrationWindow = 4096

// endedKept is how many of the lives that ended last are known by name. It is
// part of the format.
const endedKept = 1024

// Outcome is the fold's verdict on one record.
type Outcome uint8

// Verdicts of the fold.
const (
	Accepted       Outcome = iota
	Repeated               // it was applied before; nothing changed
	RefusedLevel           // the record's level is above the stream's, or the program's below it
	RefusedInvalid         // the record breaks a rule
	RefusedWriter          // the writer is no member
	RefusedShards          // the fleet has another number of ledger shards
	RefusedStale           // the registration was written too long ago
)

// Verdict is the outcome of one record of a batch.
type Verdict struct {
	Outcome     Outcome
	Incarnation ident.Incarnation // of a registration
	Offset      ident.Offset
}

// State is the fold of the fleet stream. It is not safe for concurrent use.
type State struct {
	offset  ident.Offset
	level   uint16
	shards  int // ledger shards of the fleet, 0 before the first registration
	members map[ident.Incarnation]*member
	nonces  map[uuid.UUID]ident.Incarnation
	recent  []nonce             // oldest first
	ended   []ident.Incarnation // that ended last, oldest first; views share it
}

type nonce struct {
	Nonce       uuid.UUID         `msgpack:"n"`
	Incarnation ident.Incarnation `msgpack:"i"`
}

// member is a life that is not decided: it is live, or somebody may still owe
// a settlement for its runs or grants.
type member struct {
	Member
	sealedAt  ident.Offset
	destroyed bool
	acked     map[ident.Incarnation]struct{} // who deals with it no more
	ackedIn   []ident.Incarnation            // the same, in order; only ever appended to, views share it
}

// New returns the state before the first record.
func New() *State {
	return &State{
		offset:  ident.NoOffset,
		level:   record.BaseLevel,
		members: map[ident.Incarnation]*member{},
		nonces:  map[uuid.UUID]ident.Incarnation{},
	}
}

// Offset returns the offset of the last entry applied, NoOffset if none was.
func (s *State) Offset() ident.Offset { return s.offset }

// Level returns the stream's format level.
func (s *State) Level() uint16 { return s.level }

// Supported reports whether this program understands the stream's level. If
// not, the state stands still at the record that raised it.
func (s *State) Supported() bool { return s.level <= MaxLevel }

// Shards returns the number of ledger shards of the fleet, 0 before the first
// registration.
func (s *State) Shards() int { return s.shards }

// ByNonce returns the incarnation of a recent registration, 0 if there is none.
func (s *State) ByNonce(n uuid.UUID) ident.Incarnation { return s.nonces[n] }

// Apply folds one log entry and returns a verdict for each of its records.
func (s *State) Apply(offset ident.Offset, data []byte) []Verdict {
	if offset <= s.offset || !s.Supported() {
		return nil
	}
	s.offset = offset
	s.forgetNonces()
	batch, err := record.Unmarshal(data)
	if err != nil {
		return nil
	}
	verdicts := make([]Verdict, len(batch.Records))
	for i, r := range batch.Records {
		verdicts[i] = Verdict{Outcome: RefusedLevel, Offset: offset}
		if r.Level <= s.level && s.Supported() {
			verdicts[i].Outcome = s.applyRecord(batch.Identity.Writer, r)
		}
		if r.Kind == KindRegister {
			verdicts[i].Incarnation = s.incarnationOf(r)
		}
	}
	return verdicts
}

func (s *State) incarnationOf(r record.Record) ident.Incarnation {
	body, err := record.Decode[Register](r)
	if err != nil {
		return 0
	}
	return s.nonces[body.Nonce]
}

func (s *State) applyRecord(writer ident.Incarnation, r record.Record) Outcome {
	if r.Kind == KindRegister {
		return decoded(r, s.register)
	}
	if s.members[writer] == nil {
		return RefusedWriter
	}
	switch r.Kind {
	case KindDeregister:
		return decoded(r, func(body Deregister) Outcome { return s.deregister(writer, body) })
	case KindLeave:
		return decoded(r, s.leave)
	case KindSeal:
		return decoded(r, s.seal)
	case KindAcknowledge:
		return decoded(r, func(body Acknowledge) Outcome { return s.acknowledge(writer, body) })
	case KindDestroyed:
		return decoded(r, s.destroy)
	case KindRaiseLevel:
		return decoded(r, s.raiseLevel)
	case KindCheckpoint:
		return Accepted // it repeats the state, it does not change it
	default:
		return RefusedInvalid
	}
}

// decoded decodes a record's body and applies it; a body that cannot be
// decoded is refused.
func decoded[T any](r record.Record, apply func(T) Outcome) Outcome {
	body, err := record.Decode[T](r)
	if err != nil {
		return RefusedInvalid
	}
	return apply(body)
}

// forgetNonces drops the nonces of registrations that can no longer be
// repeated.
func (s *State) forgetNonces() {
	oldest := ident.Incarnation(max(0, s.offset-RegistrationWindow))
	for len(s.recent) > 0 && s.recent[0].Incarnation < oldest {
		delete(s.nonces, s.recent[0].Nonce)
		s.recent = s.recent[1:]
	}
}

func (s *State) register(r Register) Outcome {
	if s.nonces[r.Nonce] != 0 {
		return Repeated
	}
	if s.offset-r.Seen > RegistrationWindow {
		return RefusedStale
	}
	if r.MaxLevel < s.level {
		return RefusedLevel
	}
	valid := (r.Role == RoleRouter || r.Role == RoleSide) && r.LedgerShards > 0 && r.Nonce != uuid.Nil
	if !valid {
		return RefusedInvalid
	}
	if s.shards != 0 && r.LedgerShards != s.shards {
		return RefusedShards
	}
	incarnation := ident.Incarnation(s.offset) + 1
	if s.members[incarnation] != nil {
		return RefusedInvalid // a second registration in one batch
	}
	s.shards = r.LedgerShards
	s.nonces[r.Nonce] = incarnation
	s.recent = append(s.recent, nonce{Nonce: r.Nonce, Incarnation: incarnation})
	s.members[incarnation] = &member{Member: Member{Incarnation: incarnation, Registration: r}}
	return Accepted
}

func (s *State) leave(r Leave) Outcome {
	m := s.members[r.Incarnation]
	if m == nil || m.Leaving {
		return Repeated
	}
	m.Leaving = true
	return Accepted
}

func (s *State) raiseLevel(r RaiseLevel) Outcome {
	if r.Level <= s.level {
		return Repeated
	}
	for _, m := range s.members {
		if !m.Sealed && m.Registration.MaxLevel < r.Level {
			return RefusedLevel
		}
	}
	s.level = r.Level
	return Accepted
}
