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

// Request is one request as it is sent to one server.
type Request struct {
	Server      membership.Server
	Method      string
	Target      string // path and query as the caller sent them
	Host        string
	Header      http.Header // complete
	Body        []byte
	Attempt     string        // that the answer must name
	TimeLeft    time.Duration // until the request's deadline
	Account     string
	LastEventID string
	Urgency     int
	// FreshConn asks for a connection that cannot be about to close, since the
	// request must not be sent twice.
	FreshConn bool
}

// ResponseInfo is what the header of an answer says.
type ResponseInfo struct {
	Attempt     string // whose answer it is
	NotExecuted bool   // the server did not run the request and will not
	WrongServer bool   // another server has the address
	FromServer  bool   // a server's own answer
	Encoded     bool   // the body is not the server's
	KeepAlive   time.Duration
}

// ResponseParser reads answer headers.
type ResponseParser interface {
	ParseResponse(status int, h http.Header) ResponseInfo
}

// Errors of an attempt.
var (
	// ErrNotSent means that not all of the request left: the server cannot
	// have run it.
	ErrNotSent = errors.New("request was not sent")
	// ErrIncompleteResponse means that the request left and its answer did not come whole.
	// It may have run.
	ErrIncompleteResponse = errors.New("connection broke before the answer was complete")
	// ErrResponseMismatch means that what came was no answer to the request. It may
	// have run.
	ErrResponseMismatch = errors.New("answer does not belong to the request")
)
