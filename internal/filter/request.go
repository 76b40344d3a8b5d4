package filter

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"sync"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Headers of the API for callers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOnce           = "X-Camphor-Once"
	HeaderAdapter        = "X-Adapter"
	HeaderTimeoutMS      = "X-Camphor-Timeout-Ms"
	HeaderRequestID      = "X-Request-Id"
	HeaderRun            = "X-Camphor-Run"
	HeaderReplayed       = "X-Camphor-Replayed"
)

// Route identifies the API endpoint that a request was sent to.
type Route struct {
	Service ident.ServiceID // empty for a chat completion
	Path    string          // relative to the service's prefix
}

// Request is the state of one request in the chain. It is not safe for
// concurrent use: only the goroutine that serves the request uses it.
type Request struct {
	ID       ident.RequestID
	HTTP     *http.Request
	Writer   *Writer
	Route    Route
	Received time.Time
	Settings *settings.Tree // the same version for the whole request

	// Set by auth.
	Caller settings.Caller
	Team   settings.Team

	// Set by parse.
	Call            wire.Call
	Stream          bool
	Contents        []byte // concatenated message contents
	MessageCount    int
	RequestedOutput int64 // zero if the caller set no limit
	CallerKey       string
	Once            bool

	// Set by limits.
	PromptBound int64
	MaxOutput   int64
	Priority    int

	// Set by key.
	Key      ident.Key
	BodyHash ident.Key
	Owners   []Target // gates at which a keyed request may run; empty without a key
	Attach   bool     // read the existing answer at Target, do not begin a run

	// Set by admit.
	Reservation Reservation

	// Set by place for each attempt.
	Attempt         uint32
	Target          Target
	AttemptObserver AttemptObserver
	TriedGates      []ident.Incarnation
	BlockHashes     []uint64

	// Passthrough is set if the body is forwarded unchanged. The fields from
	// Caller to BlockHashes are then empty.
	Passthrough *Passthrough
	Decisions   []Decision // in the order in which they were made
	noteMu      sync.Mutex // guards Decisions while attempts are in progress

	// MayHaveRun means that an earlier attempt may have run at a gate.
	MayHaveRun bool
	// ClaimChecked means that the once filter has handled the request, so that
	// its refusals already take earlier requests with the same key into account.
	ClaimChecked bool
}

// Target is one incarnation of a side process.
type Target struct {
	Server  ident.ServerID
	Gate    ident.Incarnation
	Address string
}

// AttemptObserver is notified of the progress of an attempt.
type AttemptObserver interface {
	FirstToken() // the first token has just arrived
	Failed()     // the server is unreachable or aborted the run
}

// NopObserver ignores notifications. It is used if the gate was not chosen by the
// placer but because it already has the request's key or the key's claim names it.
type NopObserver struct{}

// FirstToken does nothing.
func (NopObserver) FirstToken() {}

// Failed does nothing.
func (NopObserver) Failed() {}

// TokenBound returns the maximum number of tokens that the run may use.
func (r *Request) TokenBound() int64 {
	return r.PromptBound + r.MaxOutput
}

// Keyed reports whether the caller sent an idempotency key.
func (r *Request) Keyed() bool {
	return r.CallerKey != ""
}

// HashCall returns a hash of the content of a call. It distinguishes a repeated
// request from a different request that reuses the same idempotency key.
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

// Reservation is the part of a grant that is reserved for one run, as large as
// the run's token bound. Exactly one of Settle and KeepReserved must be called.
type Reservation interface {
	Holder() ident.Incarnation // holder of the grant that is billed
	Settle(actual int64)       // releases the tokens that were not used
	// KeepReserved keeps all tokens reserved until the usage of the key's run at
	// the gate is known.
	KeepReserved(key ident.Key, gate ident.Incarnation)
}
