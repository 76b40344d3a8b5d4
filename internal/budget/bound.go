package budget

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// exactCountFactor decides when the loose bound is precise enough: when the
// largest source of the local balance holds at least this many times the bound.
const exactCountFactor = 16

// TokenCounter returns the exact number of tokens of a prompt, usually by
// asking an engine.
type TokenCounter func(ctx context.Context) (int64, error)

// Bound returns the maximum number of tokens that a run can use. Far from the
// limit, the loose bound of the prompt is sufficient and costs nothing: a token
// is at least one byte of text, so the number of bytes plus what the chat
// template adds is never too low. Near the limit the prompt is counted exactly,
// so that a loose bound does not refuse the last requests. If counting fails,
// the loose bound applies.
func (g *Grants) Bound(ctx context.Context, team ident.TeamID, promptBound, outputLimit int64, count TokenCounter) int64 {
	if count == nil || g.largestFree(team) >= exactCountFactor*(promptBound+outputLimit) {
		return promptBound + outputLimit
	}
	exact, err := count(ctx)
	if err != nil || exact > promptBound {
		g.counts.Inc("count_failed")
		return promptBound + outputLimit
	}
	g.counts.Inc("counted")
	return exact + outputLimit
}

// largestFree returns the most tokens that a single run could reserve now.
func (g *Grants) largestFree(team ident.TeamID) int64 {
	b := g.lookup(team)
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	largest := b.own.free
	for _, s := range b.loans {
		if s.usable() {
			largest = max(largest, s.free)
		}
	}
	return largest
}
