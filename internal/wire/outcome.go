package wire

// outcomeNames are the names of the outcomes in counters and logs.
var outcomeNames = [...]string{
	BeginStarted:          "started",
	BeginRunning:          "running",
	BeginDone:             "done",
	BeginNotRetained:      "gone",
	BeginSealed:           "sealed",
	BeginLeaving:          "leaving",
	BeginBehind:           "behind",
	BeginConflict:         "conflict",
	BeginFull:             "full",
	BeginUnknownKey:       "unknown",
	BeginWrongIncarnation: "stranger",
}

// String returns the name of the outcome, "invalid" if it is none.
func (o BeginOutcome) String() string {
	if int(o) >= len(outcomeNames) || outcomeNames[o] == "" {
		return "invalid"
	}
	return outcomeNames[o]
}
