package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/wire"
)

// Limits of the resumption of one stream.
const (
	maxResumes     = 6 // without an event in between
	firstResumeGap = 50 * time.Millisecond
	longestGap     = time.Second
)

// Stream is the answer of one run. It is not safe for concurrent use. It
// reads no further ahead than its connection's buffers: a caller that does
// not take the frames holds back this stream and no other.
type Stream struct {
	client *Client
	ctx    context.Context
	peer   Peer
	resume wire.ResumeRequest // From is the next event wanted

	begin     wire.Frame
	body      io.ReadCloser
	reader    *wire.FrameReader
	transport *http.Transport
	cancel    context.CancelFunc
	dog       *watchdog
	resumes   int
	ended     bool // the end frame was read
	gap       *backoff.ExponentialBackOff
}

func (c *Client) newStream(ctx context.Context, peer Peer, resume wire.ResumeRequest) *Stream {
	gap := backoff.NewExponentialBackOff()
	// The library draws from interval ± interval: full jitter up to twice the
	// interval given to it.
	gap.InitialInterval = firstResumeGap / 2
	gap.MaxInterval = longestGap / 2
	gap.RandomizationFactor = 1
	return &Stream{client: c, ctx: ctx, peer: peer, resume: resume, gap: gap}
}

// BeginFrame returns the gate's answer to the begin.
func (s *Stream) BeginFrame() wire.Frame {
	return s.begin
}

// Next returns the next event, end or failure, in order and without gap or
// repetition, resuming as needed. It fails with ErrLost, or with the
// context's error.
func (s *Stream) Next() (wire.Frame, error) {
	for {
		frame, err := s.read()
		if err == nil {
			return frame, nil
		}
		if err := s.reopen(err); err != nil {
			return wire.Frame{}, err
		}
	}
}

// Close ends the stream. Its connection is reused only if the answer was
// read to its end.
func (s *Stream) Close() {
	if s.body == nil {
		return
	}
	if s.ended {
		s.dog.arm()
		_, _ = io.Copy(io.Discard, s.body)
		s.body.Close()
		s.body = nil
	}
	s.drop()
}

// open sends a request and reads the gate's first frame.
func (s *Stream) open(path string, request any) error {
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancel = cancel
	s.dog = newWatchdog(cancel)
	response, transport, err := s.client.post(ctx, s.peer, path, request)
	s.transport = transport
	if err != nil {
		s.abandon()
		return err
	}
	s.body = response.Body
	s.reader = wire.NewFrameReader(response.Body)
	frame, err := s.own()
	if err == nil && frame.Kind != wire.FrameBegin {
		err = errors.Errorf("first frame has kind %d", frame.Kind)
	}
	if err != nil {
		s.abandon()
		return errors.Wrap(ErrNoReply, err.Error())
	}
	s.begin = frame
	s.dog.rest()
	return nil
}

// read returns the next frame that carries something new.
func (s *Stream) read() (wire.Frame, error) {
	s.dog.arm()
	defer s.dog.rest()
	for {
		frame, err := s.own()
		if err != nil {
			return frame, err
		}
		switch frame.Kind {
		case wire.FrameEvent:
			if frame.Offset < s.resume.From {
				s.client.counters.Inc("late_frame")
				continue
			}
			if frame.Offset > s.resume.From {
				s.client.counters.Inc("frame_gap")
				return frame, errors.New("frames are missing")
			}
			s.resume.From++
			s.resumes = 0
			return frame, nil
		case wire.FrameEnd, wire.FrameFailed:
			if frame.Offset > s.resume.From {
				s.client.counters.Inc("frame_gap")
				return frame, errors.New("frames are missing before the end")
			}
			s.ended = true
			return frame, nil
		}
	}
}

// own returns the next frame of this request and attempt that is no
// heartbeat. Frames of others do not count as signs of life.
func (s *Stream) own() (wire.Frame, error) {
	var frame wire.Frame
	for {
		if err := s.reader.Read(&frame); err != nil {
			return frame, err
		}
		if frame.Request != s.resume.Request || frame.Attempt != s.resume.Attempt {
			s.client.counters.Inc("crossed_frame")
			continue
		}
		if frame.Kind != wire.FrameHeartbeat {
			return frame, nil
		}
		s.dog.arm()
	}
}

// reopen attaches again at the next offset, after an error of the old
// connection.
func (s *Stream) reopen(cause error) error {
	s.abandon()
	for s.resumes < maxResumes {
		if err := s.wait(); err != nil {
			return err
		}
		s.resumes++
		err := s.open(wire.PathAnswer, &s.resume)
		if err != nil {
			s.client.counters.Inc("resume_failed")
			cause = err
			continue
		}
		switch s.begin.Outcome {
		case wire.BeginRunning, wire.BeginDone:
			s.client.counters.Inc("resumed")
			return nil
		}
		s.drop()
		s.client.counters.Inc("lost")
		return errors.Wrapf(ErrNotResumable, "gate answered %d", s.begin.Outcome)
	}
	if err := s.ctx.Err(); err != nil {
		return errors.Wrap(err, "resume")
	}
	s.client.counters.Inc("lost")
	return errors.Wrap(ErrNotResumable, cause.Error())
}

func (s *Stream) wait() error {
	timer := time.NewTimer(s.gap.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.ctx.Done():
		return errors.Wrap(s.ctx.Err(), "resume")
	}
}

// abandon drops a connection that failed and, if it was silent, the pool
// that it came from.
func (s *Stream) abandon() {
	silent := s.dog.silent.Load()
	s.drop()
	if !silent || s.transport == nil {
		return
	}
	s.client.counters.Inc("silent")
	s.client.link(s.peer).distrust(s.transport)
}

func (s *Stream) drop() {
	s.dog.rest()
	// Without an end frame read to the last byte, cancelling first makes the
	// transport close the connection instead of reusing it.
	s.cancel()
	if s.body != nil {
		s.body.Close()
		s.body = nil
	}
}
