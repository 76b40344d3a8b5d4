package filter

import (
	"time"

	"github.com/rs/zerolog"
)

// Decision is one decision on a request, kept until it is known whether the request
// is worth logging in full.
type Decision struct {
	Elapsed time.Duration // since the request's arrival
	Name    string
	Fields  func(*zerolog.Event) // what decided it
}

// Note adds a decision to the request's trail.
func (r *Request) Note(decision string, inputs func(*zerolog.Event)) {
	r.Decisions = append(r.Decisions, Decision{Elapsed: time.Since(r.Received), Name: decision, Fields: inputs})
}
