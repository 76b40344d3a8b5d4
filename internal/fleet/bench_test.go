package fleet

import (
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// BenchmarkViewAfterDataCentreLoss measures the view of a fleet of 360 routers
// and 930 side processes. The members in one of seven data centres are sealed,
// and most acknowledgements have arrived.
func BenchmarkViewAfterDataCentreLoss(b *testing.B) {
	f := newStream(b)
	const routers, sides, share = 360, 930, 7
	for i := range routers + sides {
		role := RoleRouter
		if i >= routers {
			role = RoleSide
		}
		r := f.registration(role, 0)
		r.Nonce = uuid.UUID{1, byte(i), byte(i >> 8)}
		require.Equal(b, Accepted, f.write(0, KindRegister, r).Outcome)
	}
	last := ident.Incarnation(routers + sides)
	for i := ident.Incarnation(1); i <= last; i += share {
		f.write(last, KindSeal, Seal{Incarnation: i})
	}
	for i := ident.Incarnation(1); i <= last; i += share {
		for by := ident.Incarnation(2); by < last; by++ {
			if by%share != 1 {
				f.ack(by, i)
			}
		}
	}
	b.ReportMetric(float64(len(f.state.View().Pending)), "pending")
	for b.Loop() {
		f.state.View()
	}
}
