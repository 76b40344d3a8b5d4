package refusal

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

// Status returns the HTTP status code for a refusal code. Codes without a
// status of their own map to 503.
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

// responseBody is the JSON document that reports a refusal.
type responseBody struct {
	Error *Refusal `json:"error"`
}

// Write sends the refusal as a JSON response. RetryAfter is rounded up to whole
// seconds.
func Write(w http.ResponseWriter, r *Refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		seconds := math.Ceil(r.RetryAfter.Seconds())
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(Status(r.Code))
	// A write error means that the caller has disconnected; there is no one
	// else to report it to.
	_ = json.NewEncoder(w).Encode(responseBody{Error: r})
}

// SaysNotRun reports whether a caller takes an HTTP status as a promise that its request
// has not run and never will.
func SaysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
