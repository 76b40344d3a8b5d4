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

// Limits of calls to members, and the values of role and state in documents.
const (
	pingTimeout        = time.Second
	maxConcurrentCalls = 32
	applyPollInterval  = 20 * time.Millisecond
	roleRouter         = "router"
	roleSide           = "side"
	stateLive          = "live"
	stateLeaving       = "leaving"
	stateSealed        = "sealed"
)

// memberDocument is one member of the fleet.
type memberDocument struct {
	Incarnation    ident.Incarnation  `json:"incarnation"`
	Role           string             `json:"role"`
	VM             ident.VMID         `json:"vm"`
	DataCentre     ident.DataCentreID `json:"data_centre"`
	Address        string             `json:"address"`
	Server         ident.ServerID     `json:"server"`
	State          string             `json:"state"`
	SettingsOffset ident.Offset       `json:"settings_offset"` // -1 if it does not reply
}

// applyReport counts the members that have applied a version of the settings: N of M.
type applyReport struct {
	Version    ident.Offset `json:"version"`
	N          int          `json:"n"`
	M          int          `json:"m"`
	Stragglers []string     `json:"stragglers"` // VMs of members that have not applied it
}

// statusDocument is the response to a status call.
type statusDocument struct {
	Offsets wire.Offsets     `json:"offsets"`
	InForce applyReport      `json:"in_force"`
	Members []memberDocument `json:"members"`
}

// status returns all members, each with the settings offset that it replies.
func (a *API) status(c *call) (any, *refusal.Refusal) {
	offsets := a.config.Fleet.Offsets()
	members := a.memberDocuments(c.Context())
	return statusDocument{Offsets: offsets, InForce: countApplied(members, offsets.Settings), Members: members}, nil
}

// memberDocuments lists all members with their settings offsets; sealed members are
// not asked for theirs.
func (a *API) memberDocuments(ctx context.Context) []memberDocument {
	view := a.config.Fleet.Members()
	documents := []memberDocument{}
	for _, m := range slices.Concat(view.Routers, view.Sides) {
		documents = append(documents, a.memberDocumentOf(m))
	}
	pings := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	live := slices.Concat(view.Routers, view.Sides)
	for i, m := range live {
		pings.Go(func() { documents[i].SettingsOffset = a.ping(ctx, m) })
	}
	pings.Wait()
	for _, sealed := range view.Pending {
		documents = append(documents, a.memberDocumentOf(sealed.Member))
	}
	slices.SortFunc(documents, func(x, y memberDocument) int {
		return cmp.Or(cmp.Compare(x.Role, y.Role), cmp.Compare(x.VM, y.VM), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return documents
}

func (a *API) memberDocumentOf(m fleet.Member) memberDocument {
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

// ping returns a member's settings offset, NoOffset if it does not reply.
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

// countApplied counts the members, without the sealed ones, that have applied a version
// of the settings.
func countApplied(members []memberDocument, version ident.Offset) applyReport {
	report := applyReport{Version: version, Stragglers: []string{}}
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

// awaitApplied waits up to applyWaitTimeout for all members to apply a version, and
// reports how many have.
func (a *API) awaitApplied(ctx context.Context, version ident.Offset) *applyReport {
	ctx, cancel := context.WithTimeout(ctx, applyWaitTimeout)
	defer cancel()
	for {
		report := countApplied(a.memberDocuments(ctx), version)
		if report.N == report.M || !sleep(ctx, applyPollInterval) {
			return &report
		}
	}
}

// sleep waits for d and reports whether ctx has not ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
