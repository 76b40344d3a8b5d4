package fleet

import (
	"github.com/google/uuid"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// MaxLevel is the highest format level that this program understands.
const MaxLevel = record.BaseLevel

// RegistrationWindow is the maximum number of entries between the last one that a
// process had read and its registration. Nonces are kept for as many entries, so
// that every repeated registration is recognised and memory stays bounded. It is
// part of the format.
const RegistrationWindow = 4096

// maxRecentlyClosed is the number of most recently closed incarnations that are
// kept. It is part of the format.
const maxRecentlyClosed = 1024

// Outcome is the fold's verdict on one record.
type Outcome uint8

// Verdicts of the fold.
const (
	Accepted       Outcome = iota
	Repeated               // the record was applied before; nothing changed
	RefusedLevel           // the record's level is above the stream's, or the program's below it
	RefusedInvalid         // the record breaks a rule
	RefusedWriter          // the writer is not a member or may not write this record
	RefusedShards          // the fleet has a different number of ledger shards
	RefusedStale           // the registration is outside the RegistrationWindow
)

// Verdict is the outcome of one record of a batch.
type Verdict struct {
	Outcome     Outcome
	Incarnation ident.Incarnation // assigned by a registration, 0 for other kinds
	Offset      ident.Offset
}

// State is the fold of the fleet stream. It is not safe for concurrent use.
type State struct {
	offset         ident.Offset
	level          uint16
	shards         int // ledger shards of the fleet, 0 before the first registration
	members        map[ident.Incarnation]*member
	nonces         map[uuid.UUID]ident.Incarnation
	recent         []recentRegistration // those in nonces, oldest first
	recentlyClosed []ident.Incarnation  // oldest first; shared with views
}

// recentRegistration is a registration within the RegistrationWindow.
type recentRegistration struct {
	Nonce       uuid.UUID         `msgpack:"n"`
	Incarnation ident.Incarnation `msgpack:"i"`
}

// member is an incarnation that is not closed: it is live, or another process may
// still owe a settlement for its runs or grants.
type member struct {
	Member
	sealedAt  ident.Offset
	destroyed bool
	ackedBy   map[ident.Incarnation]struct{} // processes that have acknowledged the seal
	ackOrder  []ident.Incarnation            // the same in order of arrival; only appended to, since views share it
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
// not, the state does not advance past the record that raised it.
func (s *State) Supported() bool { return s.level <= MaxLevel }

// Shards returns the number of ledger shards of the fleet, 0 before the first
// registration.
func (s *State) Shards() int { return s.shards }

// ByNonce returns the incarnation of a recent registration, 0 if there is none.
func (s *State) ByNonce(n uuid.UUID) ident.Incarnation { return s.nonces[n] }

// Apply applies one log entry and returns a verdict for each of its records. It
// returns nil if the entry was applied before, cannot be decoded, or the stream's
// level is not supported.
func (s *State) Apply(offset ident.Offset, data []byte) []Verdict {
	if offset <= s.offset || !s.Supported() {
		return nil
	}
	s.offset = offset
	s.expireNonces()
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
		return applyDecoded(r, s.register)
	}
	if s.members[writer] == nil {
		return RefusedWriter
	}
	switch r.Kind {
	case KindDeregister:
		return applyDecoded(r, func(body Deregister) Outcome { return s.deregister(writer, body) })
	case KindLeave:
		return applyDecoded(r, s.leave)
	case KindSeal:
		return applyDecoded(r, s.seal)
	case KindAcknowledge:
		return applyDecoded(r, func(body Acknowledge) Outcome { return s.acknowledge(writer, body) })
	case KindDestroyed:
		return applyDecoded(r, s.destroy)
	case KindRaiseLevel:
		return applyDecoded(r, s.raiseLevel)
	case KindCheckpoint:
		return Accepted // a checkpoint does not change the state
	default:
		return RefusedInvalid
	}
}

// applyDecoded decodes a record's body and applies it. A body that cannot be
// decoded is refused.
func applyDecoded[T any](r record.Record, apply func(T) Outcome) Outcome {
	body, err := record.Decode[T](r)
	if err != nil {
		return RefusedInvalid
	}
	return apply(body)
}

// expireNonces drops the nonces of registrations too old to be repeated: a repeat
// would be refused as stale.
func (s *State) expireNonces() {
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
	s.recent = append(s.recent, recentRegistration{Nonce: r.Nonce, Incarnation: incarnation})
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
