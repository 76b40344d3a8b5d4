// Package sidecost measures the side process: what a start costs, how many
// frames it serves, how fast it stops taking work, and how fast it notices a
// silent engine connection.
package sidecost

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/measure"
)

// Group is the set of figures of the side process.
var Group = measure.Group{Name: "side", Run: run}

func run(ctx context.Context, emit measure.Emit) error {
	steps := []func(context.Context, measure.Emit) error{begin, frames, paced, leaving, silence, loadReply}
	for _, step := range steps {
		if err := step(ctx, emit); err != nil {
			return err
		}
	}
	return nil
}
