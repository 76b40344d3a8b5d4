package upstream

import "io"

// limitedReader is a reader that fails with an error of its own once a limit is
// reached, while one is set.
type limitedReader struct {
	source    io.Reader
	limited   bool
	remaining int   // bytes that may still be read while limited
	exceeded  error // returned when none remain
}

// setLimit allows n more bytes, after which reads fail with err.
func (r *limitedReader) setLimit(n int, err error) {
	r.limited, r.remaining, r.exceeded = true, n, err
}

// clearLimit allows any number of bytes.
func (r *limitedReader) clearLimit() { r.limited = false }

// Read implements io.Reader.
func (r *limitedReader) Read(b []byte) (int, error) {
	if !r.limited {
		return r.source.Read(b)
	}
	if r.remaining <= 0 {
		return 0, r.exceeded
	}
	n, err := r.source.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	return n, err
}
