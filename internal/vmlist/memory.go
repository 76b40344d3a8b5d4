package vmlist

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Memory is a VM list in memory with a settable lag. The stand-in platform
// serves it, and tests use it directly. Use NewMemory.
type Memory struct {
	mu       sync.Mutex // guards all fields; versions are in order of time
	lag      time.Duration
	down     bool
	versions []Snapshot
}

var _ Lister = (*Memory)(nil)

// NewMemory returns a list of the given VMs without a lag.
func NewMemory(vms ...VM) *Memory {
	return &Memory{versions: []Snapshot{{VMs: vms, AsOf: time.Now()}}}
}

// VMs returns the list as it was the lag ago.
func (m *Memory) VMs(context.Context) (Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return Snapshot{}, ErrUnavailable
	}
	asOf := time.Now().Add(-m.lag)
	m.prune(asOf)
	vms := slices.Clone(m.versions[0].VMs)
	return Snapshot{VMs: vms, AsOf: asOf}, nil
}

// Put adds a VM or changes it.
func (m *Memory) Put(vm VM) {
	m.change(vm.ID, &vm)
}

// Delete removes a VM.
func (m *Memory) Delete(id ident.VMID) {
	m.change(id, nil)
}

// SetLag sets how old the list is that readers see.
func (m *Memory) SetLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
}

// SetDown makes reads fail, or work again.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// change adds a version without the VM of that name and with the new one.
func (m *Memory) change(id ident.VMID, vm *VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := m.versions[len(m.versions)-1].VMs
	vms := slices.DeleteFunc(slices.Clone(newest), func(v VM) bool { return v.ID == id })
	if vm != nil {
		vms = append(vms, *vm)
	}
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	now := time.Now()
	m.prune(now.Add(-m.lag))
	m.versions = append(m.versions, Snapshot{VMs: vms, AsOf: now})
}

// prune drops the versions that were replaced before a time.
func (m *Memory) prune(before time.Time) {
	for len(m.versions) > 1 && !m.versions[1].AsOf.After(before) {
		m.versions = m.versions[1:]
	}
}
