package wire

// outcomeNames are the names of the outcomes in counters and logs.
var outcomeNames = [...]string{
	BeginStarted:  "started",
	BeginRunning:  "running",
	BeginDone:     "done",
	BeginGone:     "gone",
	BeginSealed:   "sealed",
	BeginLeaving:  "leaving",
	BeginBehind:   "behind",
	BeginConflict: "conflict",
	BeginFull:     "full",
	BeginUnknown:  "unknown",
	BeginStranger: "stranger",
}

// String returns the name of the outcome, "invalid" if it is none.
func (o BeginOutcome) String() string {
	if int(o) >= len(outcomeNames) || outcomeNames[o] == "" {
		return "invalid"
	}
	return outcomeNames[o]
}
