package standin

import (
	"net/http"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Order is a controller's order to an engine. Command is load_model,
// unload_model, load_adapter or set_role.
type Order struct {
	FencingNumber uint64          `json:"fencing_number"`
	Command       string          `json:"command"`
	Model         serving.ModelID `json:"model,omitempty"`
	Version       serving.Version `json:"version,omitempty"`
	Adapter       string          `json:"adapter,omitempty"`
	Role          string          `json:"role,omitempty"`
}

// OrdersInForce is the answer to a read-back.
type OrdersInForce struct {
	// FencingNumber is the highest one seen.
	FencingNumber uint64   `json:"fencing_number"`
	Models        []Model  `json:"models"`
	Loading       []Model  `json:"loading"`
	Adapters      []string `json:"adapters"`
	Role          string   `json:"role"`
	// LastOrder is the last order that ran.
	LastOrder *Order `json:"last_order,omitempty"`
}

// orders is the state that orders change, except for models and role.
type orders struct {
	fence    uint64
	loading  []Model
	adapters []string
	last     *Order
}

func (e *Engine) getOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, OrdersInForce{
		FencingNumber: e.orders.fence, Models: e.Models, Loading: e.orders.loading,
		Adapters: e.orders.adapters, Role: e.Role, LastOrder: e.orders.last,
	})
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := decode(r.Body, &o); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if status, err := e.runOrder(o); err != nil {
		writeError(w, status, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"fencing_number": o.FencingNumber, "accepted": true})
}

func (e *Engine) runOrder(o Order) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := o.FencingNumber < e.orders.fence
	if stale && e.ChecksFencing == "yes" {
		return http.StatusConflict, serving.NewError(serving.KindConflict, "fencing number is stale")
	}
	m := Model{Model: o.Model, Version: o.Version}
	is := func(x Model) bool { return x == m }
	switch o.Command {
	case "load_model":
		if !slices.Contains(e.Models, m) && !slices.Contains(e.orders.loading, m) {
			e.orders.loading = append(e.orders.loading, m)
			e.afterLoad(func() {
				e.orders.loading = slices.DeleteFunc(e.orders.loading, is)
				e.Models = append(e.Models, m)
				if e.state == "starting" {
					e.state = "ready"
				}
			})
		}
	case "unload_model":
		e.Models = slices.DeleteFunc(e.Models, is)
	case "load_adapter":
		if !slices.Contains(e.orders.adapters, o.Adapter) {
			e.afterLoad(func() { e.orders.adapters = append(e.orders.adapters, o.Adapter) })
		}
	case "set_role":
		e.Role = o.Role
	default:
		return http.StatusBadRequest, serving.NewError(serving.KindInvalid, "unknown command "+o.Command)
	}
	e.orders.fence, e.orders.last = max(e.orders.fence, o.FencingNumber), &o
	ev := e.event("order")
	ev.Order, ev.Stale = &o, stale
	e.Record.write(ev)
	return 0, nil
}

// afterLoad calls done when the weight store has delivered.
func (e *Engine) afterLoad(done func()) {
	wait := e.Weights.Reserve().Delay() + e.LoadTime
	time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		done()
		e.Record.write(e.event("loaded"))
		signal(e.kick)
	})
}
