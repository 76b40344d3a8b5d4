package wire

import (
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// FrameWriter encodes frames onto a stream. Not safe for concurrent use.
type FrameWriter struct {
	enc *msgpack.Encoder
}

// NewFrameWriter returns a writer of frames.
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

// FrameReader decodes frames from a stream. Not safe for concurrent use.
type FrameReader struct {
	dec *msgpack.Decoder
}

// NewFrameReader returns a reader of frames.
func NewFrameReader(r io.Reader) *FrameReader {
	return &FrameReader{dec: msgpack.NewDecoder(r)}
}

// Read decodes the next frame. It returns io.EOF, unwrapped, at a clean end
// of the stream; a clean end before FrameEnd still means that the answer is
// incomplete.
func (f *FrameReader) Read(frame *Frame) error {
	*frame = Frame{}
	err := f.dec.Decode(frame)
	if err == io.EOF {
		return err
	}
	return errors.Wrap(err, "read frame")
}
