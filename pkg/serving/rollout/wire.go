package rollout

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// maxRouteName and maxEngineID bound names in messages, in bytes. They are above the
	// names in use.
	maxRouteName = 512
	maxEngineID  = 128
)

// wirePhases maps each phase to its protobuf value.
var wirePhases = map[Phase]schema.RolloutPhase{
	Canary: schema.RolloutPhase_ROLLOUT_PHASE_CANARY, LoadTest: schema.RolloutPhase_ROLLOUT_PHASE_LOAD_TEST,
	Cutover: schema.RolloutPhase_ROLLOUT_PHASE_CUTOVER, Completed: schema.RolloutPhase_ROLLOUT_PHASE_COMPLETED,
	Reverted: schema.RolloutPhase_ROLLOUT_PHASE_REVERTED,
}

// ToWire converts a phase to its protobuf value.
func (p Phase) ToWire() schema.RolloutPhase { return wirePhases[p] }

// PhaseFromWire converts a protobuf value to a phase, 0 if it is unknown.
func PhaseFromWire(v schema.RolloutPhase) Phase {
	for p, w := range wirePhases {
		if w == v {
			return p
		}
	}
	return 0
}

// FromWire converts a protobuf message to a rollout.
func FromWire(m *schema.Rollout) Rollout {
	return Rollout{Order: Order{Service: serving.ServiceID(m.GetService()), To: Version(m.GetTo()), Duration: time.Duration(m.GetDurationNs())},
		Phase: PhaseFromWire(m.GetPhase()), Elapsed: time.Duration(m.GetElapsedMs()) * time.Millisecond,
		PhaseAt: time.Duration(m.GetPhaseAtMs()) * time.Millisecond, Reason: m.GetReason()}
}

// ToWire converts the counts of a key to their protobuf message.
func (c *Counts) ToWire(key Key) *schema.RolloutCounts {
	return &schema.RolloutCounts{NewVersion: key.Version != "", Route: key.Route, Engine: string(key.Engine), Slice: uint32(key.Slice), Class: uint32(key.Class),
		Sent: c.Sent, Answered: c.Answered, Failed: c.Failed, Uncounted: c.Uncounted,
		First: c.First.toWire(), Token: c.Token.toWire(), Whole: c.Whole.toWire()}
}

// CountsFromWire converts a protobuf message to the counts of a key in a rollout to a version.
// It reports whether the message is valid.
func CountsFromWire(m *schema.RolloutCounts, to Version) (Key, Counts, bool) {
	key := Key{Route: m.GetRoute(), Engine: serving.EngineID(m.GetEngine()), Slice: Slice(min(m.GetSlice(), Slices)), Class: Class(min(m.GetClass(), Classes))}
	if m.GetNewVersion() {
		key.Version = to
	}
	c := Counts{Sent: m.GetSent(), Answered: m.GetAnswered(), Failed: m.GetFailed(), Uncounted: m.GetUncounted()}
	valid := len(key.Route) <= maxRouteName && len(key.Engine) <= maxEngineID && key.Valid(to) &&
		c.First.fromWire(m.GetFirst()) && c.Token.fromWire(m.GetToken()) && c.Whole.fromWire(m.GetWhole())
	return key, c, valid && c.Valid()
}

// toWire returns the buckets without the empty ones at the end.
func (h *Histogram) toWire() []uint32 {
	n := len(h)
	for n > 0 && h[n-1] == 0 {
		n--
	}
	return append([]uint32(nil), h[:n]...)
}

func (h *Histogram) fromWire(buckets []uint32) bool { return copy(h[:], buckets) == len(buckets) }

// Outcomes returns the number of events that were counted. Of two counts of the same process
// for the same key, the one with more outcomes is the later one.
func (c *Counts) Outcomes() int64 {
	return c.Sent + c.Answered + c.Failed + c.Uncounted + c.First.Count() + c.Token.Count()
}

// Since returns what was counted after earlier, which is 0 where earlier is larger.
func (c *Counts) Since(earlier *Counts) Counts {
	out := Counts{Sent: max(0, c.Sent-earlier.Sent), Answered: max(0, c.Answered-earlier.Answered), Failed: max(0, c.Failed-earlier.Failed),
		Uncounted: max(0, c.Uncounted-earlier.Uncounted)}
	for _, h := range []struct{ out, now, earlier *Histogram }{
		{&out.First, &c.First, &earlier.First}, {&out.Token, &c.Token, &earlier.Token}, {&out.Whole, &c.Whole, &earlier.Whole},
	} {
		for i := range h.out {
			h.out[i] = h.now[i] - min(h.now[i], h.earlier[i])
		}
	}
	return out
}
