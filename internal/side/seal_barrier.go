package side

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/node"
)

// sealBarrier delays the acknowledgement of a seal until the runs of the sealed
// incarnation are settled. Meanwhile settlements are written with the shortest
// delay.
type sealBarrier struct {
	gate    *gate.Gate
	settler *Settler
}

var _ node.SealBarrier = sealBarrier{}

// Release implements node.SealBarrier.
func (b sealBarrier) Release(ctx context.Context, sealed ident.Incarnation) error {
	restoreDelay := b.settler.Expedite()
	defer restoreDelay()
	return b.gate.WaitSettled(ctx, sealed)
}
