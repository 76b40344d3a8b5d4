package intake

import "io"

const (
	// firstBody is the size of the first buffer for a body of declared length, if
	// it is not shorter. Most bodies fit.
	firstBody = 64 << 10
	// firstChunked is that for a body of unknown length.
	firstChunked = 4 << 10
	// smallGrowth is the factor by which buffers below largeBody grow, and
	// largeGrowth that of larger ones. Memory is reserved for the bytes that
	// arrive, not for the length that a client declares.
	smallGrowth = 4
	largeGrowth = 2
	largeBody   = 256 << 10
)

// ReadBody reads a whole body, of which the length is -1 if it is not known, and
// reserves its memory as it arrives. The reader must limit the size. Errors are
// those of the reader, io.ErrUnexpectedEOF, and ErrFull.
func (h *Holder) ReadBody(from io.Reader, length int64) ([]byte, error) {
	body, err := h.readBody(from, length)
	if err == nil {
		return body, h.Complete()
	}
	// The reader of a request that is given up returns an error of its own.
	if h != nil && h.err() != nil {
		return nil, ErrFull
	}
	return nil, err
}

func (h *Holder) readBody(from io.Reader, length int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := nextSize(cap(body), length)
			if err := h.Reserve(int64(size)); err != nil {
				return nil, err
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			h.Shrink(int64(cap(body)))
			body = grown
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) == length:
			return body, nil
		case err == io.EOF && length < 0:
			return body, nil
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// nextSize returns the size of the next buffer of a body.
func nextSize(size int, length int64) int {
	next := firstChunked
	switch {
	case size == 0 && length > 0:
		next = firstBody
	case size >= largeBody:
		next = largeGrowth * size
	case size > 0:
		next = smallGrowth * size
	}
	if length > 0 && int64(next) > length {
		next = int(length)
	}
	return next
}
