// Package upstream sends requests to backend servers over connections of its
// own and takes their answers apart. It knows for every attempt whether the
// request can have reached the server.
package upstream

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/membership"
)

// DefaultUrgency is the urgency of a request that says nothing of it; 0 is the
// most urgent, 9 the least.
const DefaultUrgency = 5

// Send is one request as it is sent to one server.
type Send struct {
	Server    membership.Server
	Method    string
	Target    string // path and query as the caller sent them
	Host      string
	Header    http.Header // complete
	Body      []byte
	Attempt   string        // that the answer must name
	Left      time.Duration // until the request's deadline
	Account   string
	LastEvent string
	Urgency   int
	// Fresh asks for a connection that cannot be about to close, since the
	// request must not be sent twice.
	Fresh bool
}

// Tells is what the header of an answer says.
type Tells struct {
	Attempt     string // whose answer it is
	NotExecuted bool   // the server did not run the request and will not
	WrongServer bool   // another server has the address
	Sealed      bool   // a server's own answer
	Encoded     bool   // the body is not the server's
	KeepAlive   time.Duration
}

// Reader reads answer headers.
type Reader interface {
	Answer(status int, h http.Header) Tells
}

// Errors of an attempt.
var (
	// ErrNotSent means that not all of the request left: the server cannot
	// have run it.
	ErrNotSent = errors.New("request was not sent")
	// ErrBroken means that the request left and its answer did not come whole.
	// It may have run.
	ErrBroken = errors.New("connection broke before the answer was complete")
	// ErrForeign means that what came was no answer to the request. It may
	// have run.
	ErrForeign = errors.New("answer does not belong to the request")
)
