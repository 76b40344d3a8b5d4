package filter

import (
	"time"

	"github.com/rs/zerolog"
)

// Step is one decision on a request, kept until it is known whether the request
// is worth logging in full.
type Step struct {
	At       time.Duration // since the request's arrival
	Decision string
	Inputs   func(*zerolog.Event) // what decided it
}

// Note adds a decision to the request's trail.
func (r *Request) Note(decision string, inputs func(*zerolog.Event)) {
	r.Trail = append(r.Trail, Step{At: time.Since(r.Received), Decision: decision, Inputs: inputs})
}
