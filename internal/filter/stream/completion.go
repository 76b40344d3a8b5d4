package stream

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// chunk is one chat.completion.chunk of an engine.
type chunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

type chunkChoice struct {
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role      string      `json:"role"`
	Content   string      `json:"content"`
	ToolCalls []toolDelta `json:"tool_calls"`
}

type toolDelta struct {
	Index    int      `json:"index"`
	ID       string   `json:"id"`
	Type     string   `json:"type"`
	Function function `json:"function"`
}

type function struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// completion is the whole chat.completion.
type completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`

	content []byte
	calls   []toolCall
	reason  *string
}

type wholeChoice struct {
	Index        int          `json:"index"`
	Message      wholeMessage `json:"message"`
	FinishReason *string      `json:"finish_reason"`
}

type wholeMessage struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type toolCall struct {
	ID       string   `json:"id"`
	Type     string   `json:"type"`
	Function function `json:"function"`
}

// maxToolCalls bounds the index of a tool call in one answer.
const maxToolCalls = 256

// add takes in one chunk.
func (c *completion) add(data []byte) error {
	var next chunk
	if err := json.Unmarshal(data, &next); err != nil {
		return errors.Wrap(err, "decode chunk")
	}
	if len(next.Error) > 0 && string(next.Error) != "null" {
		return errors.New("chunk is an error")
	}
	if next.ID != "" {
		c.ID, c.Created, c.Model = next.ID, next.Created, next.Model
	}
	if len(next.Usage) > 0 && string(next.Usage) != "null" {
		c.Usage = next.Usage
	}
	for _, choice := range next.Choices {
		c.content = append(c.content, choice.Delta.Content...)
		if choice.FinishReason != nil {
			c.reason = choice.FinishReason
		}
		for _, call := range choice.Delta.ToolCalls {
			if err := c.addCall(call); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *completion) addCall(call toolDelta) error {
	if call.Index < 0 || call.Index >= maxToolCalls {
		return errors.New("tool call index out of range")
	}
	for len(c.calls) <= call.Index {
		c.calls = append(c.calls, toolCall{Type: "function"})
	}
	whole := &c.calls[call.Index]
	whole.ID += call.ID
	whole.Function.Name += call.Function.Name
	whole.Function.Arguments += call.Function.Arguments
	return nil
}

// finish returns the document to send.
func (c *completion) finish() *completion {
	c.Object = "chat.completion"
	c.Choices = []wholeChoice{{
		Message:      wholeMessage{Role: "assistant", Content: string(c.content), ToolCalls: c.calls},
		FinishReason: c.reason,
	}}
	return c
}
