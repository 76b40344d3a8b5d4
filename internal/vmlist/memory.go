package vmlist

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Memory is an in-memory VM list with an adjustable lag. The stand-in platform
// serves it, and tests use it directly. Create it with NewMemory.
type Memory struct {
	mu       sync.Mutex // guards all fields; versions are ordered by time
	lag      time.Duration
	down     bool
	versions []Snapshot
}

var _ Lister = (*Memory)(nil)

// NewMemory returns a list of the given VMs that has no lag.
func NewMemory(vms ...VM) *Memory {
	return &Memory{versions: []Snapshot{{VMs: vms, AsOf: time.Now()}}}
}

// VMs returns the list as of one lag ago.
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

// Put adds a VM or replaces the one with its ID.
func (m *Memory) Put(vm VM) {
	m.addVersion(vm.ID, &vm)
}

// Delete removes a VM.
func (m *Memory) Delete(id ident.VMID) {
	m.addVersion(id, nil)
}

// SetLag sets how far the returned list is behind the present one.
func (m *Memory) SetLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
}

// SetDown makes reads fail with ErrUnavailable, or succeed again.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// addVersion appends a version in which vm replaces the VM with the given ID; a nil vm
// removes it.
func (m *Memory) addVersion(id ident.VMID, vm *VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.versions[len(m.versions)-1].VMs
	vms := slices.DeleteFunc(slices.Clone(current), func(v VM) bool { return v.ID == id })
	if vm != nil {
		vms = append(vms, *vm)
	}
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	now := time.Now()
	m.prune(now.Add(-m.lag))
	m.versions = append(m.versions, Snapshot{VMs: vms, AsOf: now})
}

// prune drops the versions that had been replaced by the given time.
func (m *Memory) prune(before time.Time) {
	for len(m.versions) > 1 && !m.versions[1].AsOf.After(before) {
		m.versions = m.versions[1:]
	}
}
