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
	maxResumes         = 6 // resume attempts without an event in between
	initialResumeDelay = 50 * time.Millisecond
	maxResumeDelay     = time.Second
)

// Stream reads the answer of one run. It is not safe for concurrent use. It does
// not read ahead beyond the buffers of its connection, so a slow caller delays
// only its own stream.
type Stream struct {
	client        *Client
	ctx           context.Context
	peer          Peer
	resumeRequest wire.ResumeRequest // From is the offset of the next expected event

	beginFrame  wire.Frame
	body        io.ReadCloser
	reader      *wire.FrameReader
	transport   *http.Transport
	cancel      context.CancelFunc
	wd          *watchdog
	resumeCount int
	ended       bool                        // the end frame was read
	delays      *backoff.ExponentialBackOff // before resume attempts
}

func (c *Client) newStream(ctx context.Context, peer Peer, resumeRequest wire.ResumeRequest) *Stream {
	delays := backoff.NewExponentialBackOff()
	// With this randomization factor the library draws a delay between 0 and twice
	// its interval (full jitter), so the intervals are half of the limits.
	delays.InitialInterval = initialResumeDelay / 2
	delays.MaxInterval = maxResumeDelay / 2
	delays.RandomizationFactor = 1
	return &Stream{client: c, ctx: ctx, peer: peer, resumeRequest: resumeRequest, delays: delays}
}

// BeginFrame returns the first frame of the current connection, in which the gate
// reports whether the run was started or found.
func (s *Stream) BeginFrame() wire.Frame {
	return s.beginFrame
}

// Next returns the next event frame, end frame or failure frame, in order and
// without gaps or repetitions. It resumes the stream if the connection fails. It
// fails with ErrNotResumable or with the context's error.
func (s *Stream) Next() (wire.Frame, error) {
	for {
		frame, err := s.readNew()
		if err == nil {
			return frame, nil
		}
		if err := s.resume(err); err != nil {
			return wire.Frame{}, err
		}
	}
}

// Close closes the stream. Its connection is reused only if the answer was read
// to its end.
func (s *Stream) Close() {
	if s.body == nil {
		return
	}
	if s.ended {
		s.wd.reset()
		_, _ = io.Copy(io.Discard, s.body)
		s.body.Close()
		s.body = nil
	}
	s.closeConn()
}

// open sends a request and reads the begin frame.
func (s *Stream) open(path string, request any) error {
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancel = cancel
	s.wd = newWatchdog(cancel)
	response, transport, err := s.client.post(ctx, s.peer, path, request)
	s.transport = transport
	if err != nil {
		s.dropFailed()
		return err
	}
	s.body = response.Body
	s.reader = wire.NewFrameReader(response.Body)
	frame, err := s.readOwn()
	if err == nil && frame.Kind != wire.FrameBegin {
		err = errors.Errorf("first frame has kind %d", frame.Kind)
	}
	if err != nil {
		s.dropFailed()
		return errors.Wrap(ErrNoReply, err.Error())
	}
	s.beginFrame = frame
	s.wd.stop()
	return nil
}

// readNew returns the next event with the expected offset, or the end or failure
// frame. It drops events that were already read and fails on a gap.
func (s *Stream) readNew() (wire.Frame, error) {
	s.wd.reset()
	defer s.wd.stop()
	for {
		frame, err := s.readOwn()
		if err != nil {
			return frame, err
		}
		switch frame.Kind {
		case wire.FrameEvent:
			if frame.Offset < s.resumeRequest.From {
				s.client.counters.Inc("late_frame")
				continue
			}
			if frame.Offset > s.resumeRequest.From {
				s.client.counters.Inc("frame_gap")
				return frame, errors.New("frames are missing")
			}
			s.resumeRequest.From++
			s.resumeCount = 0
			return frame, nil
		case wire.FrameEnd, wire.FrameFailed:
			if frame.Offset > s.resumeRequest.From {
				s.client.counters.Inc("frame_gap")
				return frame, errors.New("frames are missing before the end")
			}
			s.ended = true
			return frame, nil
		}
	}
}

// readOwn returns the next frame of this request and attempt that is not a
// heartbeat. Frames of other requests or attempts do not reset the watchdog.
func (s *Stream) readOwn() (wire.Frame, error) {
	var frame wire.Frame
	for {
		if err := s.reader.Read(&frame); err != nil {
			return frame, err
		}
		if frame.Request != s.resumeRequest.Request || frame.Attempt != s.resumeRequest.Attempt {
			s.client.counters.Inc("crossed_frame")
			continue
		}
		if frame.Kind != wire.FrameHeartbeat {
			return frame, nil
		}
		s.wd.reset()
	}
}

// resume attaches to the answer again at the next offset after the connection
// failed with cause.
func (s *Stream) resume(cause error) error {
	s.dropFailed()
	for s.resumeCount < maxResumes {
		if err := s.wait(); err != nil {
			return err
		}
		s.resumeCount++
		err := s.open(wire.PathAnswer, &s.resumeRequest)
		if err != nil {
			s.client.counters.Inc("resume_failed")
			cause = err
			continue
		}
		switch s.beginFrame.Outcome {
		case wire.BeginRunning, wire.BeginDone:
			s.client.counters.Inc("resumed")
			return nil
		}
		s.closeConn()
		s.client.counters.Inc("lost")
		return errors.Wrapf(ErrNotResumable, "gate answered %d", s.beginFrame.Outcome)
	}
	if err := s.ctx.Err(); err != nil {
		return errors.Wrap(err, "resume")
	}
	s.client.counters.Inc("lost")
	return errors.Wrap(ErrNotResumable, cause.Error())
}

func (s *Stream) wait() error {
	timer := time.NewTimer(s.delays.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.ctx.Done():
		return errors.Wrap(s.ctx.Err(), "resume")
	}
}

// dropFailed closes a failed connection. If it failed because it timed out, the
// transport that it belongs to is replaced.
func (s *Stream) dropFailed() {
	timedOut := s.wd.timedOut.Load()
	s.closeConn()
	if !timedOut || s.transport == nil {
		return
	}
	s.client.counters.Inc("silent")
	s.client.pool(s.peer).replaceTransport(s.transport)
}

func (s *Stream) closeConn() {
	s.wd.stop()
	// Unless the body was read to its end, cancelling before closing the body makes
	// the transport close the connection instead of reusing it.
	s.cancel()
	if s.body != nil {
		s.body.Close()
		s.body = nil
	}
}
