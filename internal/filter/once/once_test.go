package once

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/wire"
)

type fakes struct {
	claim  Claim
	err    error
	known  ident.Incarnation // of a claim that was read before
	live   map[ident.Incarnation]bool
	states map[ident.Incarnation]wire.KeyState // of gates that answer
	voids  Withdrawal                          // the gate's answer
	later  ident.Incarnation                   // gate of the claim after the log was read to its end
	behind error                               // of reading the log to its end
	asked  int
}

func (f *fakes) WithdrawClaim(context.Context, filter.Target, ident.TeamID, ident.Key) Withdrawal {
	return f.voids
}

func (f *fakes) CatchUp(context.Context, ident.TeamID) error {
	f.known = f.later
	return f.behind
}

func (f *fakes) CandidateGates(*filter.Request) []filter.Target {
	return []filter.Target{{Gate: 7}, {Gate: 9}}
}

func (f *fakes) Lookup(_ context.Context, t filter.Target, _ ident.Key) (wire.LookupReply, error) {
	state, ok := f.states[t.Gate]
	if !ok {
		return wire.LookupReply{}, errors.New("no reply")
	}
	return wire.LookupReply{State: state}, nil
}

func (f *fakes) Claim(context.Context, ident.TeamID, ident.Key, ident.Incarnation) (Claim, error) {
	f.asked++
	return f.claim, f.err
}

func (f *fakes) ClaimedGate(ident.TeamID, ident.Key) (ident.Incarnation, bool) {
	return f.known, f.known != 0
}

func (f *fakes) Gate(gate ident.Incarnation) (filter.Target, bool) {
	return filter.Target{Gate: gate}, f.live[gate]
}

func TestClaimComesBeforeTheGate(t *testing.T) {
	down := errors.New("unknown")
	both := map[ident.Incarnation]bool{7: true, 9: true}
	state := func(of7, of9 wire.KeyState) map[ident.Incarnation]wire.KeyState {
		return map[ident.Incarnation]wire.KeyState{7: of7, 9: of9}
	}
	cases := map[string]struct {
		fakes fakes
		once  bool
		begun ident.Incarnation // the gate that is asked; 0: none
		code  refusal.Code
		ran   refusal.Execution
		claim int
	}{
		"repeatable":               {fakes{}, false, 7, "", "", 0},
		"won":                      {fakes{claim: Claim{Won: true, Gate: 7}}, true, 7, "", "", 1},
		"log down, never asked":    {fakes{err: down, states: state(wire.KeyUnknown, wire.KeySealed)}, true, 0, refusal.LogUnavailable, refusal.NotRun, 1},
		"log down, runs elsewhere": {fakes{err: down, live: both, states: state(wire.KeyUnknown, wire.KeyRunning)}, true, 9, "", "", 1},
		"log down, has run":        {fakes{err: down, live: both, states: state(wire.KeyDone, wire.KeyUnknown)}, true, 7, "", "", 1},
		"log down, a gate silent":  {fakes{err: down, live: both, states: map[ident.Incarnation]wire.KeyState{7: wire.KeyUnknown}}, true, 0, refusal.OutcomeUnknown, refusal.MayHaveRun, 1},
		"claimed before, same":     {fakes{claim: Claim{Gate: 7}, live: map[ident.Incarnation]bool{7: true}}, true, 7, "", "", 1},
		"claimed for another gate": {fakes{claim: Claim{Gate: 9}, live: map[ident.Incarnation]bool{9: true}}, true, 9, "", "", 1},
		"claimed for a dead gate":  {fakes{claim: Claim{Gate: 9}}, true, 0, refusal.OutcomeUnknown, refusal.MayHaveRun, 1},
		"log down, claim read":     {fakes{err: errors.New("down"), known: 9, live: map[ident.Incarnation]bool{9: true}}, true, 9, "", "", 0},
		"log down, dead gate read": {fakes{err: errors.New("down"), known: 9}, true, 0, refusal.OutcomeUnknown, refusal.MayHaveRun, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := c.fakes
			r := &filter.Request{Once: c.once, CallerKey: "order", Target: filter.Target{Gate: 7}, AttemptObserver: filter.NopObserver{}}
			var begun ident.Incarnation
			out := New(&f, &f, &f).Handle(t.Context(), r, func(_ context.Context, r *filter.Request) filter.Outcome {
				begun = r.Target.Gate
				return filter.Outcome{Retry: "anything"}
			})
			require.Equal(t, c.begun, begun)
			require.Equal(t, c.once, r.ClaimChecked)
			require.Equal(t, c.claim, f.asked)
			require.Equal(t, c.once, out.Retry == "", "a claimed request is not tried elsewhere")
			if c.code != "" {
				require.Equal(t, c.code, out.Refusal.Code)
				require.Equal(t, c.ran, out.Refusal.Ran)
			}
		})
	}
}

func TestAGateThatDoesNotRunItsClaim(t *testing.T) {
	leaving := filter.Outcome{Refusal: refusal.New(refusal.NoServer, refusal.NotRun, "leaving"), Retry: "refused"}
	lost := filter.Outcome{Refusal: refusal.New(refusal.OutcomeUnknown, refusal.MayHaveRun, "lost"), Retry: "lost"}
	failed := filter.Outcome{Refusal: refusal.New(refusal.BackendFailed, refusal.DidRun, "x"), Retry: "failed"}
	won := fakes{claim: Claim{Won: true, Gate: 7}}
	old := fakes{known: 7, later: 7, live: map[ident.Incarnation]bool{7: true}}
	with := func(f fakes, w Withdrawal) fakes {
		f.voids = w
		return f
	}
	moved := with(old, NotStarted)
	moved.later = 9
	unread := with(old, NotStarted)
	unread.behind = errors.New("log down")
	free := with(old, NotStarted)
	free.later = 0
	for name, c := range map[string]struct {
		fakes fakes
		out   filter.Outcome
		retry filter.RetryReason
		ran   refusal.Execution
	}{
		"withdrawn":                     {with(won, Withdrawn), leaving, "refused", refusal.NotRun},
		"not withdrawn":                 {with(won, Unconfirmed), leaving, "", refusal.NotRun},
		"may have run":                  {with(won, Withdrawn), lost, "", refusal.MayHaveRun},
		"final":                         {with(won, Withdrawn), filter.Refused(refusal.KeyReused, refusal.NotRun, "x"), "", refusal.NotRun},
		"backend failed":                {with(won, Withdrawn), failed, "", refusal.DidRun},
		"earlier claim, withdrawn":      {with(old, Withdrawn), leaving, "refused", refusal.NotRun},
		"earlier claim, gate silent":    {with(old, Unconfirmed), leaving, "", refusal.MayHaveRun},
		"earlier claim, never started":  {with(old, NotStarted), leaving, "", refusal.NotRun},
		"earlier claim, withdrawn long": {free, leaving, "", refusal.NotRun},
		"earlier claim, moved":          {moved, leaving, "", refusal.MayHaveRun},
		"earlier claim, log not read":   {unread, leaving, "", refusal.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			f := c.fakes
			r := &filter.Request{Once: true, CallerKey: "order", Target: filter.Target{Gate: 7}}
			out := New(&f, &f, &f).Handle(t.Context(), r, func(context.Context, *filter.Request) filter.Outcome { return c.out })
			require.Equal(t, c.retry, out.Retry)
			require.Equal(t, c.ran, out.Refusal.Ran)
		})
	}
}
