// Package sequence decides which bytes of a response are events of its stream, so that
// they may be sent to the caller, and whether the stream can be resumed on another server.
// It does no I/O.
//
// Servers number the events of a stream with consecutive ids. A faulty server may send
// bytes in between that are no event of the stream, and break off or never end. If such
// bytes were sent and the stream was resumed, the caller would take them for a part of a
// complete answer.
package sequence

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/eventstream"
)

// Reasons why a part ends early, besides those of eventstream.
var (
	ErrOutOfOrder = errors.New("events are out of order")
	ErrTooMany    = errors.New("stream has more events than the request allows tokens")
	ErrFlood      = errors.New("too many bytes without a numbered event")
)

const (
	// finalEvents is how many events of a stream may have no token, such as one that
	// marks its end.
	finalEvents = 1
	// maxBytesBetween limits the comments, and the withheld events, between two events.
	// Together they may be as long as one event.
	maxBytesBetween = eventstream.MaxEventBytes
)

var byteOrderMark = []byte("\ufeff")

// numbering is whether the events of a response have numbers.
type numbering uint8

const (
	undecided        numbering = iota // no event was sent
	startsNumbered                    // the first event had a number
	startsUnnumbered                  // the first event had none
)

// Sequence follows the events of one response, which come in parts from one server after
// the other. It is not safe for concurrent use.
type Sequence struct {
	maxEvents int64 // zero for no limit

	numbering numbering
	lastID    string // of the last event that the caller has
	last      uint64 // lastID as a number
	hasLast   bool   // lastID is a number
	started   bool   // something was sent to the caller
	damaged   bool   // what was sent may not belong to the stream

	events     int64 // sent
	unnumbered int64 // of these without a number

	part           part
	withheld       []byte
	withheldEvents int64
	bytesBetween   int // of comments and withheld events since the last event of the stream
}

// part is the state of what the present server sends.
type part struct {
	resumes  bool // it has to go on after an event that the caller has
	received bool // an event has arrived
	advanced bool // a numbered event that the caller did not have has arrived
}

// New returns the sequence of the response to a request that may produce maxOutput tokens,
// zero if that is unknown. lastEventID is the event that the caller already has, empty if it
// has none.
func New(lastEventID string, maxOutput int64) *Sequence {
	s := &Sequence{lastID: lastEventID}
	if maxOutput > 0 {
		s.maxEvents = maxOutput + finalEvents
	}
	s.last, s.hasLast = parseNumber(lastEventID)
	return s
}

// StartPart begins the part of another server. What was withheld of the one before is
// dropped.
func (s *Sequence) StartPart() {
	s.part = part{resumes: s.started && s.hasLast}
	s.withheld, s.withheldEvents, s.bytesBetween = nil, 0, 0
}

// Accepted is the outcome of Accept.
type Accepted struct {
	Send []byte // for the caller; valid as long as the received bytes are
	// Progress reports whether events of the stream were received, including ones that
	// the caller already has. Comments, and what is withheld, are no progress.
	Progress bool
}

// Accept checks complete events and comments in the order in which they are received. If
// one of them does not belong to the stream, Accept fails, and Send has only those before.
//
// Events that the caller already has are dropped at the start of a part. Events without a
// number that follow numbered ones are withheld until the next numbered event or the end of
// the stream: nothing else tells them from bytes that do not belong to it. So are empty lines.
func (s *Sequence) Accept(received []byte) (Accepted, error) {
	var failed error
	accepted, position, from, to := Accepted{}, 0, 0, 0
	eventstream.Split(received, func(raw []byte) bool {
		var v verdict
		if v, failed = s.judge(raw); failed != nil {
			return false
		}
		position += len(raw)
		switch v {
		case sendComment:
			to = position
		case sendEvent:
			to = position
			accepted.Progress = true
		case drop:
			from, to = position, position // with the comments between such events
			s.withheld = nil
			accepted.Progress = true
		}
		return true
	})
	accepted.Send = received[from:to]
	if len(accepted.Send) > 0 {
		s.started = true
		if len(s.withheld) > 0 {
			accepted.Send = append(s.withheld, accepted.Send...)
			s.withheld = nil
		}
	}
	s.withheld = append(s.withheld, received[to:position]...)
	return accepted, failed
}

// verdict is what is done with an event or a comment.
type verdict uint8

const (
	sendEvent   verdict = iota // after what was withheld before it
	sendComment                // the same
	withhold                   // until what comes after it is sent, or the stream ends
	drop                       // the caller has it
)

func (s *Sequence) judge(raw []byte) (verdict, error) {
	if !s.started && !s.part.received {
		raw = bytes.TrimPrefix(raw, byteOrderMark)
	}
	event, err := eventstream.Parse(raw)
	if err != nil {
		return 0, err
	}
	if event.Comment {
		return s.judgeComment(event.Empty, len(raw))
	}
	s.part.received = true
	if number, ok := parseNumber(event.ID); ok {
		return s.judgeNumbered(event.ID, number)
	}
	if s.numbering == startsUnnumbered || (s.numbering == undecided && !s.part.resumes) {
		s.numbering = startsUnnumbered
		s.unnumbered++
		return sendEvent, s.count(1)
	}
	return s.judgeUnnumbered(event.ID, len(raw))
}

// judgeComment judges a comment, which is sent at once since it may keep a connection alive, or
// empty lines. Those are withheld: bytes of another origin may begin with one.
func (s *Sequence) judgeComment(isEmpty bool, size int) (verdict, error) {
	if s.bytesBetween += size; s.bytesBetween > maxBytesBetween {
		s.damaged = true
		return 0, ErrFlood
	}
	if isEmpty || s.withheldEvents > 0 {
		return withhold, nil
	}
	return sendComment, nil
}

func (s *Sequence) judgeNumbered(id string, number uint64) (verdict, error) {
	if s.hasLast && number <= s.last && !s.part.advanced {
		return drop, nil
	}
	if s.hasLast && number != s.last+1 {
		return 0, ErrOutOfOrder
	}
	if err := s.count(1 + s.withheldEvents); err != nil {
		return 0, err
	}
	if s.numbering == undecided {
		s.numbering = startsNumbered
	}
	s.lastID, s.last, s.hasLast = id, number, true
	s.part.advanced = true
	s.releaseWithheld()
	return sendEvent, nil
}

// judgeUnnumbered judges an event whose id is no number, or that has none, in a numbered
// stream.
func (s *Sequence) judgeUnnumbered(id string, size int) (verdict, error) {
	if id != "" || !s.part.advanced {
		return 0, ErrOutOfOrder
	}
	if s.bytesBetween += size; s.bytesBetween > maxBytesBetween {
		return 0, ErrFlood
	}
	s.withheldEvents++
	return withhold, nil
}

// releaseWithheld records that what was withheld is sent.
func (s *Sequence) releaseWithheld() {
	s.unnumbered += s.withheldEvents
	s.withheldEvents = 0
}

// count counts events that are sent. A server that sends more than the limit may have sent
// others before that do not belong to the stream.
func (s *Sequence) count(n int64) error {
	s.bytesBetween = 0
	if s.maxEvents > 0 && s.events+n > s.maxEvents {
		s.damaged = true
		return ErrTooMany
	}
	s.events += n
	return nil
}

// End ends the sequence after the server has ended the stream. It returns what was withheld,
// for the caller.
func (s *Sequence) End() ([]byte, error) {
	if err := s.count(s.withheldEvents); err != nil {
		return nil, err
	}
	s.releaseWithheld()
	return s.withheld, nil
}

// IsEmpty reports whether the present server has sent no event.
func (s *Sequence) IsEmpty() bool { return !s.part.received }

// CanResume reports whether another server can go on with the stream after LastEventID, so
// that the response holds nothing else than the events of the stream.
func (s *Sequence) CanResume() bool {
	return s.hasLast && s.numbering != startsUnnumbered && !s.damaged
}

// Started reports whether something was sent to the caller.
func (s *Sequence) Started() bool { return s.started }

// Fork returns a copy that begins the part of another server, which may go on in place of the
// present one.
func (s *Sequence) Fork() *Sequence {
	fork := *s
	fork.StartPart()
	return &fork
}

// LastEventID returns the id of the last event that the caller has, empty if it has none.
func (s *Sequence) LastEventID() string { return s.lastID }

// Events returns the number of events that were sent.
func (s *Sequence) Events() int64 { return s.events }

// Unnumbered returns the number of events without a number that were sent.
func (s *Sequence) Unnumbered() int64 { return s.unnumbered }

// parseNumber parses an event's id. It reports whether the id is a number.
func parseNumber(id string) (uint64, bool) {
	number, err := strconv.ParseUint(id, 10, 63) // its successor fits as well
	return number, err == nil
}
