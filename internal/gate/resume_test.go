package gate

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// A key that is reused for another request body must not return the answer of
// the first request.
func TestResumeRefusesAnotherBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(emitOneThenHang)
		defer b.Stop()
		request := newBeginRequest(testKey(1))
		b.Begin(request)
		for body, want := range map[ident.Key]wire.BeginOutcome{
			request.BodyHash: wire.BeginRunning,
			{}:               wire.BeginRunning,
			testKey(9):       wire.BeginConflict,
		} {
			_, outcome := b.Resume(&wire.ResumeRequest{Key: request.Key, Gate: request.Gate, BodyHash: body})
			require.Equal(t, want, outcome)
		}
	})
}
