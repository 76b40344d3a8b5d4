// Package vmlist is the client interface of the platform's VM list. The list
// lags behind: a missing VM may still run, and a listed one may have stopped.
package vmlist

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// State tells whether the platform is about to remove a VM.
type State string

// States of a listed VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one listed virtual machine.
type VM struct {
	ID         ident.VMID         `json:"id"`
	DataCentre ident.DataCentreID `json:"data_centre"`
	State      State              `json:"state"`
}

// Snapshot is the list as of a time.
type Snapshot struct {
	VMs  []VM
	AsOf time.Time
}

// Lister reads the VM list. After an error the state of every VM is unknown.
type Lister interface {
	VMs(ctx context.Context) (Snapshot, error)
}

// ErrUnavailable means that the list could not be read. It never means that
// the list is empty.
var ErrUnavailable = errors.New("VM list unavailable")

// Find returns the VM with an ID and whether the snapshot lists it.
func (s Snapshot) Find(id ident.VMID) (VM, bool) {
	for _, vm := range s.VMs {
		if vm.ID == id {
			return vm, true
		}
	}
	return VM{}, false
}
