package saturation

import (
	"math"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// ToWire converts the state to its protobuf message.
func (s *State) ToWire() *schema.EntrySaturation {
	return &schema.EntrySaturation{DataCentre: string(s.DataCentre), Millicores: s.Size.MilliCores, LinkKbps: s.Size.KilobitsPerSecond,
		Descriptors: s.Size.Descriptors, Phase: uint32(s.Phase), Level: float32(s.Level), Sequence: s.Sequence}
}

// StateFromWire converts a message to a state, nil to nil.
func StateFromWire(m *schema.EntrySaturation) *State {
	if m == nil {
		return nil
	}
	return &State{DataCentre: serving.DataCentreID(m.GetDataCentre()), Size: Size{m.GetMillicores(), m.GetLinkKbps(), m.GetDescriptors()},
		Phase: Phase(m.GetPhase()), Level: Level(m.GetLevel()), Sequence: m.GetSequence()}
}

// ToWire converts the answer to its protobuf message.
func (a Answer) ToWire() *schema.SaturationAnswer {
	return &schema.SaturationAnswer{Entries: int32(min(a.Entries, math.MaxInt32)), Granted: a.Granted}
}

// AnswerFromWire converts a message to an answer.
func AnswerFromWire(m *schema.SaturationAnswer) Answer {
	return Answer{Entries: max(0, int(m.GetEntries())), Granted: m.GetGranted()}
}
