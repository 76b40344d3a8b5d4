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

// stream is a fold and the entries applied to it.
type stream struct {
	t         testing.TB
	state     *State
	entries   [][]byte
	lastNonce byte
}

func newStream(t testing.TB) *stream { return &stream{t: t, state: New()} }

func (f *stream) write(writer ident.Incarnation, kind record.Kind, body any) Verdict {
	r, err := record.New(kind, body)
	require.NoError(f.t, err)
	data, err := record.Marshal(record.Batch{Identity: record.Identity{Writer: writer}, Records: []record.Record{r}})
	require.NoError(f.t, err)
	return f.append(data)
}

func (f *stream) append(data []byte) Verdict {
	f.entries = append(f.entries, data)
	return f.state.Apply(f.state.Offset()+1, data)[0]
}

func (f *stream) register(role Role) ident.Incarnation {
	f.lastNonce++
	v := f.write(0, KindRegister, f.registration(role, f.lastNonce))
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
		Seen:         f.state.Offset(),
	}
}

func (f *stream) seal(i ident.Incarnation) {
	f.write(f.anyMember(), KindSeal, Seal{Incarnation: i})
}

func (f *stream) anyMember() ident.Incarnation {
	for i := range f.state.members {
		return i
	}
	return 0
}

func (f *stream) ack(by, sealed ident.Incarnation) Outcome {
	return f.write(by, KindAcknowledge, Acknowledge{Sealed: sealed}).Outcome
}

func (f *stream) destroy(incarnations ...ident.Incarnation) {
	var vms []ident.VMID
	var last ident.Incarnation
	for _, i := range incarnations {
		vms = append(vms, f.state.members[i].Registration.VM)
		last = max(last, i)
	}
	f.write(f.anyMember(), KindDestroyed, Destroyed{VMs: vms, UpTo: last})
}

// fixture is a stream with two routers and two side processes. The tests are about
// the grants of holder.
type fixture struct {
	*stream
	holder, other, side1, side2 ident.Incarnation
}

func newFixture(t *testing.T) fixture {
	f := newStream(t)
	return fixture{stream: f, holder: f.register(RoleRouter), other: f.register(RoleRouter), side1: f.register(RoleSide), side2: f.register(RoleSide)}
}

func TestGrantsClosableAfterSeal(t *testing.T) {
	cases := map[string]struct {
		do       func(c fixture)
		closable bool
	}{
		"live":                       {func(c fixture) {}, false},
		"sealed only":                {func(c fixture) { c.seal(c.holder) }, false},
		"acknowledged before sealed": {func(c fixture) { c.ack(c.side1, c.holder); c.ack(c.side2, c.holder); c.seal(c.holder) }, false},
		"one side unacknowledged":    {func(c fixture) { c.seal(c.holder); c.ack(c.side1, c.holder) }, false},
		"both sides acknowledged":    {func(c fixture) { c.seal(c.holder); c.ack(c.side1, c.holder); c.ack(c.side2, c.holder) }, true},
		"a router does not count":    {func(c fixture) { c.seal(c.holder); c.ack(c.side1, c.holder); c.ack(c.other, c.holder) }, false},
		"holder deregistered":        {func(c fixture) { c.write(c.holder, KindDeregister, Deregister{c.holder}) }, true},
		"deregistered by another":    {func(c fixture) { c.write(c.other, KindDeregister, Deregister{c.holder}) }, false},
		"the other side deregistered": {func(c fixture) {
			c.seal(c.holder)
			c.ack(c.side1, c.holder)
			c.write(c.side2, KindDeregister, Deregister{c.side2})
		}, true},
		"a later side knows the seal": {func(c fixture) {
			c.seal(c.holder)
			c.register(RoleSide)
			c.ack(c.side1, c.holder)
			c.ack(c.side2, c.holder)
		}, true},
		"an earlier side must acknowledge": {func(c fixture) {
			c.register(RoleSide)
			c.seal(c.holder)
			c.ack(c.side1, c.holder)
			c.ack(c.side2, c.holder)
		}, false},
		"side sealed, holder unacknowledged": {func(c fixture) { c.seal(c.holder); c.ack(c.side1, c.holder); c.seal(c.side2); c.ack(c.other, c.side2) }, false},
		"side sealed, routers acknowledged": {func(c fixture) {
			c.seal(c.holder)
			c.ack(c.side1, c.holder)
			c.seal(c.side2)
			c.ack(c.other, c.side2)
			c.ack(c.holder, c.side2)
		}, true},
		"sealed side acknowledged the holder": {func(c fixture) {
			c.seal(c.holder)
			c.seal(c.side2)
			c.ack(c.side2, c.holder)
			c.ack(c.side1, c.holder)
		}, true},
		"sealed side acknowledged the other router": {func(c fixture) {
			c.seal(c.other)
			c.ack(c.side2, c.other)
			c.seal(c.holder)
			c.seal(c.side2)
			c.ack(c.holder, c.side2)
			c.ack(c.side1, c.holder)
		}, true},
		"both sealed but not destroyed": {func(c fixture) { c.seal(c.holder); c.seal(c.side2); c.ack(c.side1, c.holder); c.ack(c.other, c.side2) }, false},
		"only the side destroyed": {func(c fixture) {
			c.seal(c.holder)
			c.ack(c.side1, c.holder)
			c.destroy(c.side2)
			c.ack(c.other, c.side2)
		}, false},
		"only the holder destroyed": {func(c fixture) {
			c.destroy(c.holder)
			c.ack(c.side1, c.holder)
			c.seal(c.side2)
			c.ack(c.other, c.side2)
		}, false},
		"both destroyed, other router unacknowledged": {func(c fixture) { c.destroy(c.holder, c.side2); c.ack(c.side1, c.holder) }, false},
		"both destroyed": {func(c fixture) { c.destroy(c.holder, c.side2); c.ack(c.side1, c.holder); c.ack(c.other, c.side2) }, true},
		"destroyed does not cover a later incarnation": {func(c fixture) {
			c.write(c.other, KindDestroyed, Destroyed{UpTo: c.holder - 1})
			c.ack(c.side1, c.holder)
		}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newFixture(t)
			test.do(c)
			require.Equal(t, test.closable, c.state.Closable(c.holder))
			require.Equal(t, test.closable, c.state.View().Closed(c.holder))
			waits := c.state.View().Sealed(c.holder) && !test.closable
			require.Equal(t, waits, len(c.state.Blockers(c.holder)) > 0)
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
	f.lastNonce = 40 // nonces up to 3 are used
	side := f.register(RoleSide)
	require.Equal(t, RefusedWriter, f.write(1, KindDeregister, Deregister{side}).Outcome)
	f.seal(side)
	require.Equal(t, RefusedInvalid, f.ack(side, side), "only members of the other role may acknowledge")
	require.Equal(t, Accepted, f.ack(1, side))
	f.write(1, KindDeregister, Deregister{1})
	require.Equal(t, Repeated, f.write(0, KindRegister, first).Outcome, "a repeated registration does not reopen a closed incarnation")
	for f.state.Offset() < RegistrationWindow+9 {
		f.write(0, KindSeal, Seal{})
	}
	require.Equal(t, RefusedStale, f.write(0, KindRegister, first).Outcome, "nor does one whose nonce has expired")
	require.Empty(t, f.state.nonces)
	require.Empty(t, f.state.members)
}

// TestRandomHistories applies random registrations, seals, acknowledgements,
// deregistrations and destructions. After each step, closed incarnations stay
// closed, no router is closed while a pair may still run something (checked
// against the whole history), and a snapshot restores an equal state. At the end
// the state holds only incarnations that are not closed.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(150) {
		runRandomHistory(t, rand.New(rand.NewPCG(seed, 7)))
	}
}

// incarnationHistory is the test's record of one incarnation. None is dropped.
type incarnationHistory struct {
	role           Role
	registeredStep int
	sealedStep     int // -1 if not sealed
	deregistered   bool
	destroyed      bool
	acked          map[ident.Incarnation]bool // writers of acknowledgements
}

func runRandomHistory(t *testing.T, random *rand.Rand) {
	f := newStream(t)
	histories := map[ident.Incarnation]*incarnationHistory{}
	var all []ident.Incarnation
	wasClosed := map[ident.Incarnation]bool{}
	for step := range 60 {
		pick := func() ident.Incarnation { return all[random.IntN(len(all))] }
		switch n := random.IntN(10); {
		case len(all) < 2 || n < 2 && len(all) < 12:
			role := Role(1 + random.IntN(2))
			i := f.register(role)
			histories[i] = &incarnationHistory{role: role, registeredStep: step, sealedStep: -1, acked: map[ident.Incarnation]bool{}}
			all = append(all, i)
		case n < 4:
			i := pick()
			if f.write(pick(), KindSeal, Seal{Incarnation: i}).Outcome == Accepted {
				histories[i].sealedStep = step
			}
		case n < 8:
			by, sealed := pick(), pick()
			if f.ack(by, sealed) == Accepted {
				histories[sealed].acked[by] = true
			}
		case n < 9:
			i := pick()
			if f.write(i, KindDeregister, Deregister{i}).Outcome == Accepted {
				histories[i].deregistered = true
			}
		case random.IntN(3) == 0:
			i := pick()
			if f.state.members[i] != nil {
				f.destroy(i)
				histories[i].destroyed = true
				if histories[i].sealedStep < 0 {
					histories[i].sealedStep = step
				}
			}
		}
		for i := range histories {
			now := f.state.Closable(i)
			require.False(t, wasClosed[i] && !now, "incarnation %d was reopened", i)
			wasClosed[i] = now
			if now && histories[i].role == RoleRouter {
				requireNoOpenPair(t, histories, i)
			}
		}
		requireSnapshotRoundTrip(t, f.state)
	}
	require.Len(t, f.state.members, len(all)-countTrue(wasClosed))
}

// requireNoOpenPair checks the rule for a closed holder against the whole history.
// Every side process that could have started a run under its grants must have
// deregistered, have acknowledged the holder, have registered after the holder's
// seal, or be sealed with its pair with each router settled.
func requireNoOpenPair(t *testing.T, histories map[ident.Incarnation]*incarnationHistory, closed ident.Incarnation) {
	holder := histories[closed]
	if holder.deregistered {
		return
	}
	require.GreaterOrEqual(t, holder.sealedStep, 0)
	for s, side := range histories {
		if side.role != RoleSide || side.deregistered || holder.acked[s] || side.registeredStep > holder.sealedStep {
			continue
		}
		require.GreaterOrEqual(t, side.sealedStep, 0, "side %d may still run for router %d", s, closed)
		for q, router := range histories {
			if router.role != RoleRouter || router.deregistered || side.acked[q] || router.acked[s] {
				continue
			}
			neverPaired := router.registeredStep > side.sealedStep || router.sealedStep >= 0 && side.registeredStep > router.sealedStep
			require.True(t, neverPaired || router.destroyed && side.destroyed, "router %d and side %d are not settled, but router %d is closed", q, s, closed)
		}
	}
}

func requireSnapshotRoundTrip(t *testing.T, s *State) {
	raw, err := s.Snapshot()
	require.NoError(t, err)
	loaded, err := Load(raw)
	require.NoError(t, err)
	again, err := loaded.Snapshot()
	require.NoError(t, err)
	require.Equal(t, raw, again)
}

func countTrue(m map[ident.Incarnation]bool) int {
	n := 0
	for _, v := range m {
		if v {
			n++
		}
	}
	return n
}
