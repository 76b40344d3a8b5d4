package supervise

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestTaskIsStartedAgainAfterPanic: a task panics twice and then goes on.
func TestTaskIsStartedAgainAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logs bytes.Buffer
		ctx, cancel := context.WithCancel(t.Context())
		starts, ended := 0, false
		go func() {
			Run(ctx, zerolog.New(&logs), "follow", func(ctx context.Context) {
				if starts++; starts <= 2 {
					panic("malformed message")
				}
				<-ctx.Done()
			})
			ended = true
		}()
		time.Sleep(3 * restartPause)
		synctest.Wait()
		require.Equal(t, 3, starts)
		require.Contains(t, logs.String(), "malformed message")
		require.Contains(t, logs.String(), `"task":"follow"`)
		cancel()
		synctest.Wait()
		require.True(t, ended)
	})
}

// TestTaskThatReturnsIsNotStartedAgain: only a panic starts it again, and none does
// after the end.
func TestTaskThatReturnsIsNotStartedAgain(t *testing.T) {
	starts := 0
	Run(t.Context(), zerolog.Nop(), "once", func(context.Context) { starts++ })
	require.Equal(t, 1, starts)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	Run(ctx, zerolog.Nop(), "panics", func(context.Context) {
		starts++
		panic("late")
	})
	require.Equal(t, 2, starts)
}
