package wire

// outcomeNames are the names of the outcomes in metrics and logs.
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

// String returns the name of the outcome, or "invalid" for an undefined one.
func (o BeginOutcome) String() string {
	if int(o) >= len(outcomeNames) || outcomeNames[o] == "" {
		return "invalid"
	}
	return outcomeNames[o]
}
