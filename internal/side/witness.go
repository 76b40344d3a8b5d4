package side

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/node"
)

// witness releases sealed lives. The settlements that this waits for are
// written without delay.
type witness struct {
	gate    *gate.Gate
	settler *Settler
}

var _ node.SealBarrier = witness{}

// Release implements node.Witness.
func (w witness) Release(ctx context.Context, sealed ident.Incarnation) error {
	done := w.settler.Urgent()
	defer done()
	return w.gate.WaitSettled(ctx, sealed)
}
