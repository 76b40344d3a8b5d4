package filter

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/membership"
)

// Part is one piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Call is what a caller's headers say of a request that is passed on as it
// came.
type Call struct {
	Attempt      string        // the caller's name for this attempt; each has its own
	Key          string        // of the client account, empty if none was sent
	Wait         time.Duration // for which the caller waits; zero if not told
	Model        string
	PromptTokens int64
	MaxOutput    int64 // tokens
	OutputHint   int64 // the caller's guess of the output tokens; zero if none
	Parts        []Part
	LastEvent    string // the stream goes on after this event; empty from the start
}

// Tokens is the most that the request can consume.
func (c *Call) Tokens() int64 {
	return c.PromptTokens + c.MaxOutput
}

// Passage is what the chain knows of a request that is passed on as it came.
type Passage struct {
	Call     Call
	Settings *catalog.Settings // one version for the whole request
	Route    *catalog.Route
	Account  *catalog.Account // nil on a route without keys
	Service  *catalog.Service
	Body     []byte
	Deadline time.Time // of the whole request

	// Set by the spend filter.
	Spending Spending

	// What became of the attempts.
	Sends      int               // backend servers to which it was sent
	Server     membership.Server // the last of them
	MayHaveRun bool              // some server may have begun it
	Delivered  int64             // events that were written to the caller
	FirstEvent time.Duration     // from its arrival to the first of them; zero if there was none
	Ended      string            // how the last attempt ended, for the log
}

// Spending is tokens that are set aside for one request. Settle is called
// exactly once.
type Spending interface {
	Settle(used int64)
}
