package refusal

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Write reports the code, the execution state and Retry-After to the caller.
func TestWriteSetsStatusBodyAndRetryAfter(t *testing.T) {
	cases := []struct {
		refusal    Refusal
		status     int
		retryAfter string
	}{
		{Refusal{Code: BadRequest, Ran: NotRun, Message: "m"}, 400, ""},
		{Refusal{Code: BudgetExhausted, Ran: NotRun, Message: "m"}, 402, ""},
		{Refusal{Code: BudgetUnreachable, Ran: NotRun, Message: "m"}, 503, ""},
		{Refusal{Code: Overloaded, Ran: NotRun, Message: "m", RetryAfter: 1100 * time.Millisecond}, 429, "2"},
		{Refusal{Code: OutcomeUnknown, Ran: MayHaveRun, Message: "m"}, 502, ""},
	}
	for _, c := range cases {
		rec := httptest.NewRecorder()
		Write(rec, &c.refusal)
		require.Equal(t, c.status, rec.Code, c.refusal.Code)
		require.Equal(t, c.retryAfter, rec.Header().Get("Retry-After"))
		var got struct {
			Error map[string]string `json:"error"`
		}
		require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &got))
		require.Equal(t, string(c.refusal.Code), got.Error["code"])
		require.Equal(t, string(c.refusal.Ran), got.Error["ran"])
	}
}
