package platform

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// restored is the reply to a restore.
type restored struct {
	Era logservice.Era `json:"era"`
}

// copyLog stores a copy of the log under a name, replacing an older one.
func (p *Platform) copyLog(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	c := p.Log.Copy()
	p.copiesMu.Lock()
	defer p.copiesMu.Unlock()
	p.copies[params.ByName("name")] = c
	w.WriteHeader(http.StatusNoContent)
}

// restoreLog restores the log from a named copy.
func (p *Platform) restoreLog(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	p.copiesMu.Lock()
	c, ok := p.copies[params.ByName("name")]
	p.copiesMu.Unlock()
	if !ok {
		http.Error(w, "no copy has this name", http.StatusNotFound)
		return
	}
	p.Log.Restore(c)
	reply(w, restored{Era: p.Log.Era()})
}
