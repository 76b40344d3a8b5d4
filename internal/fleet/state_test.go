package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// stream is a fold and the entries that it was given.
type stream struct {
	t       testing.TB
	s       *State
	entries [][]byte
	nonces  byte
}

func newStream(t testing.TB) *stream { return &stream{t: t, s: New()} }

func (f *stream) write(writer ident.Incarnation, kind record.Kind, body any) Verdict {
	r, err := record.New(kind, body)
	require.NoError(f.t, err)
	data, err := record.Marshal(record.Batch{Identity: record.Identity{Writer: writer}, Records: []record.Record{r}})
	require.NoError(f.t, err)
	return f.append(data)
}

func (f *stream) append(data []byte) Verdict {
	f.entries = append(f.entries, data)
	return f.s.Apply(f.s.Offset()+1, data)[0]
}

func (f *stream) register(role Role) ident.Incarnation {
	f.nonces++
	v := f.write(0, KindRegister, f.registration(role, f.nonces))
	require.Equal(f.t, Accepted, v.Outcome)
	return v.Incarnation
}

func (f *stream) registration(role Role, nonce byte) Register {
	return Register{
		Nonce:        uuid.UUID{nonce},
		Role:         role,
		VM:           ident.VMID(fmt.Sprintf("vm-%d", nonce)),
		Server:       ident.ServerID(fmt.Sprintf("s-%d", nonce)),
		MaxLevel:     MaxLevel,
		LedgerShards: 2,
		Seen:         f.s.Offset(),
	}
}

func (f *stream) seal(i ident.Incarnation) {
	f.write(f.someMember(), KindSeal, Seal{Incarnation: i})
}

func (f *stream) someMember() ident.Incarnation {
	for i := range f.s.members {
		return i
	}
	return 0
}

func (f *stream) ack(by, sealed ident.Incarnation) Outcome {
	return f.write(by, KindAcknowledge, Acknowledge{Sealed: sealed}).Outcome
}

func (f *stream) destroyed(incarnations ...ident.Incarnation) {
	var vms []ident.VMID
	var last ident.Incarnation
	for _, i := range incarnations {
		vms = append(vms, f.s.members[i].Registration.VM)
		last = max(last, i)
	}
	f.write(f.someMember(), KindDestroyed, Destroyed{VMs: vms, UpTo: last})
}

// Two routers (h, whose grants are in question, and q) and two side processes.
type cast struct {
	*stream
	h, q, s1, s2 ident.Incarnation
}

func newCast(t *testing.T) cast {
	f := newStream(t)
	return cast{stream: f, h: f.register(RoleRouter), q: f.register(RoleRouter), s1: f.register(RoleSide), s2: f.register(RoleSide)}
}

func TestWhenGrantsMayBeClosed(t *testing.T) {
	cases := map[string]struct {
		do       func(c cast)
		closable bool
	}{
		"live":                        {func(c cast) {}, false},
		"sealed only":                 {func(c cast) { c.seal(c.h) }, false},
		"acknowledged before sealed":  {func(c cast) { c.ack(c.s1, c.h); c.ack(c.s2, c.h); c.seal(c.h) }, false},
		"one side is missing":         {func(c cast) { c.seal(c.h); c.ack(c.s1, c.h) }, false},
		"both sides acknowledged":     {func(c cast) { c.seal(c.h); c.ack(c.s1, c.h); c.ack(c.s2, c.h) }, true},
		"a router cannot stand in":    {func(c cast) { c.seal(c.h); c.ack(c.s1, c.h); c.ack(c.q, c.h) }, false},
		"holder deregistered":         {func(c cast) { c.write(c.h, KindDeregister, Deregister{c.h}) }, true},
		"deregistered by another":     {func(c cast) { c.write(c.q, KindDeregister, Deregister{c.h}) }, false},
		"the other side deregistered": {func(c cast) { c.seal(c.h); c.ack(c.s1, c.h); c.write(c.s2, KindDeregister, Deregister{c.s2}) }, true},
		"a later side knows the seal": {func(c cast) { c.seal(c.h); c.register(RoleSide); c.ack(c.s1, c.h); c.ack(c.s2, c.h) }, true},
		"an earlier side must agree":  {func(c cast) { c.register(RoleSide); c.seal(c.h); c.ack(c.s1, c.h); c.ack(c.s2, c.h) }, false},
		"side sealed, holder silent":  {func(c cast) { c.seal(c.h); c.ack(c.s1, c.h); c.seal(c.s2); c.ack(c.q, c.s2) }, false},
		"side sealed, routers agree": {func(c cast) {
			c.seal(c.h)
			c.ack(c.s1, c.h)
			c.seal(c.s2)
			c.ack(c.q, c.s2)
			c.ack(c.h, c.s2)
		}, true},
		"side sealed first, its last word names the holder": {func(c cast) {
			c.seal(c.h)
			c.seal(c.s2)
			c.ack(c.s2, c.h)
			c.ack(c.s1, c.h)
		}, true},
		"a silent router that the silent side has let go": {func(c cast) {
			c.seal(c.q)
			c.ack(c.s2, c.q)
			c.seal(c.h)
			c.seal(c.s2)
			c.ack(c.h, c.s2)
			c.ack(c.s1, c.h)
		}, true},
		"both VMs gone from the list but running": {func(c cast) { c.seal(c.h); c.seal(c.s2); c.ack(c.s1, c.h); c.ack(c.q, c.s2) }, false},
		"only the side destroyed":                 {func(c cast) { c.seal(c.h); c.ack(c.s1, c.h); c.destroyed(c.s2); c.ack(c.q, c.s2) }, false},
		"only the holder destroyed":               {func(c cast) { c.destroyed(c.h); c.ack(c.s1, c.h); c.seal(c.s2); c.ack(c.q, c.s2) }, false},
		"both destroyed, a router still owes":     {func(c cast) { c.destroyed(c.h, c.s2); c.ack(c.s1, c.h) }, false},
		"both destroyed":                          {func(c cast) { c.destroyed(c.h, c.s2); c.ack(c.s1, c.h); c.ack(c.q, c.s2) }, true},
		"destroyed does not cover a later life":   {func(c cast) { c.write(c.q, KindDestroyed, Destroyed{UpTo: c.h - 1}); c.ack(c.s1, c.h) }, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCast(t)
			test.do(c)
			require.Equal(t, test.closable, c.s.Closable(c.h))
			require.Equal(t, test.closable, c.s.View().Closed(c.h))
			waits := c.s.View().Sealed(c.h) && !test.closable
			require.Equal(t, waits, len(c.s.Blockers(c.h)) > 0)
		})
	}
}

func TestRegistrations(t *testing.T) {
	f := newStream(t)
	first := f.registration(RoleRouter, 1)
	v := f.write(0, KindRegister, first)
	require.Equal(t, Verdict{Outcome: Accepted, Incarnation: 1, Offset: 0}, v)
	v = f.write(0, KindRegister, first)
	require.Equal(t, Verdict{Outcome: Repeated, Incarnation: 1, Offset: 1}, v)
	other := f.registration(RoleSide, 2)
	other.LedgerShards = 3
	require.Equal(t, RefusedShards, f.write(0, KindRegister, other).Outcome)
	old := f.registration(RoleSide, 3)
	old.MaxLevel = 0
	require.Equal(t, RefusedLevel, f.write(0, KindRegister, old).Outcome)
	require.Equal(t, RefusedWriter, f.write(9, KindSeal, Seal{Incarnation: 1}).Outcome)
	f.nonces = 40 // those up to 3 were used
	side := f.register(RoleSide)
	require.Equal(t, RefusedWriter, f.write(1, KindDeregister, Deregister{side}).Outcome)
	f.seal(side)
	require.Equal(t, RefusedInvalid, f.ack(side, side), "only the other role acknowledges")
	require.Equal(t, Accepted, f.ack(1, side))
	f.write(1, KindDeregister, Deregister{1})
	require.Equal(t, Repeated, f.write(0, KindRegister, first).Outcome, "a repeat does not revive a life that is over")
	for f.s.Offset() < RegistrationWindow+9 {
		f.write(0, KindSeal, Seal{})
	}
	require.Equal(t, RefusedStale, f.write(0, KindRegister, first).Outcome, "nor does one whose nonce is forgotten")
	require.Empty(t, f.s.nonces)
	require.Empty(t, f.s.members)
}

// Random registrations, seals, acknowledgements, deaths and destructions.
// After every step: a life that was closed stays closed; nothing is closed
// while a pair that may still run something is open, judged from scratch; a
// snapshot continues the fold; and at the end memory holds only open lives.
func TestRandomLives(t *testing.T) {
	for seed := range uint64(150) {
		randomLives(t, rand.New(rand.NewPCG(seed, 7)))
	}
}

// history is what a test remembers of every life, without dropping any.
type history struct {
	role       Role
	registered int
	sealed     int // step of the seal, -1 if none
	over       bool
	destroyed  bool
	acked      map[ident.Incarnation]bool // by whom
}

func randomLives(t *testing.T, random *rand.Rand) {
	f := newStream(t)
	lives := map[ident.Incarnation]*history{}
	var all []ident.Incarnation
	closed := map[ident.Incarnation]bool{}
	for step := range 60 {
		pick := func() ident.Incarnation { return all[random.IntN(len(all))] }
		switch n := random.IntN(10); {
		case len(all) < 2 || n < 2 && len(all) < 12:
			role := Role(1 + random.IntN(2))
			i := f.register(role)
			lives[i] = &history{role: role, registered: step, sealed: -1, acked: map[ident.Incarnation]bool{}}
			all = append(all, i)
		case n < 4:
			i := pick()
			if f.write(pick(), KindSeal, Seal{Incarnation: i}).Outcome == Accepted {
				lives[i].sealed = step
			}
		case n < 8:
			by, sealed := pick(), pick()
			if f.ack(by, sealed) == Accepted {
				lives[sealed].acked[by] = true
			}
		case n < 9:
			i := pick()
			if f.write(i, KindDeregister, Deregister{i}).Outcome == Accepted {
				lives[i].over = true
			}
		case random.IntN(3) == 0:
			i := pick()
			if f.s.members[i] != nil {
				f.destroyed(i)
				lives[i].destroyed = true
				if lives[i].sealed < 0 {
					lives[i].sealed = step
				}
			}
		}
		for i := range lives {
			now := f.s.Closable(i)
			require.False(t, closed[i] && !now, "life %d was opened again", i)
			closed[i] = now
			if now && lives[i].role == RoleRouter {
				requireSafe(t, lives, i)
			}
		}
		requireSnapshot(t, f.s)
	}
	require.Len(t, f.s.members, len(all)-count(closed))
}

// requireSafe checks the rule for a holder h from the whole history: every
// side process that could have started something under its grants is over,
// acknowledged h, came after the seal of h, or is sealed and each router has
// settled with it in one of the ways that need no further word of either.
func requireSafe(t *testing.T, lives map[ident.Incarnation]*history, h ident.Incarnation) {
	holder := lives[h]
	if holder.over {
		return
	}
	require.GreaterOrEqual(t, holder.sealed, 0)
	for s, side := range lives {
		if side.role != RoleSide || side.over || holder.acked[s] || side.registered > holder.sealed {
			continue
		}
		require.GreaterOrEqual(t, side.sealed, 0, "side %d may run for %d", s, h)
		for q, router := range lives {
			if router.role != RoleRouter || router.over || side.acked[q] || router.acked[s] {
				continue
			}
			later := router.registered > side.sealed || router.sealed >= 0 && side.registered > router.sealed
			require.True(t, later || router.destroyed && side.destroyed, "router %d and side %d are open, %d closed", q, s, h)
		}
	}
}

func requireSnapshot(t *testing.T, s *State) {
	raw, err := s.Snapshot()
	require.NoError(t, err)
	loaded, err := Load(raw)
	require.NoError(t, err)
	again, err := loaded.Snapshot()
	require.NoError(t, err)
	require.Equal(t, raw, again)
}

func count(m map[ident.Incarnation]bool) int {
	n := 0
	for _, v := range m {
		if v {
			n++
		}
	}
	return n
}
