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

// membership is what the router reads of its node.
type membership interface {
	Settings() *settings.Tree
	Members() *fleet.View
	// Leaving also heeds the VM list.
	Leaving(m fleet.Member) bool
}

// directory joins the settings of the servers with the lives of their side
// processes, and hands the result to the placement when either has changed.
type directory struct {
	node   membership
	picker *placement.Picker
	relay  *relay.Client
	gates  *gates

	mu   sync.Mutex // guards what was last handed on
	tree *settings.Tree
	view *fleet.View
	vms  uint64 // sum of the lives that leave
}

// refresh brings the placement up to date. It is cheap if nothing changed.
func (d *directory) refresh() {
	tree, view := d.node.Settings(), d.node.Members()
	d.mu.Lock()
	defer d.mu.Unlock()
	if tree == d.tree && view == d.view {
		return
	}
	d.update(tree, view)
}

// refreshVMs brings the placement up to date if the VM list has changed.
func (d *directory) refreshVMs() {
	tree, view := d.node.Settings(), d.node.Members()
	leaving := uint64(0)
	for _, m := range view.Sides {
		if d.node.Leaving(m) {
			leaving += uint64(m.Incarnation)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if leaving != d.vms {
		d.vms = leaving
		d.update(tree, view)
	}
}

// update needs the lock.
func (d *directory) update(tree *settings.Tree, view *fleet.View) {
	d.tree, d.view = tree, view
	servers := d.servers(tree, view)
	d.picker.Update(servers)
	peers := make(map[relay.Peer]bool, len(servers))
	for _, s := range servers {
		peers[relay.Peer{Gate: s.Gate, Address: s.Address}] = true
	}
	d.relay.RetainPeers(peers)
	d.gates.keep(peers)
}

// servers lists the backend servers that have a live side process. If a
// server has two lives that are not sealed, the newer one counts.
func (d *directory) servers(tree *settings.Tree, view *fleet.View) []*placement.Server {
	newest := map[ident.ServerID]fleet.Member{}
	for _, m := range view.Sides {
		if old, ok := newest[m.Registration.Server]; !ok || old.Incarnation < m.Incarnation {
			newest[m.Registration.Server] = m
		}
	}
	list := make([]*placement.Server, 0, len(newest))
	for id, m := range newest {
		server, ok := tree.Servers[id]
		if !ok {
			continue
		}
		list = append(list, &placement.Server{
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
	return list
}

// Gate finds a gate that is neither sealed nor gone.
func (d *directory) Gate(gate ident.Incarnation) (filter.Target, bool) {
	view := d.node.Members()
	m, ok := view.Member(gate)
	if !ok || m.Sealed || m.Registration.Role != fleet.RoleSide {
		return filter.Target{}, false
	}
	return filter.Target{Server: m.Registration.Server, Gate: gate, Address: m.Registration.Address}, true
}

// CandidateGates implements once.Members: all gates that are not over and serve what
// the request asks for, also those that leave.
func (d *directory) CandidateGates(r *filter.Request) []filter.Target {
	var targets []filter.Target
	for _, s := range d.servers(d.node.Settings(), d.node.Members()) {
		if s.Serves(want(r)) {
			targets = append(targets, target(s))
		}
	}
	return targets
}

func target(s *placement.Server) filter.Target {
	return filter.Target{Server: s.ID, Gate: s.Gate, Address: s.Address}
}

func want(r *filter.Request) placement.Requirements {
	return placement.Requirements{Model: r.Call.Model, Adapter: r.Call.Adapter, Service: r.Call.Service}
}
