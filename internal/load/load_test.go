package load

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/standin/engine"
)

func TestWrongAnswersAreTold(t *testing.T) {
	chat := Chat{Model: "plots", Messages: []engine.Message{{Role: "user", Content: "Row 7?"}}, MaxTokens: 50}
	own := chat.Want()
	event := func(text string) string {
		return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
	}
	const done = "data: [DONE]\n\n"
	half := len(own) / 2
	for _, c := range []struct {
		name, kind, body string
		status           int
		want             string // empty: nothing is wrong
	}{
		{"streamed", "text/event-stream", event(own[:half]) + event(own[half:]) + done, 200, ""},
		{"streamed, cut off", "text/event-stream", event(own), 200, "broke off"},
		{"streamed, a piece lost", "text/event-stream", event(own[:half]) + done, 200, "another's answer"},
		{"streamed, a piece twice", "text/event-stream", event(own) + event(own) + done, 200, "another's answer"},
		{"streamed, refused half way", "text/event-stream", event(own) + `data: {"error":{"code":"backend_failed"}}`, 200, "backend_failed"},
		{"plain", "application/json", fmt.Sprintf(`{"choices":[{"message":{"content":%q}}]}`, own), 200, ""},
		{"plain, another's", "application/json", `{"choices":[{"message":{"content":"x"}}]}`, 200, "another's answer"},
		{"plain, cut off", "application/json", `{"choices":[{"mess`, 200, "another's answer"},
		{"refused", "application/json", `{"error":{"code":"overloaded","ran":"not_run"}}`, 429, "overloaded"},
		{"no JSON", "text/html", `<html>`, 502, "status 502"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", c.kind)
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			call, err := chat.Call()
			require.NoError(t, err)
			reply, err := NewCaller("k").Send(t.Context(), server.URL, call)
			problem := WrongChat(chat, reply, err)
			require.Equal(t, c.want == "", problem == "", problem)
			require.True(t, strings.Contains(problem, c.want), problem)
		})
	}
}
