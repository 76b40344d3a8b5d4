package filter

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/membership"
)

// PromptPart is one piece of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Call is what a caller's headers say of a request that is passed on as it
// came.
type Call struct {
	Attempt      string        // the caller's name for this attempt; each has its own
	Key          string        // of the client account, empty if none was sent
	Timeout      time.Duration // for which the caller waits; zero if not told
	Model        string
	PromptTokens int64
	MaxOutput    int64 // tokens
	OutputHint   int64 // the caller's guess of the output tokens; zero if none
	Parts        []PromptPart
	LastEventID  string // the stream goes on after this event; empty from the start
}

// TokenBound is the most that the request can consume.
func (c *Call) TokenBound() int64 {
	return c.PromptTokens + c.MaxOutput
}

// Passthrough is what the chain knows of a request that is passed on as it came.
type Passthrough struct {
	Call     Call
	Settings *catalog.Settings // one version for the whole request
	Route    *catalog.Route
	Account  *catalog.Account // nil on a route without keys
	Service  *catalog.Service
	Body     []byte
	Deadline time.Time // of the whole request

	// Set by the spend filter.
	PrepaidReservation PrepaidReservation

	// What became of the attempts.
	Sends            int               // backend servers to which it was sent
	Server           membership.Server // the last of them
	MayHaveRun       bool              // some server may have begun it
	EventsDelivered  int64             // events that were written to the caller
	TimeToFirstEvent time.Duration     // from its arrival to the first of them; zero if there was none
	LastResult       string            // how the last attempt ended, for the log
}

// PrepaidReservation is tokens that are set aside for one request. Settle is called
// exactly once.
type PrepaidReservation interface {
	Settle(used int64)
}
