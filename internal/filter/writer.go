package filter

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/refusal"
)

// Writer writes the response to the caller. Every write has a deadline, so that
// a caller that stops reading is disconnected and does not hold resources.
type Writer struct {
	http    http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration

	// lastExtended is when the write deadline was last extended. Extending it for
	// every event would cost more than writing the event.
	lastExtended time.Time

	Status int   // zero until the header is sent
	Bytes  int64 // of the body, written so far
}

// extendInterval is the minimum time between two extensions of the write deadline.
const extendInterval = time.Second

// NewWriter wraps a response. Timeout bounds each write.
func NewWriter(w http.ResponseWriter, timeout time.Duration) *Writer {
	return &Writer{http: w, control: http.NewResponseController(w), timeout: timeout}
}

// Header returns the response header.
func (w *Writer) Header() http.Header {
	return w.http.Header()
}

// Started reports whether the status and the header have been sent.
func (w *Writer) Started() bool {
	return w.Status != 0
}

// Start sends the status and the header.
func (w *Writer) Start(status int) {
	w.Status = status
	w.extendWriteDeadline()
	w.http.WriteHeader(status)
}

// Write sends p, and status 200 first if Start was not called. It fails if the
// caller is disconnected or too slow.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.Started() {
		w.Start(http.StatusOK)
	}
	w.extendWriteDeadline()
	n, err := w.http.Write(p)
	w.Bytes += int64(n)
	return n, errors.Wrap(err, "write to the caller")
}

// Flush sends buffered data to the caller.
func (w *Writer) Flush() error {
	w.extendWriteDeadline()
	return errors.Wrap(w.control.Flush(), "flush to the caller")
}

// Refuse sends the refusal as a JSON response.
func (w *Writer) Refuse(r *refusal.Refusal) {
	w.Status = refusal.Status(r.Code)
	w.extendWriteDeadline()
	refusal.Write(w.http, r)
}

// SetReadTimeout sets the deadline for reading the request body to d from now.
func (w *Writer) SetReadTimeout(d time.Duration) {
	// Response writers without deadline support, as in tests, return an error;
	// the body is then read without a deadline.
	_ = w.control.SetReadDeadline(time.Now().Add(d))
}

func (w *Writer) extendWriteDeadline() {
	now := time.Now()
	if now.Sub(w.lastExtended) < extendInterval {
		return
	}
	w.lastExtended = now
	_ = w.control.SetWriteDeadline(now.Add(w.timeout))
}
