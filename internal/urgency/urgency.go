// Package urgency decides which of several waiting requests a model engine admits first.
//
// An engine reads prompts in turn, in chunks between the steps of running requests, so a
// long prompt makes all those behind it late. Short prompts first is the order in which
// most requests are in time, and the long ones lose little: what is ahead of them takes
// short to read.
package urgency

import (
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/upstream"
)

// Levels of urgency; 0 is the most urgent that engines know, 9 the least. The ends are
// left for requests that an operator wants before or behind all others.
const (
	first = 1
	last  = 8
	// firstLimit is the number of prompt tokens below which a request has the first level.
	// The limit doubles with each further level, so that the last one begins at 19,200.
	firstLimit = 300
)

// Of returns the urgency of a generation. Only the last part of the prompt counts if there
// are several: the others are shared, and placement sends requests with the same shared
// part to a server that has read it. A request of unknown size has the engines' default.
func Of(call *filter.Call) int {
	if call.PromptTokens <= 0 && len(call.Parts) == 0 {
		return upstream.DefaultUrgency
	}
	unread := call.PromptTokens
	if n := len(call.Parts); n > 0 {
		unread = call.Parts[n-1].Tokens
	}
	level := first
	for limit := int64(firstLimit); level < last && unread >= limit; limit *= 2 {
		level++
	}
	return level
}
