package capacity

import (
	"fmt"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/record"
)

// registration returns the log entry that registers member i; members
// alternate between routers and side processes.
func registration(i int) ([]byte, error) {
	role := fleet.RoleSide
	if i%4 == 0 {
		role = fleet.RoleRouter
	}
	body := fleet.Register{
		Nonce:        ident.NewNonce(),
		Role:         role,
		VM:           ident.VMID(fmt.Sprintf("vm-%d", i)),
		DataCentre:   ident.DataCentreID(fmt.Sprintf("dc-%d", i%7)),
		Address:      fmt.Sprintf("10.0.%d.%d:7401", i/250, i%250),
		Server:       ident.ServerID(fmt.Sprintf("server-%d", i)),
		MaxLevel:     record.BaseLevel,
		LedgerShards: 4,
	}
	r, err := record.New(fleet.KindRegister, body)
	if err != nil {
		return nil, err
	}
	return record.Marshal(record.Batch{Records: []record.Record{r}})
}

func fleetOf(members int) (*fleet.State, error) {
	state := fleet.New()
	for i := range members {
		data, err := registration(i)
		if err != nil {
			return nil, err
		}
		state.Apply(ident.Offset(i), data)
	}
	return state, nil
}

// fleetSlopes measures the membership fold and the view that follows a record.
func fleetSlopes(emit measure.Emit, s *slopes) error {
	sizes := []int{160, 320, 640, 1290, 2580}
	var memory, view []point
	for _, size := range sizes {
		var state *fleet.State
		var err error
		bytes := heapOf(func() any {
			state, err = fleetOf(size)
			return state
		})
		if err != nil {
			return err
		}
		memory = append(memory, point{float64(size), bytes})
		ns := nsPer(20, func(int) { _ = state.View() })
		view = append(view, point{float64(size), ns})
	}
	s.memberBytes = fit(memory)
	s.viewNs = fit(view)
	s.memberBytes.emit(emit, "capacity.fleet_heap", "bytes", memory)
	s.viewNs.emit(emit, "capacity.fleet_view", "ns", view)
	return registrationSize(emit, s)
}

func registrationSize(emit measure.Emit, s *slopes) error {
	data, err := registration(100)
	if err != nil {
		return err
	}
	s.registerBytes = float64(len(data))
	emit("capacity.registration_log", s.registerBytes, "bytes")
	return nil
}
