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

// fakes implements Claims, Members and Gates.
type fakes struct {
	claim            Claim
	claimErr         error
	claimedGate      ident.Incarnation                   // gate of a claim that has already been read; zero if none
	live             map[ident.Incarnation]bool          // incarnations that have not ended
	states           map[ident.Incarnation]wire.KeyState // of the gates that reply to a lookup
	withdrawal       Withdrawal                          // result of WithdrawClaim
	gateAfterCatchUp ident.Incarnation                   // gate of the claim after CatchUp
	catchUpErr       error                               // error of CatchUp
	claimCalls       int
}

func (f *fakes) WithdrawClaim(context.Context, filter.Target, ident.TeamID, ident.Key) Withdrawal {
	return f.withdrawal
}

func (f *fakes) CatchUp(context.Context, ident.TeamID) error {
	f.claimedGate = f.gateAfterCatchUp
	return f.catchUpErr
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
	f.claimCalls++
	return f.claim, f.claimErr
}

func (f *fakes) ClaimedGate(ident.TeamID, ident.Key) (ident.Incarnation, bool) {
	return f.claimedGate, f.claimedGate != 0
}

func (f *fakes) Gate(gate ident.Incarnation) (filter.Target, bool) {
	return filter.Target{Gate: gate}, f.live[gate]
}

func TestClaimPrecedesGateRequest(t *testing.T) {
	errLogDown := errors.New("unknown")
	both := map[ident.Incarnation]bool{7: true, 9: true}
	state := func(of7, of9 wire.KeyState) map[ident.Incarnation]wire.KeyState {
		return map[ident.Incarnation]wire.KeyState{7: of7, 9: of9}
	}
	cases := map[string]struct {
		fakes     fakes
		once      bool
		askedGate ident.Incarnation // gate that gets the request; zero if none
		code      refusal.Code
		ran       refusal.Execution
		claim     int
	}{
		"repeatable":                         {fakes{}, false, 7, "", "", 0},
		"won":                                {fakes{claim: Claim{Won: true, Gate: 7}}, true, 7, "", "", 1},
		"log down, never run":                {fakes{claimErr: errLogDown, states: state(wire.KeyUnknown, wire.KeySealed)}, true, 0, refusal.LogUnavailable, refusal.NotRun, 1},
		"log down, running at another gate":  {fakes{claimErr: errLogDown, live: both, states: state(wire.KeyUnknown, wire.KeyRunning)}, true, 9, "", "", 1},
		"log down, already run":              {fakes{claimErr: errLogDown, live: both, states: state(wire.KeyDone, wire.KeyUnknown)}, true, 7, "", "", 1},
		"log down, no reply from a gate":     {fakes{claimErr: errLogDown, live: both, states: map[ident.Incarnation]wire.KeyState{7: wire.KeyUnknown}}, true, 0, refusal.OutcomeUnknown, refusal.MayHaveRun, 1},
		"claimed before, same gate":          {fakes{claim: Claim{Gate: 7}, live: map[ident.Incarnation]bool{7: true}}, true, 7, "", "", 1},
		"claimed for another gate":           {fakes{claim: Claim{Gate: 9}, live: map[ident.Incarnation]bool{9: true}}, true, 9, "", "", 1},
		"claimed for an ended gate":          {fakes{claim: Claim{Gate: 9}}, true, 0, refusal.OutcomeUnknown, refusal.MayHaveRun, 1},
		"log down, claim already read":       {fakes{claimErr: errors.New("down"), claimedGate: 9, live: map[ident.Incarnation]bool{9: true}}, true, 9, "", "", 0},
		"log down, claim of ended gate read": {fakes{claimErr: errors.New("down"), claimedGate: 9}, true, 0, refusal.OutcomeUnknown, refusal.MayHaveRun, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := c.fakes
			r := &filter.Request{Once: c.once, CallerKey: "order", Target: filter.Target{Gate: 7}, AttemptObserver: filter.NopObserver{}}
			var askedGate ident.Incarnation
			out := New(&f, &f, &f).Handle(t.Context(), r, func(_ context.Context, r *filter.Request) filter.Outcome {
				askedGate = r.Target.Gate
				return filter.Outcome{Retry: "anything"}
			})
			require.Equal(t, c.askedGate, askedGate)
			require.Equal(t, c.once, r.ClaimChecked)
			require.Equal(t, c.claim, f.claimCalls)
			require.Equal(t, c.once, out.Retry == "", "a claimed request is not retried at another gate")
			if c.code != "" {
				require.Equal(t, c.code, out.Refusal.Code)
				require.Equal(t, c.ran, out.Refusal.Ran)
			}
		})
	}
}

func TestOutcomeWhenClaimedGateDoesNotRun(t *testing.T) {
	leaving := filter.Outcome{Refusal: refusal.New(refusal.NoServer, refusal.NotRun, "leaving"), Retry: "refused"}
	lost := filter.Outcome{Refusal: refusal.New(refusal.OutcomeUnknown, refusal.MayHaveRun, "lost"), Retry: "lost"}
	failed := filter.Outcome{Refusal: refusal.New(refusal.BackendFailed, refusal.DidRun, "x"), Retry: "failed"}
	wonClaim := fakes{claim: Claim{Won: true, Gate: 7}}
	earlierClaim := fakes{claimedGate: 7, gateAfterCatchUp: 7, live: map[ident.Incarnation]bool{7: true}}
	withWithdrawal := func(f fakes, w Withdrawal) fakes {
		f.withdrawal = w
		return f
	}
	movedClaim := withWithdrawal(earlierClaim, NotStarted)
	movedClaim.gateAfterCatchUp = 9
	logUnread := withWithdrawal(earlierClaim, NotStarted)
	logUnread.catchUpErr = errors.New("log down")
	noClaim := withWithdrawal(earlierClaim, NotStarted)
	noClaim.gateAfterCatchUp = 0
	for name, c := range map[string]struct {
		fakes fakes
		out   filter.Outcome
		retry filter.RetryReason
		ran   refusal.Execution
	}{
		"withdrawn":                             {withWithdrawal(wonClaim, Withdrawn), leaving, "refused", refusal.NotRun},
		"not withdrawn":                         {withWithdrawal(wonClaim, Unconfirmed), leaving, "", refusal.NotRun},
		"may have run":                          {withWithdrawal(wonClaim, Withdrawn), lost, "", refusal.MayHaveRun},
		"final":                                 {withWithdrawal(wonClaim, Withdrawn), filter.Refused(refusal.KeyReused, refusal.NotRun, "x"), "", refusal.NotRun},
		"backend failed":                        {withWithdrawal(wonClaim, Withdrawn), failed, "", refusal.DidRun},
		"earlier claim, withdrawn":              {withWithdrawal(earlierClaim, Withdrawn), leaving, "refused", refusal.NotRun},
		"earlier claim, no reply from the gate": {withWithdrawal(earlierClaim, Unconfirmed), leaving, "", refusal.MayHaveRun},
		"earlier claim, never started":          {withWithdrawal(earlierClaim, NotStarted), leaving, "", refusal.NotRun},
		"earlier claim, already withdrawn":      {noClaim, leaving, "", refusal.NotRun},
		"earlier claim, now for another gate":   {movedClaim, leaving, "", refusal.MayHaveRun},
		"earlier claim, log not read":           {logUnread, leaving, "", refusal.MayHaveRun},
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
