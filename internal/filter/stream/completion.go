package stream

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// chunk is one chat.completion.chunk from an engine.
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

// completion is a chat.completion that is assembled from its chunks.
type completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`

	content      []byte
	toolCalls    []toolCall
	finishReason *string
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

// maxToolCalls limits the number of tool calls in one answer.
const maxToolCalls = 256

// addChunk decodes one chunk and merges it into the completion.
func (c *completion) addChunk(data []byte) error {
	var next chunk
	if err := json.Unmarshal(data, &next); err != nil {
		return errors.Wrap(err, "decode chunk")
	}
	if len(next.Error) > 0 && string(next.Error) != "null" {
		return errors.New("chunk contains an error")
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
			c.finishReason = choice.FinishReason
		}
		for _, call := range choice.Delta.ToolCalls {
			if err := c.addToolCall(call); err != nil {
				return err
			}
		}
	}
	return nil
}

// addToolCall appends a fragment to the tool call of the same index.
func (c *completion) addToolCall(call toolDelta) error {
	if call.Index < 0 || call.Index >= maxToolCalls {
		return errors.New("tool call index out of range")
	}
	for len(c.toolCalls) <= call.Index {
		c.toolCalls = append(c.toolCalls, toolCall{Type: "function"})
	}
	whole := &c.toolCalls[call.Index]
	whole.ID += call.ID
	whole.Function.Name += call.Function.Name
	whole.Function.Arguments += call.Function.Arguments
	return nil
}

// assemble fills in the document to send and returns it.
func (c *completion) assemble() *completion {
	c.Object = "chat.completion"
	c.Choices = []wholeChoice{{
		Message:      wholeMessage{Role: "assistant", Content: string(c.content), ToolCalls: c.toolCalls},
		FinishReason: c.finishReason,
	}}
	return c
}
