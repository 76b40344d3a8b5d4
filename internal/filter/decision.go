package filter

import (
	"time"

	"github.com/rs/zerolog"
)

// Decision is a routing decision made for a request. Decisions are kept until
// the request ends, because only then it is known whether they are logged.
type Decision struct {
	Elapsed time.Duration // since the request arrived
	Name    string
	Fields  func(*zerolog.Event) // adds the inputs of the decision to a log event
}

// Note records a decision. The name becomes the message of its log line. It may be called
// concurrently with itself.
func (r *Request) Note(name string, fields func(*zerolog.Event)) {
	r.noteMu.Lock()
	defer r.noteMu.Unlock()
	r.Decisions = append(r.Decisions, Decision{Elapsed: time.Since(r.Received), Name: name, Fields: fields})
}
