// Package refusal defines the stable codes that the fleet returns for refused
// requests, and whether a refused request may have run.
package refusal

import "time"

// Execution reports whether a backend server ran a refused request.
type Execution string

// Execution states of a refused request.
const (
	NotRun     Execution = "not_run" // no gate has started it and none will
	MayHaveRun Execution = "unknown" // the outcome is unknown
	DidRun     Execution = "ran"     // it ran; its answer is incomplete or lost
)

// Code is a stable, machine-readable reason for a refusal.
type Code string

// Refusal codes. docs/OPERATIONS.md describes how a caller should react to
// each.
const (
	BadRequest         Code = "bad_request"
	BodyTooLarge       Code = "body_too_large"
	Unauthorized       Code = "unauthorized"
	Forbidden          Code = "forbidden"
	UnknownModel       Code = "unknown_model"
	UnknownService     Code = "unknown_service"
	OutputTooLarge     Code = "output_too_large"
	KeyReused          Code = "idempotency_key_reused" // same key with a different request body
	AlreadyClaimed     Code = "already_claimed"        // the key of a request that must not be repeated was claimed before
	BudgetExhausted    Code = "budget_exhausted"       // the ledger shows too few tokens
	BudgetUnreachable  Code = "budget_unreachable"     // the ledger or a peer that may hold tokens is unreachable
	Overloaded         Code = "overloaded"             // load was shed; Retry-After is set
	MemoryFull         Code = "memory_full"            // the process holds too many bytes of callers
	NoServer           Code = "no_server"
	PromptQuarantined  Code = "prompt_quarantined" // a part of the prompt has crashed servers
	LogUnavailable     Code = "log_unavailable"    // claims cannot be appended to the log at present
	Stopping           Code = "stopping"
	NotReady           Code = "not_ready"
	DeadlineExceeded   Code = "deadline_exceeded"
	BackendFailed      Code = "backend_failed"
	OutcomeUnknown     Code = "outcome_unknown"
	AnswerNotRetained  Code = "answer_not_retained" // it ran, but its answer is no longer buffered
	RetryBudgetSpent   Code = "retry_budget_spent"
	ConflictingVersion Code = "conflicting_version" // the settings changed since they were read
	NotFound           Code = "not_found"
	CallerDisconnected Code = "caller_gone" // the caller has disconnected
	Internal           Code = "internal"
)

// Refusal describes why a request got no complete answer. It is a regular
// outcome rather than a program failure; it implements error so that it can be
// returned through library interfaces.
type Refusal struct {
	Code       Code          `json:"code"`
	Message    string        `json:"message"`
	Ran        Execution     `json:"ran"`
	RetryAfter time.Duration `json:"-"`
	RequestID  string        `json:"request_id,omitempty"`
}

// New returns a refusal without RetryAfter and RequestID.
func New(code Code, ran Execution, message string) *Refusal {
	return &Refusal{Code: code, Ran: ran, Message: message}
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}
