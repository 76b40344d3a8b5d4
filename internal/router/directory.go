package router

import (
	"sync"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/placement"
	"github.com/camphorlever/camphorlever/internal/relay"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// nodeInfo is the part of node.Node that the directory reads.
type nodeInfo interface {
	Settings() *settings.Tree
	Members() *fleet.View
	// Leaving reports whether a member takes no new work, by its own
	// registration or by the VM list.
	Leaving(m fleet.Member) bool
}

// directory joins the settings of the backend servers with the incarnations of
// their side processes, and updates the placement when either has changed.
type directory struct {
	node   nodeInfo
	picker *placement.Picker
	relay  *relay.Client
	gates  *gateClients

	mu         sync.Mutex // guards the fields below: the input of the last update
	tree       *settings.Tree
	view       *fleet.View
	leavingSum uint64 // sum of the incarnations of the side processes that are leaving
}

// refresh updates the placement if the settings or the members have changed.
// Otherwise it only compares two pointers.
func (d *directory) refresh() {
	tree, view := d.node.Settings(), d.node.Members()
	d.mu.Lock()
	defer d.mu.Unlock()
	if tree == d.tree && view == d.view {
		return
	}
	d.updateLocked(tree, view)
}

// refreshLeaving updates the placement if the set of leaving side processes has
// changed. A change of the VM list alone leaves the members as they are, so
// refresh does not notice it.
func (d *directory) refreshLeaving() {
	tree, view := d.node.Settings(), d.node.Members()
	leavingSum := uint64(0)
	for _, m := range view.Sides {
		if d.node.Leaving(m) {
			leavingSum += uint64(m.Incarnation)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if leavingSum != d.leavingSum {
		d.leavingSum = leavingSum
		d.updateLocked(tree, view)
	}
}

// updateLocked passes the servers to the placement and closes the connections
// to all others. The caller holds d.mu.
func (d *directory) updateLocked(tree *settings.Tree, view *fleet.View) {
	d.tree, d.view = tree, view
	servers := d.liveServers(tree, view)
	d.picker.Update(servers)
	peers := make(map[relay.Peer]bool, len(servers))
	for _, s := range servers {
		peers[relay.Peer{Gate: s.Gate, Address: s.Address}] = true
	}
	d.relay.RetainPeers(peers)
	d.gates.retainPeers(peers)
}

// liveServers returns the backend servers that have a live side process. If two
// incarnations of a side process are not sealed, the newer one is used.
func (d *directory) liveServers(tree *settings.Tree, view *fleet.View) []*placement.Server {
	newest := map[ident.ServerID]fleet.Member{}
	for _, m := range view.Sides {
		if other, ok := newest[m.Registration.Server]; !ok || other.Incarnation < m.Incarnation {
			newest[m.Registration.Server] = m
		}
	}
	result := make([]*placement.Server, 0, len(newest))
	for id, m := range newest {
		server, ok := tree.Servers[id]
		if !ok {
			continue
		}
		result = append(result, &placement.Server{
			ID:       id,
			Gate:     m.Incarnation,
			Address:  m.Registration.Address,
			Models:   server.Models,
			Adapters: server.Adapters,
			Services: server.Services,
			Role:     server.Role,
			Slots:    server.Slots,
			Leaving:  d.node.Leaving(m),
		})
	}
	return result
}

// Gate implements once.Members. It returns false for a gate that is sealed or
// has ended.
func (d *directory) Gate(gate ident.Incarnation) (filter.Target, bool) {
	view := d.node.Members()
	m, ok := view.Member(gate)
	if !ok || m.Sealed || m.Registration.Role != fleet.RoleSide {
		return filter.Target{}, false
	}
	return filter.Target{Server: m.Registration.Server, Gate: gate, Address: m.Registration.Address}, true
}

// CandidateGates implements once.Members. It returns every live gate that serves
// the requested model, adapter or service, including those that are leaving.
func (d *directory) CandidateGates(r *filter.Request) []filter.Target {
	var targets []filter.Target
	for _, s := range d.liveServers(d.node.Settings(), d.node.Members()) {
		if s.Serves(requirements(r)) {
			targets = append(targets, serverTarget(s))
		}
	}
	return targets
}

func serverTarget(s *placement.Server) filter.Target {
	return filter.Target{Server: s.ID, Gate: s.Gate, Address: s.Address}
}

// requirements returns what a server must offer to run the request.
func requirements(r *filter.Request) placement.Requirements {
	return placement.Requirements{Model: r.Call.Model, Adapter: r.Call.Adapter, Service: r.Call.Service}
}
