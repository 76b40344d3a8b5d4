package parse

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// maxMessages is the maximum number of messages in one request.
const maxMessages = 4096

// chatRequest holds the fields of a chat completion request that the router
// reads. The engine gets the body unchanged.
type chatRequest struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	MaxTokens           *int64    `json:"max_tokens"`
	MaxCompletionTokens *int64    `json:"max_completion_tokens"`
	Choices             *int64    `json:"n"`
	Stream              bool      `json:"stream"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
	text    []byte
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

func decodeChat(body []byte) (*chatRequest, error) {
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, describeJSONError(err)
	}
	if c.Model == "" {
		return nil, errors.New("model is missing")
	}
	if len(c.Messages) == 0 {
		return nil, errors.New("messages is missing or empty")
	}
	if len(c.Messages) > maxMessages {
		return nil, errors.Errorf("messages has more than %d elements", maxMessages)
	}
	if c.Choices != nil && *c.Choices != 1 {
		return nil, errors.New("n must be 1")
	}
	if notPositive(c.MaxTokens) || notPositive(c.MaxCompletionTokens) {
		return nil, errors.New("max_tokens must be positive")
	}
	for i := range c.Messages {
		if err := c.Messages[i].decode(); err != nil {
			return nil, errors.WithMessagef(err, "messages[%d]", i)
		}
	}
	return &c, nil
}

// describeJSONError returns an error for the caller that gives the position of a
// JSON error but no Go type names.
func describeJSONError(err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return errors.Errorf("malformed JSON at byte %d", syntax.Offset)
	}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return errors.Errorf("%s has the wrong type (%s)", wrong.Field, wrong.Value)
	}
	return errors.New("malformed JSON")
}

func notPositive(n *int64) bool {
	return n != nil && *n <= 0
}

// decode extracts the text of the content, which may be a string, absent, or a
// list of text parts.
func (m *message) decode() error {
	if m.Role == "" {
		return errors.New("role is missing")
	}
	raw := bytes.TrimSpace(m.Content)
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return nil
	}
	if raw[0] == '"' {
		var text string
		if err := json.Unmarshal(raw, &text); err != nil {
			return errors.New("content is not valid text")
		}
		m.text = []byte(text)
		return nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return errors.New("content must be text or a list of parts")
	}
	for _, p := range parts {
		if p.Type != "text" {
			return errors.New("content parts other than text are not supported")
		}
		m.text = append(m.text, p.Text...)
	}
	return nil
}

// maxOutput returns the smaller of the output limits in the request, in tokens;
// zero if there is none.
func (c *chatRequest) maxOutput() int64 {
	switch {
	case c.MaxTokens == nil && c.MaxCompletionTokens == nil:
		return 0
	case c.MaxTokens == nil:
		return *c.MaxCompletionTokens
	case c.MaxCompletionTokens == nil:
		return *c.MaxTokens
	default:
		return min(*c.MaxTokens, *c.MaxCompletionTokens)
	}
}

func (c *chatRequest) concatenatedText() []byte {
	var all []byte
	for i := range c.Messages {
		all = append(all, c.Messages[i].text...)
	}
	return all
}
