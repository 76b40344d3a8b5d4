package side

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/engine"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/settings"
)

const (
	ordersInterval = time.Second
	orderTimeout   = 30 * time.Second
)

// OrderTaker is the engine as the order controller sees it.
type OrderTaker interface {
	Inventory(context.Context) (engine.Inventory, error)
	SendOrder(context.Context, engine.Order) error
}

// WeightStore grants the loading of a model's weights.
type WeightStore interface {
	// Acquire returns once the load may go on, or when ctx ends.
	Acquire(ctx context.Context, model ident.ModelID) error
}

// Orders makes the engine hold what the settings say of this backend server.
// It compares what the engine reports with what is wanted and gives one order
// at a time; after each it looks at the report anew, so that an order whose
// reply was lost, or one that a former side process left in flight, is
// corrected by the next round.
//
// Every order carries the own incarnation as fencing number. Where the engine
// ignores it the exclusion is the internal listener's port: it is bound before
// the first order and held for the life of the process, also while the process
// is stopped by the kernel, so that two side processes of one VM never order
// at the same time.
type Orders struct {
	Server  ident.ServerID
	Engine  OrderTaker
	Weights WeightStore
	Logger  zerolog.Logger
	// Settings returns the configuration in force.
	Settings func() *settings.Tree
	// Fence returns the own incarnation, zero if no order may be given now.
	Fence func() ident.Incarnation
	// Fenced is called when the engine has had orders of a later life.
	Fenced func()
}

// Run gives orders until ctx ends. An order that shows no effect in the
// engine's report is given again only after a pause.
func (o *Orders) Run(ctx context.Context) {
	log := o.Logger.With().Str("part", "orders").Logger()
	counts := counter.NewSet("orders")
	var last engine.Order
	for ctx.Err() == nil {
		given, err := o.step(ctx)
		switch {
		case errors.Is(err, engine.ErrFenced):
			counts.Inc("fenced")
			log.Error().Msg("engine has a later side process")
			o.Fenced()
			return
		case err != nil:
			counts.Inc("failed")
			log.Warn().Err(err).Msg("order failed")
		case given != last && given.Kind != "":
			counts.Inc("given")
			last = given
			continue
		case given.Kind != "":
			counts.Inc("without_effect")
		}
		pauseFor(ctx, ordersInterval)
	}
}

// step gives the next order and returns it, or none if nothing is to be done.
func (o *Orders) step(ctx context.Context) (engine.Order, error) {
	none := engine.Order{}
	fence := o.Fence()
	wanted, ok := o.Settings().Servers[o.Server]
	if fence == 0 || !ok {
		return none, nil
	}
	have, err := o.Engine.Inventory(ctx)
	if err != nil {
		return none, err
	}
	order, due := nextOrder(wanted, o.Settings().Models, have)
	if !due {
		return none, nil
	}
	if order.Kind == engine.LoadModel {
		if err := o.Weights.Acquire(ctx, order.Model); err != nil {
			return none, err
		}
	}
	// The wait for weights may have been long.
	if order.Fence = o.Fence(); order.Fence == 0 {
		return none, nil
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return order, o.Engine.SendOrder(ctx, order)
}

// nextOrder returns the first order that brings the engine closer to what is
// wanted. What is not wanted goes first, to make room.
func nextOrder(wanted settings.Server, models map[ident.ModelID]settings.Model, have engine.Inventory) (engine.Order, bool) {
	for _, model := range have.Models {
		if !slices.Contains(wanted.Models, model) {
			return engine.Order{Kind: engine.UnloadModel, Model: model}, true
		}
	}
	for _, model := range wanted.Models {
		if !slices.Contains(have.Models, model) {
			return engine.Order{Kind: engine.LoadModel, Model: model}, true
		}
	}
	for _, model := range wanted.Models {
		version := models[model].Version
		if version != "" && have.Versions[model] != version {
			return engine.Order{Kind: engine.SetVersion, Model: model, Version: version}, true
		}
	}
	for _, adapter := range wanted.Adapters {
		if !slices.Contains(have.Adapters, adapter) {
			return engine.Order{Kind: engine.LoadAdapter, Model: modelOf(adapter, wanted, models), Adapter: adapter}, true
		}
	}
	if wanted.Role != "" && wanted.Role != have.Role {
		return engine.Order{Kind: engine.SetRole, Role: wanted.Role}, true
	}
	return engine.Order{}, false
}

// modelOf returns the model of the server that an adapter belongs to.
func modelOf(adapter ident.AdapterID, wanted settings.Server, models map[ident.ModelID]settings.Model) ident.ModelID {
	for _, model := range wanted.Models {
		if slices.Contains(models[model].Adapters, adapter) {
			return model
		}
	}
	return ""
}
