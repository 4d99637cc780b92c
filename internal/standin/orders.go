package standin

import (
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
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

// OrderState is the answer to GET /v1/orders, from which a controller reads back the
// state that its orders led to. FencingNumber is the highest one received and LastOrder
// the last order that was accepted.
type OrderState struct {
	FencingNumber uint64            `json:"fencing_number"`
	Models        []engine.ModelRef `json:"models"`
	Loading       []engine.ModelRef `json:"loading"`
	Adapters      []string          `json:"adapters"`
	Role          string            `json:"role"`
	LastOrder     *Order            `json:"last_order,omitempty"`
}

func (e *Engine) readBack() OrderState {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.orders
	o.Models, o.Loading, o.Adapters, o.Role = slices.Clone(e.Models), slices.Clone(o.Loading), slices.Clone(o.Adapters), e.Role
	return o
}

func (e *Engine) runOrder(o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := o.FencingNumber < e.orders.FencingNumber
	if stale && e.ChecksFencing == "yes" {
		return serving.NewError(serving.KindConflict, "fencing number is stale")
	}
	m := engine.ModelRef{Model: o.Model, Version: o.Version}
	match := func(x engine.ModelRef) bool { return x == m }
	switch o.Command {
	case "load_model":
		if !slices.Contains(e.Models, m) && !slices.Contains(e.orders.Loading, m) {
			e.orders.Loading = append(e.orders.Loading, m)
			e.afterLoad(&o, func() {
				e.orders.Loading = slices.DeleteFunc(e.orders.Loading, match)
				e.Models = append(e.Models, m)
				if e.state == engine.PhaseStarting {
					e.state = engine.PhaseReady
				}
			})
		}
	case "unload_model":
		e.Models = slices.DeleteFunc(e.Models, match)
	case "load_adapter":
		if !slices.Contains(e.orders.Adapters, o.Adapter) {
			e.afterLoad(&o, func() { e.orders.Adapters = append(e.orders.Adapters, o.Adapter) })
		}
	case "set_role":
		e.Role = o.Role
	default:
		return serving.NewError(serving.KindInvalid, "unknown command "+o.Command)
	}
	e.orders.FencingNumber, e.orders.LastOrder = max(e.orders.FencingNumber, o.FencingNumber), &o
	ev := e.event("order")
	ev.Order, ev.Stale = &o, stale
	e.record(ev)
	return nil
}

// afterLoad calls apply, with e.mu held, when the load of an order from the weight store is
// complete.
func (e *Engine) afterLoad(o *Order, apply func()) {
	wait := e.WeightStoreLimiter.Reserve().Delay() + e.LoadTime
	time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		apply()
		ev := e.event("loaded")
		ev.Order = o
		e.record(ev)
		signal(e.announceNow)
	})
}
