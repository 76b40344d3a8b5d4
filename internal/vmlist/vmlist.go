// Package vmlist is the client's view of the platform's VM list. The list
// lags: a VM that is missing may still run, and one that is listed may not.
package vmlist

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// State tells whether a VM is to stay.
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

// Snapshot is the list as it was at a time.
type Snapshot struct {
	VMs  []VM
	AsOf time.Time
}

// Lister reads the VM list. On an error nothing may be concluded about any VM.
type Lister interface {
	VMs(ctx context.Context) (Snapshot, error)
}

// ErrUnavailable means that the list could not be read. It never means that
// the list is empty.
var ErrUnavailable = errors.New("VM list unavailable")

// Find returns a VM of the snapshot.
func (s Snapshot) Find(id ident.VMID) (VM, bool) {
	for _, vm := range s.VMs {
		if vm.ID == id {
			return vm, true
		}
	}
	return VM{}, false
}
