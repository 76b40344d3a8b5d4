package admin

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Bounds of a round of pings.
const (
	pingTimeout  = time.Second
	pingsAtOnce  = 32
	forcePause   = 20 * time.Millisecond
	roleRouter   = "router"
	roleSide     = "side"
	stateLive    = "live"
	stateLeaving = "leaving"
	stateSealed  = "sealed"
)

// memberDocument is one process of the fleet.
type memberDocument struct {
	Incarnation    ident.Incarnation  `json:"incarnation"`
	Role           string             `json:"role"`
	VM             ident.VMID         `json:"vm"`
	DataCentre     ident.DataCentreID `json:"data_centre"`
	Address        string             `json:"address"`
	Server         ident.ServerID     `json:"server"`
	State          string             `json:"state"`
	SettingsOffset ident.Offset       `json:"settings_offset"` // -1 if it does not answer
}

// forceReport tells where a version of the settings is in force.
type forceReport struct {
	Version    ident.Offset `json:"version"`
	N          int          `json:"n"`
	M          int          `json:"m"`
	Stragglers []string     `json:"stragglers"` // by VM
}

// statusDocument is the answer to a status call.
type statusDocument struct {
	Offsets wire.Offsets     `json:"offsets"`
	InForce forceReport      `json:"in_force"`
	Members []memberDocument `json:"members"`
}

// status asks every member for its settings offset.
func (a *API) status(c *call) (any, *refusal.Refusal) {
	offsets := a.config.Fleet.Offsets()
	members := a.members(c.Context())
	return statusDocument{Offsets: offsets, InForce: inForce(members, offsets.Settings), Members: members}, nil
}

// members lists all members, each with its settings offset.
func (a *API) members(ctx context.Context) []memberDocument {
	view := a.config.Fleet.Members()
	documents := []memberDocument{}
	for _, m := range slices.Concat(view.Routers, view.Sides) {
		documents = append(documents, a.document(m))
	}
	ping := pool.New().WithMaxGoroutines(pingsAtOnce)
	live := slices.Concat(view.Routers, view.Sides)
	for i, m := range live {
		ping.Go(func() { documents[i].SettingsOffset = a.ping(ctx, m) })
	}
	ping.Wait()
	for _, sealed := range view.Pending {
		documents = append(documents, a.document(sealed.Member))
	}
	slices.SortFunc(documents, func(x, y memberDocument) int {
		return cmp.Or(cmp.Compare(x.Role, y.Role), cmp.Compare(x.VM, y.VM), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return documents
}

func (a *API) document(m fleet.Member) memberDocument {
	document := memberDocument{
		Incarnation:    m.Incarnation,
		Role:           roleSide,
		VM:             m.Registration.VM,
		DataCentre:     m.Registration.DataCentre,
		Address:        m.Registration.Address,
		Server:         m.Registration.Server,
		State:          stateLive,
		SettingsOffset: ident.NoOffset,
	}
	if m.Registration.Role == fleet.RoleRouter {
		document.Role = roleRouter
	}
	if a.config.Fleet.Leaving(m) {
		document.State = stateLeaving
	}
	if m.Sealed {
		document.State = stateSealed
	}
	return document
}

// ping returns a member's settings offset, NoOffset if it does not answer.
func (a *API) ping(ctx context.Context, m fleet.Member) ident.Offset {
	if m.Incarnation == a.config.Fleet.Incarnation() {
		return a.config.Fleet.Offsets().Settings
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	method := node.ServiceSide + "." + wire.MethodPing
	if m.Registration.Role == fleet.RoleRouter {
		method = node.ServiceRouter + "." + wire.MethodPing
	}
	args := wire.PingArgs{Offsets: a.config.Fleet.Offsets()}
	var reply wire.PingReply
	if err := a.config.Peers.Caller(m).Call(ctx, method, &args, &reply); err != nil {
		a.counts.Inc("ping_failed")
		return ident.NoOffset
	}
	return reply.Offsets.Settings
}

// inForce counts the live members that have a version of the settings.
func inForce(members []memberDocument, version ident.Offset) forceReport {
	report := forceReport{Version: version, Stragglers: []string{}}
	for _, m := range members {
		if m.State == stateSealed {
			continue
		}
		report.M++
		if m.SettingsOffset >= version {
			report.N++
			continue
		}
		report.Stragglers = append(report.Stragglers, string(m.VM))
	}
	return report
}

// awaitForce waits a little for a version to be in force everywhere, and
// reports where it is.
func (a *API) awaitForce(ctx context.Context, version ident.Offset) *forceReport {
	ctx, cancel := context.WithTimeout(ctx, forceWait)
	defer cancel()
	for {
		report := inForce(a.members(ctx), version)
		if report.N == report.M || !pause(ctx, forcePause) {
			return &report
		}
	}
}

// pause waits for d and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
