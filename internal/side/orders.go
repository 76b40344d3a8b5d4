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
	orderInterval = time.Second
	orderTimeout  = 30 * time.Second
)

// EngineControl reads what an engine has loaded and sends it orders.
type EngineControl interface {
	Inventory(context.Context) (engine.Inventory, error)
	SendOrder(context.Context, engine.Order) error
}

// WeightStore grants permission to load a model's weights.
type WeightStore interface {
	// Acquire blocks until the load is permitted. It returns an error only
	// when ctx ends.
	Acquire(ctx context.Context, model ident.ModelID) error
}

// OrderController brings the engine to the state that the settings specify for
// this backend server. It compares the engine's inventory with the settings and
// sends one order at a time. It reads the inventory again after each order, so
// that the next round corrects an order whose reply was lost, or one that an
// earlier side process left in flight.
//
// Every order carries this process's incarnation as its fencing token. An
// engine may ignore the token. Exclusion then rests on the port of the internal
// listener: it is bound before the first order and stays bound until the
// process ends, also while the kernel has the process stopped, so that two side
// processes on one VM never send orders at the same time.
type OrderController struct {
	Server  ident.ServerID
	Engine  EngineControl
	Weights WeightStore
	Logger  zerolog.Logger
	// Settings returns the settings currently in force.
	Settings func() *settings.Tree
	// FencingToken returns this process's incarnation, or zero if no order may
	// be sent now.
	FencingToken func() ident.Incarnation
	// OnFenced is called when the engine refuses an order because it has
	// received one from a later incarnation.
	OnFenced func()
}

// Run sends orders until ctx ends or the engine has received orders from a
// later incarnation. An order that did not change the engine's inventory is
// repeated only after orderInterval.
func (o *OrderController) Run(ctx context.Context) {
	log := o.Logger.With().Str("part", "orders").Logger()
	counts := counter.NewSet("orders")
	var last engine.Order
	for ctx.Err() == nil {
		sent, err := o.sendNext(ctx)
		switch {
		case errors.Is(err, engine.ErrFenced):
			counts.Inc("fenced")
			log.Error().Msg("engine has received orders from a later side process; sending no more orders")
			o.OnFenced()
			return
		case err != nil:
			counts.Inc("failed")
			log.Warn().Err(err).Msg("order to the engine failed")
		case sent != last && sent.Kind != "":
			counts.Inc("given")
			last = sent
			continue
		case sent.Kind != "":
			counts.Inc("without_effect")
		}
		sleep(ctx, orderInterval)
	}
}

// sendNext sends the next order and returns it. It returns the zero order if
// none is needed or none may be sent now.
func (o *OrderController) sendNext(ctx context.Context) (engine.Order, error) {
	none := engine.Order{}
	fence := o.FencingToken()
	desired, ok := o.Settings().Servers[o.Server]
	if fence == 0 || !ok {
		return none, nil
	}
	inventory, err := o.Engine.Inventory(ctx)
	if err != nil {
		return none, err
	}
	order, needed := nextOrder(desired, o.Settings().Models, inventory)
	if !needed {
		return none, nil
	}
	if order.Kind == engine.LoadModel {
		if err := o.Weights.Acquire(ctx, order.Model); err != nil {
			return none, err
		}
	}
	// The process may have lost the right to send orders during the wait for
	// the weights.
	if order.Fence = o.FencingToken(); order.Fence == 0 {
		return none, nil
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return order, o.Engine.SendOrder(ctx, order)
}

// nextOrder returns the first order that brings the engine closer to the
// desired state. Unneeded models are unloaded first to free memory.
func nextOrder(desired settings.Server, models map[ident.ModelID]settings.Model, inventory engine.Inventory) (engine.Order, bool) {
	for _, model := range inventory.Models {
		if !slices.Contains(desired.Models, model) {
			return engine.Order{Kind: engine.UnloadModel, Model: model}, true
		}
	}
	for _, model := range desired.Models {
		if !slices.Contains(inventory.Models, model) {
			return engine.Order{Kind: engine.LoadModel, Model: model}, true
		}
	}
	for _, model := range desired.Models {
		version := models[model].Version
		if version != "" && inventory.Versions[model] != version {
			return engine.Order{Kind: engine.SetVersion, Model: model, Version: version}, true
		}
	}
	for _, adapter := range desired.Adapters {
		if !slices.Contains(inventory.Adapters, adapter) {
			return engine.Order{Kind: engine.LoadAdapter, Model: modelOfAdapter(adapter, desired, models), Adapter: adapter}, true
		}
	}
	if desired.Role != "" && desired.Role != inventory.Role {
		return engine.Order{Kind: engine.SetRole, Role: desired.Role}, true
	}
	return engine.Order{}, false
}

// modelOfAdapter returns the server's model that an adapter belongs to, or an
// empty ID if there is none.
func modelOfAdapter(adapter ident.AdapterID, desired settings.Server, models map[ident.ModelID]settings.Model) ident.ModelID {
	for _, model := range desired.Models {
		if slices.Contains(models[model].Adapters, adapter) {
			return model
		}
	}
	return ""
}
