package stream

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// maxWhole bounds an answer that is collected before it is sent, in bytes.
const maxWhole = 16 << 20

// sink gives an answer the form that the caller asked for. It fails with a
// refusal if the answer has no such form, else if the caller is gone.
type sink interface {
	event(data []byte) error
	end(result wire.Result) error
}

func newSink(r *filter.Request) sink {
	switch {
	case r.Route.Service != "":
		return &plainSink{writer: r.Writer}
	case r.Stream:
		return &eventSink{writer: r.Writer}
	default:
		return &wholeSink{writer: r.Writer}
	}
}

// eventSink sends server-sent events.
type eventSink struct {
	writer *filter.Writer
	line   []byte
}

func (s *eventSink) event(data []byte) error {
	s.start()
	s.line = append(s.line[:0], "data: "...)
	s.line = append(s.line, data...)
	s.line = append(s.line, "\n\n"...)
	if _, err := s.writer.Write(s.line); err != nil {
		return err
	}
	return s.writer.Flush()
}

func (s *eventSink) end(wire.Result) error {
	return s.event([]byte("[DONE]"))
}

func (s *eventSink) start() {
	if s.writer.Started() {
		return
	}
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.writer.Start(http.StatusOK)
}

// plainSink collects the body of a plain service, whose status is known only
// at its end.
type plainSink struct {
	writer *filter.Writer
	body   []byte
	broken error
}

func (s *plainSink) event(data []byte) error {
	if len(s.body)+len(data) <= maxWhole {
		s.body = append(s.body, data...)
		return nil
	}
	s.broken = refusal.New(refusal.BackendFailed, refusal.DidRun, "The service's answer is too large.")
	return nil
}

func (s *plainSink) end(result wire.Result) error {
	if s.broken != nil {
		return s.broken
	}
	if result.ContentType != "" {
		s.writer.Header().Set("Content-Type", result.ContentType)
	}
	status := result.Status
	if status < http.StatusOK || status > 599 {
		status = http.StatusOK
	}
	s.writer.Start(status)
	_, err := s.writer.Write(s.body)
	return err
}

// wholeSink assembles one chat completion from its chunks.
type wholeSink struct {
	writer *filter.Writer
	size   int
	whole  completion
	broken error
}

func (s *wholeSink) event(data []byte) error {
	s.size += len(data)
	if s.broken != nil {
		return nil
	}
	if s.size > maxWhole {
		s.broken = refusal.New(refusal.BackendFailed, refusal.DidRun, "The answer is too large to be collected.")
		return nil
	}
	if err := s.whole.add(data); err != nil {
		s.broken = refusal.New(refusal.BackendFailed, refusal.DidRun, "The backend server sent an answer that is not a chat completion.")
	}
	return nil
}

func (s *wholeSink) end(wire.Result) error {
	if s.broken != nil {
		return s.broken
	}
	raw, err := json.Marshal(s.whole.finish())
	if err != nil {
		return errors.Wrap(err, "encode the completion")
	}
	s.writer.Header().Set("Content-Type", "application/json")
	s.writer.Start(http.StatusOK)
	_, err = s.writer.Write(append(raw, '\n'))
	return err
}
