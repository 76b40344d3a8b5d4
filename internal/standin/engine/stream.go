package engine

import (
	"context"
	"encoding/json"
	"sync"
)

// stream is the answer to one request, kept for resumption.
type stream struct {
	id     string
	cancel context.CancelFunc
	done   chan struct{} // closed when nothing more comes
	mu     sync.Mutex    // guards the fields below
	events [][]byte
	grown  chan struct{} // closed and replaced by every event, closed at the end
	usage  bool          // the last event, with the usage, was added
	closed bool
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        delta    `json:"delta"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Total      int64 `json:"total_tokens"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func newStream(id string, cancel context.CancelFunc) *stream {
	return &stream{id: id, cancel: cancel, done: make(chan struct{}), grown: make(chan struct{})}
}

func usageOf(prompt int64, output int) *usage {
	return &usage{Prompt: prompt, Completion: int64(output), Total: prompt + int64(output)}
}

func (s *stream) chunk(model string, c choice) []byte {
	return mustJSON(chunk{ID: s.id, Object: "chat.completion.chunk", Model: model, Choices: []choice{c}})
}

// last returns the event that ends an answer.
func (s *stream) last(model, reason string, u *usage) []byte {
	c := chunk{ID: s.id, Object: "chat.completion.chunk", Model: model, Usage: u}
	c.Choices = []choice{{FinishReason: &reason}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage = true
	return mustJSON(c)
}

func (s *stream) add(event []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event)
	close(s.grown)
	s.grown = make(chan struct{})
}

// finish says that no further event comes.
func (s *stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	close(s.grown)
	close(s.done)
	s.cancel()
}

func (s *stream) finished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// whole reports whether the answer came to its end.
func (s *stream) whole() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage
}

func (s *stream) from(index int) [][]byte {
	events, _, _ := s.wait(index)
	return events
}

// wait returns the events from an index on, the channel that is closed when
// there are more, and whether no more come.
func (s *stream) wait(index int) (events [][]byte, grown <-chan struct{}, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index < len(s.events) {
		events = s.events[index:]
	}
	return events, s.grown, s.closed
}

// mustJSON encodes one of this package's documents, which always can be.
func mustJSON(document any) []byte {
	raw, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return raw
}
