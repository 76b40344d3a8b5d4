package key

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// gates is a fake of two owner gates. A gate without a state does not reply.
type gates map[ident.Incarnation]wire.KeyState

func (g gates) Owners(*filter.Request) []filter.Target {
	return []filter.Target{{Gate: 1}, {Gate: 2}}
}

func (g gates) Lookup(_ context.Context, t filter.Target, _ ident.Key) (wire.LookupReply, error) {
	state, ok := g[t.Gate]
	if !ok {
		return wire.LookupReply{}, errors.New("no reply")
	}
	return wire.LookupReply{Gate: t.Gate, State: state}, nil
}

func TestEarlierAttemptIsServed(t *testing.T) {
	cases := map[string]struct {
		gates      gates
		unkeyed    bool
		once       bool
		unreadable map[ident.Incarnation]bool // gates that have the key but no answer to serve
		read       []ident.Incarnation
		next       bool
		tried      []ident.Incarnation
	}{
		"no key":                                 {gates: gates{1: wire.KeyDone}, unkeyed: true, next: true},
		"new":                                    {gates: gates{1: wire.KeyUnknown, 2: wire.KeyUnknown}, next: true},
		"sealed at the first, new at the second": {gates: gates{1: wire.KeySealed, 2: wire.KeyUnknown}, next: true},
		"running at the first":                   {gates: gates{1: wire.KeyRunning, 2: wire.KeyUnknown}, read: []ident.Incarnation{1}},
		"done at the second":                     {gates: gates{1: wire.KeyUnknown, 2: wire.KeyDone}, read: []ident.Incarnation{2}},
		"no reply from the first, done at the second": {gates: gates{2: wire.KeyDone}, read: []ident.Incarnation{2}},
		"no reply from both":                          {gates: gates{}, next: true},
		"failed at the first, run again":              {gates: gates{1: wire.KeyDone, 2: wire.KeyUnknown}, unreadable: map[ident.Incarnation]bool{1: true}, read: []ident.Incarnation{1}, next: true, tried: []ident.Incarnation{1}},
		"failed at the first, done at the second":     {gates: gates{1: wire.KeyDone, 2: wire.KeyDone}, unreadable: map[ident.Incarnation]bool{1: true}, read: []ident.Incarnation{1, 2}, tried: []ident.Incarnation{1}},
		"once is not looked up":                       {gates: gates{1: wire.KeyDone}, once: true, next: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &filter.Request{ID: ident.NewNonce(), CallerKey: "q1", Once: c.once, Caller: settings.Caller{Team: "a"}}
			if c.unkeyed {
				r.CallerKey = ""
			}
			var read []ident.Incarnation
			next := false
			serveAnswer := func(_ context.Context, r *filter.Request) filter.Outcome {
				require.True(t, r.Attach)
				read = append(read, r.Target.Gate)
				if c.unreadable[r.Target.Gate] {
					return filter.Outcome{Retry: "failed"}
				}
				return filter.Answered()
			}
			New(c.gates, c.gates, claimed(false), serveAnswer).Handle(t.Context(), r, func(context.Context, *filter.Request) filter.Outcome {
				next = true
				return filter.Answered()
			})
			require.Equal(t, c.read, read)
			require.Equal(t, c.next, next)
			require.Equal(t, c.tried, r.TriedGates)
			require.False(t, r.Attach)
			require.Equal(t, !c.unkeyed, r.Key == ident.HashKey("a", "q1"))
		})
	}
}

// claimed is a fake Claims: true if a claim of the key has been read.
type claimed bool

func (c claimed) ClaimedGate(ident.TeamID, ident.Key) (ident.Incarnation, bool) {
	return 1, bool(c)
}

func TestRefusalOfRepeatedKeyDoesNotSayNotRun(t *testing.T) {
	unknown := gates{1: wire.KeyUnknown, 2: wire.KeyUnknown}
	for name, c := range map[string]struct {
		gates        gates
		once         bool
		claimed      claimed
		claimChecked bool
		ran          refusal.Execution
	}{
		"new":                              {gates: unknown, ran: refusal.NotRun},
		"an owner does not reply":          {gates: gates{1: wire.KeyUnknown}, ran: refusal.MayHaveRun},
		"an attempt has failed":            {gates: gates{1: wire.KeyDone, 2: wire.KeyUnknown}, ran: refusal.MayHaveRun},
		"once, new":                        {gates: unknown, once: true, ran: refusal.NotRun},
		"once, claimed":                    {gates: unknown, once: true, claimed: true, ran: refusal.MayHaveRun},
		"once, checked by the once filter": {gates: unknown, once: true, claimed: true, claimChecked: true, ran: refusal.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			r := &filter.Request{CallerKey: "q1", Once: c.once}
			serveAnswer := func(context.Context, *filter.Request) filter.Outcome { return filter.Outcome{Retry: "failed"} }
			out := New(c.gates, c.gates, c.claimed, serveAnswer).Handle(t.Context(), r, func(_ context.Context, r *filter.Request) filter.Outcome {
				r.ClaimChecked = c.claimChecked
				return filter.Refused(refusal.BudgetExhausted, refusal.NotRun, "spent")
			})
			require.Equal(t, c.ran, out.Refusal.Ran)
			require.Equal(t, refusal.BudgetExhausted, out.Refusal.Code)
		})
	}
}
