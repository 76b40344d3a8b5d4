package wire

import (
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// FrameWriter encodes frames to a stream. It is not safe for concurrent use.
type FrameWriter struct {
	enc *msgpack.Encoder
}

// NewFrameWriter returns a FrameWriter that writes to w.
func NewFrameWriter(w io.Writer) *FrameWriter {
	enc := msgpack.NewEncoder(w)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	return &FrameWriter{enc: enc}
}

// Write encodes one frame. It does not flush the underlying writer.
func (f *FrameWriter) Write(frame *Frame) error {
	return errors.Wrap(f.enc.Encode(frame), "write frame")
}

// FrameReader decodes frames from a stream. It is not safe for concurrent use.
type FrameReader struct {
	dec *msgpack.Decoder
}

// NewFrameReader returns a FrameReader that reads from r.
func NewFrameReader(r io.Reader) *FrameReader {
	return &FrameReader{dec: msgpack.NewDecoder(r)}
}

// Read decodes the next frame into frame. If the stream ends between two frames,
// it returns io.EOF unwrapped; without a FrameEnd before it, the answer is
// incomplete nevertheless.
func (f *FrameReader) Read(frame *Frame) error {
	*frame = Frame{}
	err := f.dec.Decode(frame)
	if err == io.EOF {
		return err
	}
	return errors.Wrap(err, "read frame")
}
