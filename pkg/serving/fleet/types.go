package fleet

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// ModelVersion is a model at a version.
type ModelVersion struct {
	Model   serving.ModelID
	Version serving.Version
}

// Share is the part of a model's engines that should carry a version.
type Share struct {
	Version serving.Version
	Share   float64
}

// ModelWant is what operators want of a model.
type ModelWant struct {
	Versions []Share
	// MinWarm is the number of ready engines in service that carry the model at any time.
	MinWarm int
}

// EngineWant is what operators want of one engine. An engine without one is
// free: the reconciler may load any model there.
type EngineWant struct {
	Models   []ModelVersion
	Adapters []string
	Role     string
}

// Want is the wanted state.
type Want struct {
	Models  map[serving.ModelID]ModelWant
	Engines map[serving.EngineID]EngineWant
}

// State is the state that an engine announces.
type State string

// States of an engine.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Leaving  State = "leaving"
)

// Engine is what is known of one engine.
type Engine struct {
	ID          serving.EngineID
	DataCentre  serving.DataCentreID
	Incarnation serving.Incarnation
	State       State
	// Out is true while operators have taken the engine or its data centre out.
	Out bool
	// ChecksFencing is true if the engine rejects orders with a stale fencing
	// number; unknown counts as false.
	ChecksFencing bool
	// MaxModels is the number of models the engine can carry; 0 counts as 1.
	MaxModels int
	Models    []ModelVersion
	Adapters  []string
	Role      string
	// ReadAt is the time at which the report was asked for. A report without a
	// request, such as an announcement, counts from the start of its last interval.
	ReadAt time.Duration
}

// Command is what an order tells an engine to do.
type Command string

// Commands.
const (
	LoadModel   Command = "load_model"
	UnloadModel Command = "unload_model"
	LoadAdapter Command = "load_adapter"
	SetRole     Command = "set_role"
)

// Order is one order to an engine.
type Order struct {
	// Fencing is larger than that of every earlier order of any leader.
	Fencing     uint64
	Engine      serving.EngineID
	Incarnation serving.Incarnation
	Command     Command
	Model       ModelVersion
	Adapter     string
	Role        string
	// IssuedAt is the time of the Reconcile call that returned the order.
	IssuedAt time.Duration
}

// visible reports whether a report shows the effect of the order.
func (o Order) visible(e *Engine) bool {
	switch o.Command {
	case LoadModel:
		return e.carries(o.Model)
	case UnloadModel:
		return !e.carries(o.Model)
	case LoadAdapter:
		return e.hasAdapter(o.Adapter)
	case SetRole:
		return e.Role == o.Role
	}
	return false
}
