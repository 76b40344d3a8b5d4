package admin

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// drainDocument is the answer to a drain.
type drainDocument struct {
	Server  ident.ServerID `json:"server"`
	Running int            `json:"running"` // runs that are still in progress
}

// drain makes a backend server take no new work.
func (a *API) drain(c *call) (any, *refusal.Refusal) {
	server := ident.ServerID(c.params.ByName("server"))
	if refused := c.mayChange(settings.Path("servers/" + server)); refused != nil {
		return nil, refused
	}
	side, ok := a.config.Fleet.Members().SideFor(server)
	if !ok {
		return nil, refusal.New(refusal.NotFound, refusal.NotRun, "No side process of "+string(server)+" is registered.")
	}
	ctx, cancel := context.WithTimeout(c.Context(), submitTimeout)
	defer cancel()
	args := wire.LeaveArgs{Offsets: a.config.Fleet.Offsets(), Author: c.operator}
	var reply wire.LeaveReply
	if err := a.config.Peers.Caller(side).Call(ctx, wire.MethodSideLeave, &args, &reply); err != nil {
		return nil, refusal.New(refusal.OutcomeUnknown, refusal.MayHaveRun, "The side process has not answered. Repeat the call.")
	}
	a.log.Info().Str("server", string(server)).Str("operator", string(c.operator)).Msg("drained")
	return drainDocument{Server: server, Running: reply.Running}, nil
}

// stuckDocument is a grant that waits for other processes.
type stuckDocument struct {
	Holder   ident.Incarnation `json:"holder"`
	VM       ident.VMID        `json:"vm"`
	Team     ident.TeamID      `json:"team"`
	Held     int64             `json:"held"`
	WaitsFor []waitDocument    `json:"waits_for"`
}

// waitDocument is a process that has not released a sealed one.
type waitDocument struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	VM          ident.VMID        `json:"vm"`
	Sealed      bool              `json:"sealed"`
}

// stuck lists the grants of sealed holders, with whom each waits for.
func (a *API) stuck(*call) (any, *refusal.Refusal) {
	list := []stuckDocument{}
	for _, sealed := range a.config.Fleet.Members().Pending {
		if sealed.Registration.Role != fleet.RoleRouter {
			continue
		}
		waits := a.waitsFor(sealed.Incarnation)
		for _, held := range a.heldBy(sealed.Incarnation) {
			held.VM = sealed.Registration.VM
			held.WaitsFor = waits
			list = append(list, held)
		}
	}
	return struct {
		Grants []stuckDocument `json:"grants"`
	}{list}, nil
}

func (a *API) waitsFor(holder ident.Incarnation) []waitDocument {
	waits := []waitDocument{}
	a.config.Fleet.ViewFleet(func(s *fleet.State) {
		for _, b := range s.Blockers(holder) {
			waits = append(waits, waitDocument{
				Incarnation: b.Member.Incarnation,
				VM:          b.Member.Registration.VM,
				Sealed:      b.Member.Sealed,
			})
		}
	})
	return waits
}

// heldBy lists what a holder still holds, by team.
func (a *API) heldBy(holder ident.Incarnation) []stuckDocument {
	var held []stuckDocument
	for shard := range a.config.Ledger.Shards() {
		a.config.Ledger.ViewShard(shard, func(s *ledger.State) {
			s.ForEachTeam(func(team ident.TeamID, _ ledger.Budget) {
				if tokens := s.Grant(team, holder).Outstanding(); tokens > 0 {
					held = append(held, stuckDocument{Holder: holder, Team: team, Held: tokens})
				}
			})
		})
	}
	return held
}

// destroyedBody states that VMs have been destroyed.
type destroyedBody struct {
	VMs  []ident.VMID      `json:"vms"` // empty means all
	UpTo ident.Incarnation `json:"up_to"`
}

// destroyed records an operator's statement that VMs have been destroyed. It
// frees what waits for them, so it must be true.
func (a *API) destroyed(c *call) (any, *refusal.Refusal) {
	var body destroyedBody
	if refused := c.decode(&body); refused != nil {
		return nil, refused
	}
	if body.UpTo == 0 {
		return nil, badRequest("up_to: want the last incarnation that is gone.")
	}
	if refused := c.administrator(); refused != nil {
		return nil, refused
	}
	if a.namesSelf(body) {
		return nil, badRequest("The statement would include the router that was asked, which runs.")
	}
	r, err := record.New(fleet.KindDestroyed, fleet.Destroyed{VMs: body.VMs, UpTo: body.UpTo, Author: c.operator})
	if err != nil {
		return nil, badRequest(err.Error())
	}
	ctx, cancel := context.WithTimeout(c.Context(), submitTimeout)
	defer cancel()
	if _, err := a.config.Fleet.SubmitFleet(ctx, r); err != nil {
		return nil, submitFailed(err)
	}
	a.log.Warn().Str("operator", string(c.operator)).Uint64("up_to", uint64(body.UpTo)).Msg("VMs stated as destroyed")
	return body, nil
}

// namesSelf reports whether a statement includes the router that was asked.
func (a *API) namesSelf(body destroyedBody) bool {
	self, ok := a.config.Fleet.Members().Member(a.config.Fleet.Incarnation())
	if !ok || self.Incarnation > body.UpTo {
		return false
	}
	if len(body.VMs) == 0 {
		return true
	}
	for _, vm := range body.VMs {
		if vm == self.Registration.VM {
			return true
		}
	}
	return false
}
