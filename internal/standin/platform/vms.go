package platform

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/vmlist"
)

// VMStats counts the reads of the VM list.
type VMStats struct {
	Reads int64 `json:"reads"`
}

func (p *Platform) vmStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	reply(w, VMStats{Reads: p.vmReads.Load()})
}

func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	p.vmReads.Add(1)
	snapshot, err := p.VMs.VMs(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	reply(w, vmlist.Reply{VMs: snapshot.VMs, AsOf: snapshot.AsOf.UnixMilli()})
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	var vm vmlist.VM
	if !decode(w, r, &vm) {
		return
	}
	if vm.State == "" {
		vm.State = vmlist.Live
	}
	if vm.State != vmlist.Live && vm.State != vmlist.Leaving {
		http.Error(w, "state: want live or leaving", http.StatusBadRequest)
		return
	}
	vm.ID = ident.VMID(params.ByName("id"))
	p.VMs.Put(vm)
	reply(w, vm)
}

func (p *Platform) deleteVM(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	p.VMs.Delete(ident.VMID(params.ByName("id")))
	w.WriteHeader(http.StatusNoContent)
}

// loadWeights grants one weight load after its simulated time, or refuses it
// when the rate limit is spent.
func (p *Platform) loadWeights(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !p.weights.Allow() {
		w.Header().Set("Retry-After", "10")
		http.Error(w, "rate limit of the weight store is spent", http.StatusTooManyRequests)
		return
	}
	timer := time.NewTimer(p.load)
	defer timer.Stop()
	select {
	case <-timer.C:
		w.WriteHeader(http.StatusOK)
	case <-r.Context().Done():
	}
}
