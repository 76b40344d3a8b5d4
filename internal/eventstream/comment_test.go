package eventstream

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCommentsAreNotCounted(t *testing.T) {
	cases := map[string]int{
		"":                                   0,
		"\n\n":                               0,
		": comment\n\n":                      0,
		": a\n: b\r\n\r\n":                   0,
		"id: 1\n\n":                          1,
		"data\n\n":                           1,
		": comment\nid: 1\ndata: x\n\n":      1,
		": a\n\nid: 1\n\n: b\n\nid: 2\n\n\n": 2,
	}
	for text, want := range cases {
		got := 0
		Split([]byte(text), func(raw []byte) bool {
			event, err := Parse(raw)
			require.NoError(t, err)
			if !event.Comment {
				got++
			}
			return true
		})
		require.Equal(t, want, got, "%q", text)
	}
}
