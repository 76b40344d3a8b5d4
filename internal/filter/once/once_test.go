package once

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

type fakes struct {
	known ident.Incarnation
	claim Claim
	err   error
	live  map[ident.Incarnation]bool
	asked int
}

func (f *fakes) Claim(context.Context, ident.TeamID, ident.Key, ident.Incarnation) (Claim, error) {
	f.asked++
	return f.claim, f.err
}

func (f *fakes) Known(ident.TeamID, ident.Key) (ident.Incarnation, bool) {
	return f.known, f.known != 0
}

func (f *fakes) Gate(gate ident.Incarnation) (filter.Target, bool) {
	return filter.Target{Gate: gate}, f.live[gate]
}

func TestClaimComesBeforeTheGate(t *testing.T) {
	cases := map[string]struct {
		fakes fakes
		once  bool
		begun ident.Incarnation // the gate that is asked; 0: none
		code  refusal.Code
		ran   refusal.Ran
		claim int
	}{
		"repeatable":               {fakes{}, false, 7, "", "", 0},
		"won":                      {fakes{claim: Claim{Won: true, Gate: 7}}, true, 7, "", "", 1},
		"log down, reply lost":     {fakes{err: errors.New("unknown")}, true, 0, refusal.LogUnavailable, refusal.NotRun, 1},
		"claimed before, same":     {fakes{claim: Claim{Gate: 7}, live: map[ident.Incarnation]bool{7: true}}, true, 7, "", "", 1},
		"claimed for another gate": {fakes{claim: Claim{Gate: 9}, live: map[ident.Incarnation]bool{9: true}}, true, 9, "", "", 1},
		"claimed for a dead gate":  {fakes{claim: Claim{Gate: 9}}, true, 0, refusal.OutcomeUnknown, refusal.Unknown, 1},
		"log down, claim read":     {fakes{err: errors.New("down"), known: 9, live: map[ident.Incarnation]bool{9: true}}, true, 9, "", "", 0},
		"log down, dead gate read": {fakes{err: errors.New("down"), known: 9}, true, 0, refusal.OutcomeUnknown, refusal.Unknown, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := c.fakes
			r := &filter.Request{Once: c.once, Target: filter.Target{Gate: 7}, Placed: filter.Unplaced{}}
			var begun ident.Incarnation
			out := New(&f, &f).Handle(t.Context(), r, func(_ context.Context, r *filter.Request) filter.Outcome {
				begun = r.Target.Gate
				return filter.Outcome{Retry: "anything"}
			})
			require.Equal(t, c.begun, begun)
			require.Equal(t, c.claim, f.asked)
			require.Equal(t, c.once, out.Retry == "", "a claimed request is not tried elsewhere")
			if c.code != "" {
				require.Equal(t, c.code, out.Refusal.Code)
				require.Equal(t, c.ran, out.Refusal.Ran)
			}
		})
	}
}
