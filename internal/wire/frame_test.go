package wire

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
)

func TestFramesRoundTrip(t *testing.T) {
	frames := []Frame{
		{Kind: FrameBegin, Request: ident.NewNonce(), Attempt: 2, Outcome: BeginStarted, Run: ident.RunID{Gate: 7, Number: 9}},
		{Kind: FrameEvent, Offset: 1 << 40, Tokens: 3, Data: []byte("{}")},
		{Kind: FrameEnd, Usage: Usage{Prompt: 5, Output: 8}, Result: Result{Status: 200, ContentType: "text/plain"}},
	}
	var buf bytes.Buffer
	w := NewFrameWriter(&buf)
	for i := range frames {
		require.NoError(t, w.Write(&frames[i]))
	}
	r := NewFrameReader(&buf)
	var got Frame
	for i := range frames {
		require.NoError(t, r.Read(&got))
		require.Equal(t, frames[i], got)
	}
	require.Equal(t, io.EOF, r.Read(&got))
}
