package stream

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// maxBufferedBytes limits an answer that is buffered before it is sent.
const maxBufferedBytes = 16 << 20

// sink writes an answer to the caller in the format of the request. Its error is a
// *refusal.Refusal if the answer cannot be converted; any other error means that
// writing to the caller failed.
type sink interface {
	event(data []byte) error
	finish(result wire.Result) error
}

func newSink(r *filter.Request) sink {
	switch {
	case r.Route.Service != "":
		return &plainSink{writer: r.Writer}
	case r.Stream:
		return &eventSink{writer: r.Writer}
	default:
		return &completionSink{writer: r.Writer}
	}
}

// eventSink writes server-sent events.
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

func (s *eventSink) finish(wire.Result) error {
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

// plainSink buffers the body of a plain service, because the status is known only at
// the end of the run.
type plainSink struct {
	writer  *filter.Writer
	body    []byte
	failure error
}

func (s *plainSink) event(data []byte) error {
	if len(s.body)+len(data) <= maxBufferedBytes {
		s.body = append(s.body, data...)
		return nil
	}
	s.failure = refusal.New(refusal.BackendFailed, refusal.DidRun, "The service's answer is too large.")
	return nil
}

func (s *plainSink) finish(result wire.Result) error {
	if s.failure != nil {
		return s.failure
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

// completionSink assembles a chat completion from its chunks and sends it at the end.
type completionSink struct {
	writer    *filter.Writer
	size      int
	assembled completion
	failure   error
}

func (s *completionSink) event(data []byte) error {
	s.size += len(data)
	if s.failure != nil {
		return nil
	}
	if s.size > maxBufferedBytes {
		s.failure = refusal.New(refusal.BackendFailed, refusal.DidRun, "The answer is too large to be collected.")
		return nil
	}
	if err := s.assembled.addChunk(data); err != nil {
		s.failure = refusal.New(refusal.BackendFailed, refusal.DidRun, "The backend server sent an answer that is not a chat completion.")
	}
	return nil
}

func (s *completionSink) finish(wire.Result) error {
	if s.failure != nil {
		return s.failure
	}
	raw, err := json.Marshal(s.assembled.assemble())
	if err != nil {
		return errors.Wrap(err, "encode the completion")
	}
	s.writer.Header().Set("Content-Type", "application/json")
	s.writer.Start(http.StatusOK)
	_, err = s.writer.Write(append(raw, '\n'))
	return err
}
