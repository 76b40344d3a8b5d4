package platform

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/camphorlever/camphorlever/internal/memlog"
)

// Faults changes the faults in force; fields left out stay as they are.
type Faults struct {
	Log              *string `json:"log,omitempty"` // up, down, slow or lose_replies
	SlowMS           *int    `json:"slow_ms,omitempty"`
	RetentionEntries *int    `json:"retention_entries,omitempty"`
	VMs              *string `json:"vms,omitempty"` // up or down
	VMsLagMS         *int    `json:"vms_lag_ms,omitempty"`
	Silent           *bool   `json:"silent,omitempty"` // accept connections, answer nothing
}

// defaultSlow is the delay of a slow log when none is named.
const defaultSlow = time.Second

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	if !p.Apply(f) {
		http.Error(w, "log: want up, down, slow or lose_replies; vms: want up or down", http.StatusBadRequest)
		return
	}
	reply(w, f)
}

// Apply puts faults in force. It reports false, and changes nothing, when a
// mode is not known.
func (p *Platform) Apply(f Faults) bool {
	if !known(f.Log, "up", "down", "slow", "lose_replies") || !known(f.VMs, "up", "down") {
		return false
	}
	if f.Log != nil {
		p.setLog(*f.Log, f.SlowMS)
	} else if f.SlowMS != nil {
		p.Log.SetDelay(milliseconds(*f.SlowMS))
	}
	if f.RetentionEntries != nil {
		p.Log.SetRetention(*f.RetentionEntries)
	}
	if f.VMs != nil {
		p.VMs.SetDown(*f.VMs == "down")
	}
	if f.VMsLagMS != nil {
		p.VMs.SetLag(milliseconds(*f.VMsLagMS))
	}
	if f.Silent != nil {
		p.silence.set(*f.Silent)
	}
	return true
}

func (p *Platform) setLog(mode string, slowMS *int) {
	delay := time.Duration(0)
	if mode == "slow" {
		delay = defaultSlow
	}
	if slowMS != nil {
		delay = milliseconds(*slowMS)
	}
	lost := 0
	if mode == "lose_replies" {
		lost = memlog.Always
	}
	p.Log.SetDelay(delay)
	p.Log.LoseReplies(lost)
	p.Log.SetDown(mode == "down")
}

// known reports whether a mode is unset or one of the listed.
func known(mode *string, modes ...string) bool {
	if mode == nil {
		return true
	}
	for _, m := range modes {
		if m == *mode {
			return true
		}
	}
	return false
}

func milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
