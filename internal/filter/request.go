package filter

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Headers of the callers' interface.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOnce           = "X-Camphor-Once"
	HeaderAdapter        = "X-Adapter"
	HeaderTimeoutMS      = "X-Camphor-Timeout-Ms"
	HeaderRequestID      = "X-Request-Id"
	HeaderRun            = "X-Camphor-Run"
	HeaderReplayed       = "X-Camphor-Replayed"
)

// Route says which part of the callers' interface a request came through.
type Route struct {
	Service ident.ServiceID // empty for chat completions
	Path    string          // below the service's prefix
}

// Request is one request on its way through the chain. It belongs to the
// goroutine that serves it.
type Request struct {
	ID       ident.RequestID
	HTTP     *http.Request
	Writer   *Writer
	Route    Route
	Received time.Time
	Settings *settings.Tree // one consistent tree for the whole request

	// Set by auth.
	Caller settings.Caller
	Team   settings.Team

	// Set by parse.
	Call            wire.Call
	Stream          bool
	Contents        []byte // concatenated message contents
	MessageCount    int
	RequestedOutput int64 // zero if the caller did not say
	CallerKey       string
	Once            bool

	// Set by limits.
	PromptBound int64
	MaxOutput   int64
	Priority    int

	// Set by key.
	Key      ident.Key
	BodyHash ident.Key
	Owners   []Target // where a keyed request may run; empty if it has no key
	Attach   bool     // the answer exists at Target, do not begin a run

	// Set by admit.
	Reservation Reservation

	// Set by place for each attempt.
	Attempt         uint32
	Target          Target
	AttemptObserver AttemptObserver
	TriedGates      []ident.Incarnation
	BlockHashes     []uint64

	// Passthrough is set on requests that are passed on as they came; the fields
	// above from Caller on stay empty then.
	Passthrough *Passthrough
	Decisions   []Decision // decisions on it so far

	// MayHaveRun means that an earlier attempt may have run somewhere.
	MayHaveRun bool
	// ClaimChecked means that the claim filter answers for earlier requests with
	// the key.
	ClaimChecked bool
}

// Target is one life of a side process.
type Target struct {
	Server  ident.ServerID
	Gate    ident.Incarnation
	Address string
}

// AttemptObserver is told how an attempt at its server goes.
type AttemptObserver interface {
	FirstToken() // came now
	Failed()     // the server cannot be reached or broke the run off
}

// NopObserver is for attempts at a server that was not chosen by load.
type NopObserver struct{}

// FirstToken does nothing.
func (NopObserver) FirstToken() {}

// Failed does nothing.
func (NopObserver) Failed() {}

// TokenBound returns the tokens that the run may use at most.
func (r *Request) TokenBound() int64 {
	return r.PromptBound + r.MaxOutput
}

// Keyed reports whether the caller gave an idempotency key.
func (r *Request) Keyed() bool {
	return r.CallerKey != ""
}

// HashCall identifies what a call asks for, to tell a repeated request from
// another one under the same key.
func HashCall(call *wire.Call) ident.Key {
	h := sha256.New()
	for _, part := range []string{
		string(call.Service), string(call.Model), string(call.Adapter), call.Method, call.Path,
	} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(call.Body)
	var key ident.Key
	copy(key[:], h.Sum(nil))
	return key
}

// Reservation is a part of a grant that covers one run's bound. Exactly one
// of Settle and Hold is called.
type Reservation interface {
	Holder() ident.Incarnation // of the grant that pays
	Settle(actual int64)       // frees what was not used
	// KeepReserved leaves all of it reserved until it is known what the key's run at
	// the gate has used.
	KeepReserved(key ident.Key, gate ident.Incarnation)
}
