package gate

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// TestResumeKnowsItsRequest has a key reused for another body: its caller must
// not get the first one's answer.
func TestResumeKnowsItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(untilStopped)
		defer b.Stop()
		begun := beginOf(keyOf(1))
		b.Begin(begun)
		for body, want := range map[ident.Key]wire.BeginOutcome{
			begun.BodyHash: wire.BeginRunning,
			{}:             wire.BeginRunning,
			keyOf(9):       wire.BeginConflict,
		} {
			_, outcome := b.Resume(&wire.ResumeRequest{Key: begun.Key, Gate: begun.Gate, BodyHash: body})
			require.Equal(t, want, outcome)
		}
	})
}
