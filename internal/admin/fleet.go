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

// drainDocument is the response to a drain.
type drainDocument struct {
	Server  ident.ServerID `json:"server"`
	Running int            `json:"running"` // runs that are still in progress
}

// drain tells the side process of a backend server to accept no new runs.
func (a *API) drain(c *call) (any, *refusal.Refusal) {
	server := ident.ServerID(c.params.ByName("server"))
	if refused := c.requireRightTo(settings.Path("servers/" + server)); refused != nil {
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

// stuckGrantDocument is a grant of a sealed router that is not freed until other
// processes release the router.
type stuckGrantDocument struct {
	Holder   ident.Incarnation `json:"holder"`
	VM       ident.VMID        `json:"vm"`
	Team     ident.TeamID      `json:"team"`
	Held     int64             `json:"held"`
	WaitsFor []blockerDocument `json:"waits_for"`
}

// blockerDocument is a process that has not yet released a sealed router.
type blockerDocument struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	VM          ident.VMID        `json:"vm"`
	Sealed      bool              `json:"sealed"`
}

// listStuckGrants lists the grants of sealed routers, each with the processes that
// block its release.
func (a *API) listStuckGrants(*call) (any, *refusal.Refusal) {
	documents := []stuckGrantDocument{}
	for _, sealed := range a.config.Fleet.Members().Pending {
		if sealed.Registration.Role != fleet.RoleRouter {
			continue
		}
		blockers := a.blockersOf(sealed.Incarnation)
		for _, grant := range a.outstandingGrants(sealed.Incarnation) {
			grant.VM = sealed.Registration.VM
			grant.WaitsFor = blockers
			documents = append(documents, grant)
		}
	}
	return struct {
		Grants []stuckGrantDocument `json:"grants"`
	}{documents}, nil
}

func (a *API) blockersOf(holder ident.Incarnation) []blockerDocument {
	blockers := []blockerDocument{}
	a.config.Fleet.ViewFleet(func(s *fleet.State) {
		for _, b := range s.Blockers(holder) {
			blockers = append(blockers, blockerDocument{
				Incarnation: b.Member.Incarnation,
				VM:          b.Member.Registration.VM,
				Sealed:      b.Member.Sealed,
			})
		}
	})
	return blockers
}

// outstandingGrants lists the outstanding grants of a holder, by team.
func (a *API) outstandingGrants(holder ident.Incarnation) []stuckGrantDocument {
	var grants []stuckGrantDocument
	for shard := range a.config.Ledger.Shards() {
		a.config.Ledger.ViewShard(shard, func(s *ledger.State) {
			s.ForEachTeam(func(team ident.TeamID, _ ledger.Budget) {
				if tokens := s.Grant(team, holder).Outstanding(); tokens > 0 {
					grants = append(grants, stuckGrantDocument{Holder: holder, Team: team, Held: tokens})
				}
			})
		})
	}
	return grants
}

// destroyedBody is an operator's statement that VMs have been destroyed, with all
// their processes up to an incarnation.
type destroyedBody struct {
	VMs  []ident.VMID      `json:"vms"` // empty means all
	UpTo ident.Incarnation `json:"up_to"`
}

// declareDestroyed records an operator's statement that VMs have been destroyed. It
// frees the grants that wait for processes on these VMs, so it must be true: otherwise
// tokens that a running process still uses are freed.
func (a *API) declareDestroyed(c *call) (any, *refusal.Refusal) {
	var body destroyedBody
	if refused := c.decode(&body); refused != nil {
		return nil, refused
	}
	if body.UpTo == 0 {
		return nil, badRequest("up_to: want the last incarnation that is gone.")
	}
	if refused := c.requireAllRights(); refused != nil {
		return nil, refused
	}
	if a.includesSelf(body) {
		return nil, badRequest("The statement would include the router that was asked, which runs.")
	}
	r, err := record.New(fleet.KindDestroyed, fleet.Destroyed{VMs: body.VMs, UpTo: body.UpTo, Author: c.operator})
	if err != nil {
		return nil, badRequest(err.Error())
	}
	ctx, cancel := context.WithTimeout(c.Context(), submitTimeout)
	defer cancel()
	if _, err := a.config.Fleet.SubmitFleet(ctx, r); err != nil {
		return nil, submitRefusal(err)
	}
	a.log.Warn().Str("operator", string(c.operator)).Uint64("up_to", uint64(body.UpTo)).Msg("operator declared VMs destroyed")
	return body, nil
}

// includesSelf reports whether a statement includes the router that serves the call.
func (a *API) includesSelf(body destroyedBody) bool {
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
