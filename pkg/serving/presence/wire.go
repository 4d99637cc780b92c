package presence

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/rollout"
)

// ToWire converts a status to its protobuf message. Superseded engines are sent as
// gone. Times are sent as durations relative to now, since the clocks of two
// processes differ.
func (e *EngineStatus) ToWire(now time.Duration) *schema.EngineRecord {
	state := e.State
	if e.Superseded {
		state = Gone
	}
	return &schema.EngineRecord{
		Engine: string(e.Engine), Service: string(e.Service), Address: e.Address, DataCentre: string(e.DataCentre),
		State: string(state), Slots: int32(e.Slots), StartedMs: e.Started, Sequence: e.Sequence,
		ColdMs: max(0, e.ColdUntil-now).Milliseconds(), AgeMs: max(0, now-e.LastHeartbeat).Milliseconds(),
		Version: string(e.Version),
	}
}

// FromWire converts a protobuf message that arrived at now to a record.
func FromWire(now time.Duration, m *schema.EngineRecord) Record {
	r := Record{
		Engine: serving.EngineID(m.GetEngine()), Service: serving.ServiceID(m.GetService()), Address: m.GetAddress(),
		DataCentre: serving.DataCentreID(m.GetDataCentre()), State: State(m.GetState()), Slots: serving.Slots(m.GetSlots()),
		Started: m.GetStartedMs(), Sequence: m.GetSequence(), LastHeartbeat: now - time.Duration(m.GetAgeMs())*time.Millisecond,
	}
	if v := rollout.Version(m.GetVersion()); v.Validate() == nil {
		r.Version = v
	}
	if m.GetColdMs() > 0 {
		r.ColdUntil = now + time.Duration(m.GetColdMs())*time.Millisecond
	}
	return r
}
