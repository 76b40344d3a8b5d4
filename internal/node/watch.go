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

// Timing of the VM list polling.
const (
	watchInterval = 2 * time.Second
	watchTimeout  = 5 * time.Second
	// removalDelay is how long a VM that was listed before must be missing
	// from the list until it counts as removed, by the timestamps of the list.
	removalDelay = 10 * time.Second
	// unlistedRemovalDelay is the same for a VM that was never listed.
	unlistedRemovalDelay = 2 * time.Minute
	sealTimeout          = 30 * time.Second
)

// Reasons of a seal.
const (
	reasonRemoved  = "vm_gone"
	reasonReplaced = "address_taken_over"
)

var vmWatchEvents = counter.NewSet("vm_watch")

// vmWatcher polls the VM list. On a router it also seals the incarnations whose
// VM is removed; a seal alone frees no tokens. A failed read changes nothing.
type vmWatcher struct {
	node *Node

	mu           sync.Mutex // guards all below
	snapshot     vmlist.Snapshot
	hasSnapshot  bool                     // whether the list was read at least once
	missingSince map[ident.VMID]time.Time // by VM of a member, since when the list lacks it
	everListed   map[ident.VMID]struct{}  // VMs of members that the list has contained
}

func newVMWatcher(n *Node) *vmWatcher {
	return &vmWatcher{
		node:         n,
		missingSince: map[ident.VMID]time.Time{},
		everListed:   map[ident.VMID]struct{}{},
	}
}

// run polls the VM list until ctx ends.
func (w *vmWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.poll(ctx) && w.node.options.Role == fleet.RoleRouter && w.node.Incarnation() != 0 {
			w.sealRemoved(ctx)
		}
		pauseFor(ctx, watchInterval/2+rand.N(watchInterval), nil)
	}
}

// poll reads the VM list and reports whether the read succeeded.
func (w *vmWatcher) poll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	snapshot, err := w.node.vms.VMs(ctx)
	if err != nil {
		vmWatchEvents.Inc("unavailable")
		return false
	}
	w.observe(snapshot)
	w.node.changed.raise()
	return true
}

// observe records which VMs of members are missing from the list, and since
// when. A snapshot that is not newer than the last one is ignored.
func (w *vmWatcher) observe(snapshot vmlist.Snapshot) {
	members := w.node.Members()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hasSnapshot && !snapshot.AsOf.After(w.snapshot.AsOf) {
		return
	}
	w.snapshot = snapshot
	w.hasSnapshot = true
	current := map[ident.VMID]struct{}{}
	for _, vm := range snapshot.VMs {
		current[vm.ID] = struct{}{}
	}
	missingSince := map[ident.VMID]time.Time{}
	everListed := map[ident.VMID]struct{}{}
	for _, vm := range memberVMs(members) {
		_, isListed := current[vm]
		_, wasListed := w.everListed[vm]
		if isListed || wasListed {
			everListed[vm] = struct{}{}
		}
		if isListed {
			continue
		}
		since, wasMissing := w.missingSince[vm]
		if !wasMissing {
			since = snapshot.AsOf
		}
		missingSince[vm] = since
	}
	w.missingSince, w.everListed = missingSince, everListed
}

func memberVMs(members *fleet.View) []ident.VMID {
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

// isRemoved reports whether a VM has been missing from the list long enough to
// count as removed.
func (w *vmWatcher) isRemoved(vm ident.VMID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	since, missing := w.missingSince[vm]
	if !missing || !w.listsOwnVM() {
		return false
	}
	delay := unlistedRemovalDelay
	if _, listed := w.everListed[vm]; listed {
		delay = removalDelay
	}
	return w.snapshot.AsOf.Sub(since) >= delay
}

// listsOwnVM reports whether the list contains the VM of this process. A list
// without it may be empty or truncated by a fault. This process then seals no
// incarnation because of the list; whether its own VM is removed is left to the
// other routers.
func (w *vmWatcher) listsOwnVM() bool {
	_, listed := w.snapshot.Find(w.node.options.VM)
	return listed
}

// isLeaving reports whether the list contains a VM in the state Leaving.
func (w *vmWatcher) isLeaving(id ident.VMID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	vm, ok := w.snapshot.Find(id)
	return ok && vm.State == vmlist.Leaving
}

// sealRemoved seals the incarnations whose VM is removed or whose address a newer
// incarnation has registered. A random delay makes it likely that only one
// router writes the seals.
func (w *vmWatcher) sealRemoved(ctx context.Context) {
	if len(w.missingRecords()) == 0 || !pauseFor(ctx, rand.N(watchInterval), nil) {
		return
	}
	records := w.missingRecords()
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	if _, err := w.node.SubmitFleet(ctx, records...); err == nil {
		vmWatchEvents.Add("seals", int64(len(records)))
	}
}

// missingRecords returns the seals that the fleet stream lacks. If the settings
// say that the platform's VM list fences, it adds a Destroyed record for each
// sealed incarnation whose VM is removed.
func (w *vmWatcher) missingRecords() []record.Record {
	members := w.node.Members()
	var records []record.Record
	live := append(append([]fleet.Member{}, members.Routers...), members.Sides...)
	newest := newestByAddress(live)
	for _, m := range live {
		reason := ""
		switch {
		case w.isRemoved(m.Registration.VM):
			reason = reasonRemoved
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
		if !m.Destroyed && w.isRemoved(m.Registration.VM) {
			records = appendRecord(records, fleet.KindDestroyed, fleet.Destroyed{
				VMs:    []ident.VMID{m.Registration.VM},
				UpTo:   m.Incarnation,
				Author: reasonRemoved,
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

// Leaving reports whether a member accepts no new work, because it has announced
// so or because its VM is in the state Leaving in the VM list.
func (n *Node) Leaving(m fleet.Member) bool {
	return m.Leaving || n.vmWatcher.isLeaving(m.Registration.VM)
}

// OwnVMLeaving reports whether the VM of this process is in the state Leaving in
// the VM list.
func (n *Node) OwnVMLeaving() bool {
	return n.vmWatcher.isLeaving(n.options.VM)
}

// Changed returns a channel that is closed when the settings, the membership
// or the VM list next change.
func (n *Node) Changed() <-chan struct{} {
	return n.changed.wait()
}
