package filter

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/refusal"
)

// Writer is the way to the caller. Every write has a deadline, so that a
// caller that stops reading is cut off and holds nothing.
type Writer struct {
	http    http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration

	// extended is when the write deadline was last moved. Moving it for every
	// event would cost more than writing the event.
	extended time.Time

	Status int // zero until the caller was sent something
	Bytes  int64
}

// extendEvery is how often the write deadline moves at most.
const extendEvery = time.Second

// NewWriter wraps a response. Timeout bounds each single write.
func NewWriter(w http.ResponseWriter, timeout time.Duration) *Writer {
	return &Writer{http: w, control: http.NewResponseController(w), timeout: timeout}
}

// Header returns the header to be sent.
func (w *Writer) Header() http.Header {
	return w.http.Header()
}

// Started reports whether the caller has been sent anything.
func (w *Writer) Started() bool {
	return w.Status != 0
}

// Start sends the status and the header.
func (w *Writer) Start(status int) {
	w.Status = status
	w.extend()
	w.http.WriteHeader(status)
}

// Write sends bytes. It fails if the caller is gone or too slow.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.Started() {
		w.Start(http.StatusOK)
	}
	w.extend()
	n, err := w.http.Write(p)
	w.Bytes += int64(n)
	return n, errors.Wrap(err, "write to the caller")
}

// Flush hands what was written to the connection.
func (w *Writer) Flush() error {
	w.extend()
	return errors.Wrap(w.control.Flush(), "flush to the caller")
}

// Refuse answers with the refusal as JSON.
func (w *Writer) Refuse(r *refusal.Refusal) {
	w.Status = refusal.Status(r.Code)
	w.extend()
	refusal.Write(w.http, r)
}

// SetReadTimeout bounds reading the request's body.
func (w *Writer) SetReadTimeout(d time.Duration) {
	// Responses without deadlines, as in tests, are read without one.
	_ = w.control.SetReadDeadline(time.Now().Add(d))
}

func (w *Writer) extend() {
	now := time.Now()
	if now.Sub(w.extended) < extendEvery {
		return
	}
	w.extended = now
	_ = w.control.SetWriteDeadline(now.Add(w.timeout))
}
