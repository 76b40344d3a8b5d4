package refusal

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

// Status returns the HTTP status of a refusal code.
func Status(code Code) int {
	switch code {
	case BadRequest, OutputTooLarge:
		return http.StatusBadRequest
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case Unauthorized:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case UnknownModel, UnknownService, NotFound:
		return http.StatusNotFound
	case KeyReused:
		return http.StatusUnprocessableEntity
	case AlreadyClaimed, ConflictingVersion:
		return http.StatusConflict
	case BudgetExhausted:
		return http.StatusPaymentRequired
	case Overloaded:
		return http.StatusTooManyRequests
	case DeadlineExceeded:
		return http.StatusGatewayTimeout
	case BackendFailed, OutcomeUnknown, AnswerNotRetained:
		return http.StatusBadGateway
	case Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// body is the JSON document of a refusal.
type body struct {
	Error *Refusal `json:"error"`
}

// Write answers an HTTP request with the refusal as JSON.
func Write(w http.ResponseWriter, r *Refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		seconds := math.Ceil(r.RetryAfter.Seconds())
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(Status(r.Code))
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(body{Error: r})
}
