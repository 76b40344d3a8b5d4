// Package refusal holds the stable codes with which the fleet refuses a
// request, and what each says about whether the request ran.
package refusal

import "time"

// Execution tells whether a refused request was executed by a backend server.
type Execution string

// The three truths that a refusal can tell.
const (
	NotRun     Execution = "not_run" // no gate has started it and none will
	MayHaveRun Execution = "unknown" // it may have run
	DidRun     Execution = "ran"     // it ran; its answer is incomplete or gone
)

// Code is a stable, machine-readable reason.
type Code string

// The refusal codes. docs/OPERATIONS.md says what a caller does with each.
const (
	BadRequest         Code = "bad_request"
	BodyTooLarge       Code = "body_too_large"
	Unauthorized       Code = "unauthorized"
	Forbidden          Code = "forbidden"
	UnknownModel       Code = "unknown_model"
	UnknownService     Code = "unknown_service"
	OutputTooLarge     Code = "output_too_large"
	KeyReused          Code = "idempotency_key_reused" // same key, another request body
	AlreadyClaimed     Code = "already_claimed"        // not-to-be-repeated key was claimed before
	BudgetExhausted    Code = "budget_exhausted"       // the ledger shows it
	BudgetUnreachable  Code = "budget_unreachable"     // cannot be known now
	Overloaded         Code = "overloaded"             // shed; Retry-After is set
	NoServer           Code = "no_server"
	LogUnavailable     Code = "log_unavailable" // a claim cannot be written now
	Stopping           Code = "stopping"
	NotReady           Code = "not_ready"
	DeadlineExceeded   Code = "deadline_exceeded"
	BackendFailed      Code = "backend_failed"
	OutcomeUnknown     Code = "outcome_unknown"
	AnswerNotRetained  Code = "answer_not_retained" // ran, its answer is no longer buffered
	RetryBudgetSpent   Code = "retry_budget_spent"
	ConflictingVersion Code = "conflicting_version" // settings changed since they were read
	NotFound           Code = "not_found"
	CallerDisconnected Code = "caller_gone" // nobody is there to be answered
	Internal           Code = "internal"
)

// Refusal is a request's outcome other than an answer. It is a value, not a
// failure of the program; it implements error so that it can be returned
// through library interfaces.
type Refusal struct {
	Code       Code          `json:"code"`
	Message    string        `json:"message"`
	Ran        Execution     `json:"ran"`
	RetryAfter time.Duration `json:"-"`
	RequestID  string        `json:"request_id,omitempty"`
}

// New returns a refusal.
func New(code Code, ran Execution, message string) *Refusal {
	return &Refusal{Code: code, Ran: ran, Message: message}
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}
