package budget

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// nearFactor is how many times a loose bound must fit the largest source in
// hand for it to be used as it is.
const nearFactor = 16

// TokenCounter counts the exact number of tokens of a prompt, usually by asking an
// engine.
type TokenCounter func(ctx context.Context) (int64, error)

// Bound returns the most tokens that a run can use. Far from the limit the
// prompt's loose bound does, which costs nothing: a token is at least one byte
// of text, so bytes plus what the chat template adds are never too few. Near
// the limit the prompt is counted, so that a loose bound does not refuse the
// last requests. If it cannot be counted, the loose bound stands.
func (g *Grants) Bound(ctx context.Context, team ident.TeamID, loose, output int64, count TokenCounter) int64 {
	if count == nil || g.largest(team) >= nearFactor*(loose+output) {
		return loose + output
	}
	exact, err := count(ctx)
	if err != nil || exact > loose {
		g.counts.Inc("count_failed")
		return loose + output
	}
	g.counts.Inc("counted")
	return exact + output
}

// largest returns the most that one run could have now.
func (g *Grants) largest(team ident.TeamID) int64 {
	h := g.lookup(team)
	if h == nil {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	largest := h.own.free
	for _, s := range h.loans {
		if s.usable() {
			largest = max(largest, s.free)
		}
	}
	return largest
}
