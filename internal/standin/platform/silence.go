package platform

import (
	"io"
	"net/http"
	"sync"

	"github.com/julienschmidt/httprouter"
)

// silence holds back calls for as long as the platform is silent. A call that
// arrived in the silence is never answered, as on a connection that something
// between the two ends has lost track of.
type silence struct {
	mu sync.Mutex // guards on
	on bool
}

func newSilence() *silence {
	return &silence{}
}

func (s *silence) set(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on = on
}

func (s *silence) isOn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.on
}

// guard wraps a handler so that it falls silent.
func (s *silence) guard(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		if s.isOn() {
			hold(r)
			return
		}
		next(w, r, params)
	}
}

// hold keeps a call open until its caller goes. The server notices that only
// once the body has been read.
func hold(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}
