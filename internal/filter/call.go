package filter

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/membership"
)

// PromptPart is a part of a prompt that several requests may have in common.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Call holds the request attributes that a caller sends in headers when the
// body is forwarded unchanged.
type Call struct {
	Attempt      string        // ID that the caller gave this attempt; unique per attempt
	Key          string        // of the client account; empty if none was sent
	Timeout      time.Duration // how long the caller waits; zero if the header is absent
	Model        string
	PromptTokens int64
	MaxOutput    int64 // tokens
	OutputHint   int64 // output tokens that the caller expects; zero if not given
	Parts        []PromptPart
	LastEventID  string // resume the stream after this event; empty to start at the first
}

// TokenBound returns the maximum number of tokens that the request can use.
func (c *Call) TokenBound() int64 {
	return c.PromptTokens + c.MaxOutput
}

// Passthrough is the state of a request whose body is forwarded unchanged.
type Passthrough struct {
	Call     Call
	Settings *catalog.Settings // the same version for the whole request
	Route    *catalog.Route
	Account  *catalog.Account // nil on a route without keys
	Service  *catalog.Service
	Body     []byte
	Deadline time.Time // of the whole request

	// Set by the quarantine filter.
	QuarantineParts []string // parts of the prompt, as the quarantine names them

	// Set by the spend filter.
	PrepaidReservation PrepaidReservation

	// Results of the attempts.
	Sends            int               // number of times the request was sent to a backend server
	Server           membership.Server // last server that the request was sent to
	MayHaveRun       bool              // a server may have started to run the request
	EventsDelivered  int64             // number of events written to the caller
	TimeToFirstEvent time.Duration     // since the request arrived; zero if no event was delivered
	LastResult       string            // result of the last attempt, for the log
}

// PrepaidReservation is a number of prepaid tokens reserved for one request.
// Settle must be called exactly once, with the number of tokens used.
type PrepaidReservation interface {
	Settle(used int64)
}
