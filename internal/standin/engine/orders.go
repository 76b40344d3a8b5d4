package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/julienschmidt/httprouter"
)

// Order changes what the engine has loaded or its role.
type Order struct {
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Fence   uint64 `json:"fence"`
}

// Inventory is what the engine has loaded.
type Inventory struct {
	Models   []string          `json:"models"`
	Adapters []string          `json:"adapters"`
	Versions map[string]string `json:"versions"`
	Role     string            `json:"role"`
}

// fenced is the reply to an order with an old fencing number.
type fenced struct {
	Newest uint64 `json:"newest"`
}

type orders struct {
	mu      sync.Mutex // guards all fields; newest never falls
	checked bool
	newest  uint64
	have    Inventory
}

func newOrders(options Options) *orders {
	have := Inventory{
		Models:   append([]string{}, options.Models...),
		Adapters: append([]string{}, options.Adapters...),
		Versions: map[string]string{},
		Role:     options.Role,
	}
	return &orders{checked: options.CheckFences, have: have}
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	newest, known := e.orders.take(order)
	switch {
	case newest > order.Fence:
		w.WriteHeader(http.StatusConflict)
		reply(w, fenced{Newest: newest})
	case !known:
		refuse(w, http.StatusBadRequest, "kind: want load_model, unload_model, load_adapter, set_version or set_role")
	default:
		reply(w, e.orders.inventory())
	}
}

// take carries an order out. A newest above the order's fence means that it
// was refused.
func (o *orders) take(order Order) (newest uint64, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checked && order.Fence < o.newest {
		return o.newest, true
	}
	switch order.Kind {
	case "load_model":
		o.have.Models = with(o.have.Models, order.Model)
		if order.Version != "" {
			o.have.Versions[order.Model] = order.Version
		}
	case "unload_model":
		o.have.Models = slices.DeleteFunc(o.have.Models, func(m string) bool { return m == order.Model })
	case "load_adapter":
		o.have.Adapters = with(o.have.Adapters, order.Adapter)
	case "set_version":
		o.have.Versions[order.Model] = order.Version
	case "set_role":
		o.have.Role = order.Role
	default:
		return 0, false
	}
	if o.checked {
		o.newest = order.Fence
	}
	return 0, true
}

func with(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(list, name)
}

// holds reports whether a model and an adapter, which may be empty, are loaded.
func (o *orders) holds(model, adapter string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Contains(o.have.Models, model) && (adapter == "" || slices.Contains(o.have.Adapters, adapter))
}

func (o *orders) inventory() Inventory {
	o.mu.Lock()
	defer o.mu.Unlock()
	have := o.have
	have.Models = slices.Clone(have.Models)
	have.Adapters = slices.Clone(have.Adapters)
	have.Versions = map[string]string{}
	for model, version := range o.have.Versions {
		have.Versions[model] = version
	}
	return have
}

func (e *Engine) inventory(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	reply(w, e.orders.inventory())
}
