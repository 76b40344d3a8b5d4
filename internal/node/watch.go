package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/vmlist"
)

// Times of the watch on the VM list.
const (
	watchInterval = 2 * time.Second
	watchTimeout  = 5 * time.Second
	// goneAfter is how long the list must have been without a VM that it
	// named before, by the list's own times.
	goneAfter = 10 * time.Second
	// neverListed is the same for a VM that it has not named yet.
	neverListed = 2 * time.Minute
	sealTimeout = 30 * time.Second
)

// Reasons of a seal.
const (
	reasonGone     = "vm_gone"
	reasonReplaced = "address_taken_over"
)

var watched = counter.NewSet("vm_watch")

// vmWatch follows the VM list. Its routers seal the lives whose VM is gone;
// nothing is freed by that alone. A failed read changes nothing.
type vmWatch struct {
	node *Node

	mu       sync.Mutex // guards all below
	snapshot vmlist.Snapshot
	read     bool                     // the list was read at least once
	missing  map[ident.VMID]time.Time // VMs of members, since when the list lacks them
	listed   map[ident.VMID]struct{}  // VMs of members that were listed before
}

func newVMWatch(n *Node) *vmWatch {
	return &vmWatch{
		node:    n,
		missing: map[ident.VMID]time.Time{},
		listed:  map[ident.VMID]struct{}{},
	}
}

// run watches until ctx ends.
func (w *vmWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.poll(ctx) && w.node.options.Role == fleet.RoleRouter && w.node.Incarnation() != 0 {
			w.sealGone(ctx)
		}
		pauseFor(ctx, watchInterval/2+rand.N(watchInterval), nil)
	}
}

// poll reads the list and reports whether it could.
func (w *vmWatch) poll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	snapshot, err := w.node.vms.VMs(ctx)
	if err != nil {
		watched.Inc("unavailable")
		return false
	}
	w.take(snapshot)
	w.node.changed.raise()
	return true
}

// take notes which VMs of members are missing, and since when.
func (w *vmWatch) take(snapshot vmlist.Snapshot) {
	members := w.node.Members()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.read && !snapshot.AsOf.After(w.snapshot.AsOf) {
		return
	}
	w.snapshot = snapshot
	w.read = true
	present := map[ident.VMID]struct{}{}
	for _, vm := range snapshot.VMs {
		present[vm.ID] = struct{}{}
	}
	missing := map[ident.VMID]time.Time{}
	listed := map[ident.VMID]struct{}{}
	for _, vm := range vmsOf(members) {
		_, here := present[vm]
		_, before := w.listed[vm]
		if here || before {
			listed[vm] = struct{}{}
		}
		if here {
			continue
		}
		since, known := w.missing[vm]
		if !known {
			since = snapshot.AsOf
		}
		missing[vm] = since
	}
	w.missing, w.listed = missing, listed
}

func vmsOf(members *fleet.View) []ident.VMID {
	var vms []ident.VMID
	for _, m := range members.Routers {
		vms = append(vms, m.Registration.VM)
	}
	for _, m := range members.Sides {
		vms = append(vms, m.Registration.VM)
	}
	for _, m := range members.Pending {
		vms = append(vms, m.Registration.VM)
	}
	return vms
}

// gone reports whether the list has been without a VM for long enough.
func (w *vmWatch) gone(vm ident.VMID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	since, missing := w.missing[vm]
	if !missing || !w.trusted() {
		return false
	}
	patience := neverListed
	if _, listed := w.listed[vm]; listed {
		patience = goneAfter
	}
	return w.snapshot.AsOf.Sub(since) >= patience
}

// trusted reports whether the list names the process's own VM. A list that
// does not may be empty or cut short by a fault; then this process seals
// nobody for it, and leaves it to others to judge its own VM.
func (w *vmWatch) trusted() bool {
	_, listed := w.snapshot.Find(w.node.options.VM)
	return listed
}

// leaving reports whether the list names a VM as leaving.
func (w *vmWatch) leaving(id ident.VMID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	vm, ok := w.snapshot.Find(id)
	return ok && vm.State == vmlist.Leaving
}

// sealGone seals the lives whose VM is gone or whose address another life has
// taken over. A random pause lets usually one router write it.
func (w *vmWatch) sealGone(ctx context.Context) {
	if len(w.due()) == 0 || !pauseFor(ctx, rand.N(watchInterval), nil) {
		return
	}
	records := w.due()
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	if _, err := w.node.SubmitFleet(ctx, records...); err == nil {
		watched.Add("seals", int64(len(records)))
	}
}

// due returns the seals that the fleet stream lacks, and the statements that
// VMs are destroyed where the platform's list proves it.
func (w *vmWatch) due() []record.Record {
	members := w.node.Members()
	var records []record.Record
	live := append(append([]fleet.Member{}, members.Routers...), members.Sides...)
	newest := newestByAddress(live)
	for _, m := range live {
		reason := ""
		switch {
		case w.gone(m.Registration.VM):
			reason = reasonGone
		case newest[m.Registration.Address] != m.Incarnation:
			reason = reasonReplaced
		default:
			continue
		}
		records = appendRecord(records, fleet.KindSeal, fleet.Seal{Incarnation: m.Incarnation, Reason: reason})
	}
	if !w.node.Settings().Fleet.VMListFences {
		return records
	}
	for _, m := range members.Pending {
		if !m.Destroyed && w.gone(m.Registration.VM) {
			records = appendRecord(records, fleet.KindDestroyed, fleet.Destroyed{
				VMs:    []ident.VMID{m.Registration.VM},
				UpTo:   m.Incarnation,
				Author: reasonGone,
			})
		}
	}
	return records
}

func newestByAddress(members []fleet.Member) map[string]ident.Incarnation {
	newest := map[string]ident.Incarnation{}
	for _, m := range members {
		address := m.Registration.Address
		newest[address] = max(newest[address], m.Incarnation)
	}
	return newest
}

func appendRecord(records []record.Record, kind record.Kind, body any) []record.Record {
	r, err := record.New(kind, body)
	if err != nil {
		return records
	}
	return append(records, r)
}

// Leaving reports whether a member takes no new work: it said so, or the VM
// list names its VM as leaving.
func (n *Node) Leaving(m fleet.Member) bool {
	return m.Leaving || n.watch.leaving(m.Registration.VM)
}

// OwnVMLeaving reports whether the VM list names the process's own VM as
// leaving.
func (n *Node) OwnVMLeaving() bool {
	return n.watch.leaving(n.options.VM)
}

// Changed returns a channel that is closed when the settings, the membership
// or the VM list next change.
func (n *Node) Changed() <-chan struct{} {
	return n.changed.wait()
}
