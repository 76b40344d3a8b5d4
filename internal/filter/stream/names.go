package stream

import "github.com/camphorlever/camphorlever/internal/wire"

// outcomeName returns the counter's name of a gate's answer.
func outcomeName(o wire.BeginOutcome) string {
	names := [...]string{
		wire.BeginStarted:  "started",
		wire.BeginRunning:  "running",
		wire.BeginDone:     "done",
		wire.BeginGone:     "gone",
		wire.BeginSealed:   "sealed",
		wire.BeginLeaving:  "leaving",
		wire.BeginBehind:   "behind",
		wire.BeginConflict: "conflict",
		wire.BeginFull:     "full",
		wire.BeginUnknown:  "unknown",
		wire.BeginStranger: "stranger",
	}
	if int(o) >= len(names) || names[o] == "" {
		return "invalid"
	}
	return names[o]
}
