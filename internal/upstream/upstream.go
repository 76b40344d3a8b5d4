// Package upstream sends requests to backend servers over its own pool of
// connections and reads their responses. It reports for every failed attempt
// whether the request can have reached the server.
package upstream

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/membership"
)

// DefaultUrgency is the urgency of a request that does not set one; 0 is the
// most urgent, 9 the least.
const DefaultUrgency = 5

// Request is one request as it is sent to one server.
type Request struct {
	Server      membership.Server
	Method      string
	Target      string // path and query as received from the caller
	Host        string
	Header      http.Header // complete header for the server
	Body        []byte
	Attempt     string        // identifier that the response must repeat
	TimeLeft    time.Duration // until the request's deadline
	Account     string
	LastEventID string
	Urgency     int
	// FreshConn excludes connections that the server may be about to close,
	// because the request must not be sent twice.
	FreshConn bool
	// BeforeSend is called when a connection is ready, right before the request is
	// written. If it fails, nothing is sent, and the error wraps ErrNotSent and its own.
	// Nil if nothing is to be checked.
	BeforeSend func() error
}

// ResponseInfo is what the header of a response says about the attempt.
type ResponseInfo struct {
	Attempt     string        // attempt that the response belongs to, empty if it names none
	NotExecuted bool          // the server did not run the request and will not
	WrongServer bool          // the address now belongs to another server
	FromServer  bool          // the response was written by a backend server, not by an intermediary
	Encoded     bool          // the body has a content encoding, so it is not the body that the server wrote
	KeepAlive   time.Duration // idle time that the server announces, zero if unknown
	Leaving     bool          // the server will stop and wants no new requests
	Cold        time.Duration // the server is cold for so long; zero if it does not say
	Pause       time.Duration // the server wants no requests for so long; zero if it does not say
}

// Observer is told what servers say of themselves in their responses.
type Observer interface {
	// ServerLeaving is called with a server that will stop.
	ServerLeaving(server membership.Server)
	// ServerPaused is called with a server that wants no requests until a time.
	ServerPaused(server membership.Server, until time.Time)
	// ServerCold is called with a server that says for how long it is cold.
	ServerCold(server membership.Server, coldFor time.Duration)
}

// ResponseParser interprets response headers.
type ResponseParser interface {
	ParseResponse(status int, h http.Header) ResponseInfo
}

// Errors of an attempt.
var (
	// ErrNotSent means that no connection to the server could be established, or that
	// BeforeSend failed. The server cannot have run the request.
	ErrNotSent = errors.New("request was not sent")
	// ErrIncompleteResponse means that the request was sent, at least in part,
	// and the connection failed or closed before the response was complete. The
	// request may have run.
	ErrIncompleteResponse = errors.New("connection broke before the response was complete")
	// ErrResponseMismatch means that the bytes received were not a response to
	// the request. The request may have run.
	ErrResponseMismatch = errors.New("response does not belong to the request")
)
