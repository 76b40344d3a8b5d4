package entry

import (
	"context"
	"time"
)

// settingsRound is one round of asking other routers for newer settings.
type settingsRound struct {
	pause time.Duration // before the round
	peers int           // that are asked
}

// Rounds after the start, when this router may have read an older copy of the log, and
// after the log came back from one. The operators publish again what it has lost, but not
// at once.
var (
	startRounds   = []settingsRound{{0, 4}, {time.Second, 4}, {2 * time.Second, 4}}
	restoreRounds = []settingsRound{{0, 16}, {100 * time.Millisecond, 16}, {400 * time.Millisecond, 16}, {time.Second, 16}, {2 * time.Second, 16}}
)

// fetchNewerSettings gets settings that the log has lost from other routers.
func (r *Router) fetchNewerSettings(ctx context.Context) {
	r.peerSet.AwaitLoaded(ctx, announceDelay)
	r.awaitSettings(ctx)
	for rounds := startRounds; ; rounds = restoreRounds {
		for _, round := range rounds {
			select {
			case <-time.After(round.pause):
			case <-ctx.Done():
				return
			}
			r.askForSettings(ctx, round.peers)
			r.settingsCompared.Store(true)
		}
		select {
		case <-r.refreshSettings:
		case <-ctx.Done():
			return
		}
	}
}

// Wait for the settings in the log, before others are asked for newer ones: without a
// version to compare with, each of them would send its settings.
const (
	settingsTimeout    = time.Second
	settingsPollPeriod = 20 * time.Millisecond
)

// awaitSettings waits until the settings were read from the log, at most settingsTimeout.
func (r *Router) awaitSettings(ctx context.Context) {
	for end := time.Now().Add(settingsTimeout); r.settings.Current() == nil && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(settingsPollPeriod)
	}
}

func (r *Router) askForSettings(ctx context.Context, count int) {
	version := int64(0)
	if settings := r.settings.Current(); settings != nil {
		version = settings.Version
	}
	r.peerClient.NewerSettings(ctx, version, count, func(value []byte) {
		switch adopted, err := r.settings.adopt(value); {
		case err != nil:
			r.log.Warn().Err(err).Msg("settings of another router cannot be decoded")
		case adopted:
			r.log.Info().Int64("settings", r.settings.Current().Version).Msg("settings of another router in force")
		}
	})
}
