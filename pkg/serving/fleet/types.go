package fleet

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// ModelVersion identifies one version of a model.
type ModelVersion struct {
	Model   serving.ModelID
	Version serving.Version
}

// Share is the fraction of a model's engines, from 0 to 1, that should carry a
// version.
type Share struct {
	Version serving.Version
	Share   float64
}

// ModelWant is the desired state of a model.
type ModelWant struct {
	Versions []Share
	// MinWarm is the minimum number of ready engines in service that carry the model
	// at any time.
	MinWarm int
}

// EngineWant is the desired state of one engine. If Models is empty, the reconciler
// may load any model on the engine.
type EngineWant struct {
	Models   []ModelVersion
	Adapters []string
	// Role is, for example, prefill or decode. If it is empty, the engine keeps its
	// role.
	Role string
}

// Want is the desired state of the system.
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

// Engine is the last known state of one engine.
type Engine struct {
	ID          serving.EngineID
	DataCentre  serving.DataCentreID
	Incarnation serving.Incarnation
	State       State
	// Out is true while operators have taken the engine or its data centre out of
	// service.
	Out bool
	// ChecksFencing is true if the engine rejects orders with a stale fencing
	// number; unknown counts as false.
	ChecksFencing bool
	// MaxModels is the number of models the engine can carry; 0 counts as 1.
	MaxModels int
	Models    []ModelVersion
	Adapters  []string
	Role      string
	// ReportRequestedAt is the time at which the report of this state was requested.
	// For a report that was not requested, such as a periodic announcement, it is the
	// start of the period at whose end the engine sent the report.
	ReportRequestedAt time.Duration
}

// Command is the action that an order requests from an engine.
type Command string

// Commands of an order.
const (
	LoadModel   Command = "load_model"
	UnloadModel Command = "unload_model"
	LoadAdapter Command = "load_adapter"
	SetRole     Command = "set_role"
)

// Order is an instruction of the control leader to one engine.
type Order struct {
	// Fencing is the fencing number. It is larger than that of every earlier order
	// of any leader.
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

// appliedOn reports whether the reported state of an engine shows the effect of the
// order.
func (o Order) appliedOn(e *Engine) bool {
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
