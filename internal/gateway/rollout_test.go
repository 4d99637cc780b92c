package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/rollout"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
)

// setClock is a clock that a test sets.
type setClock struct{ now time.Duration }

// Now implements serving.Clock.
func (c *setClock) Now() time.Duration { return c.now }

// newRolloutGateway returns an entry that knows engines of versions, and whose last poll was
// answered before the order.
func newRolloutGateway(versions ...rollout.Version) (*Gateway, *setClock) {
	clock := &setClock{now: time.Minute}
	g := &Gateway{Host: "10.0.0.1", DataCentre: "a", Region: "a", Clock: clock, Exposure: Exposure{Enabled: true, Share: 0.1, Allowance: 50}}
	g.setup()
	clock.now += time.Minute
	for i, v := range versions {
		g.board.pool.SetEngine(&presence.EngineStatus{Record: presence.Record{Engine: serving.EngineID(fmt.Sprint("e-", i)), Service: "s", State: presence.Ready,
			DataCentre: "a", Slots: 100, Version: v}})
	}
	applyPhase(g, 0, 0)
	return g, clock
}

var confirmedNow = int64(0)

// applyPhase applies the answer of a hub with a rollout to version v2 in a phase; 0 means that
// there is none.
func applyPhase(g *Gateway, phase rollout.Phase, elapsed time.Duration) {
	revision := uint64(phase)
	res := &schema.WatchResult{HubIncarnation: 5, Confirmed: true, StateAgeMs: &confirmedNow, RolloutsRevision: &revision}
	if phase > 0 {
		res.Rollouts = []*schema.Rollout{{Id: 1, Service: "s", To: "v2", DurationNs: int64(10 * time.Second), Phase: phase.ToWire(), ElapsedMs: elapsed.Milliseconds(), Entries: 1}}
		if phase == rollout.Cutover {
			res.Rollouts[0].PhaseAtMs = 7000
		}
	}
	g.board.applyRollouts(g.Clock.Now(), g.Clock.Now(), res)
}

// sendCall places and sends one call, and returns the version of its engine, empty if no engine
// may get it. The engine's health does not get to know the outcome.
func sendCall(g *Gateway, outcome func(rollout.Version) placement.Outcome) rollout.Version {
	j := &job{g: g, Call: &serving.Call{}, Decision: &routing.Decision{Route: &routing.Route{Name: "r"}, Service: &routing.Service{ID: "s"}}, ctx: context.Background()}
	need := &placement.Need{Service: j.Service}
	ticket := j.placeInRollout(need, false)
	if ticket == nil {
		var err error
		if ticket, err = g.place(context.Background(), need, 0, 0); err != nil {
			return ""
		}
	}
	g.board.mu.Lock()
	j.beginAttempt(ticket, false)
	g.board.mu.Unlock()
	j.endAttempt(outcome(ticket.Version), rollout.Times{Whole: time.Millisecond})
	g.endTicket(ticket, placement.OK, time.Millisecond)
	return ticket.Version
}

func good(rollout.Version) placement.Outcome { return placement.OK }

// Guards against an entry that uses a version that it must not use in a phase, without contact
// to a hub, or after the engines of the other version have gone.
func TestVersionsByPhase(t *testing.T) {
	mixed := []rollout.Version{"v1", "v1", "v1", "v2", "v2", "v2", ""}
	for _, tc := range []struct {
		name     string
		versions []rollout.Version
		phase    rollout.Phase
		elapsed  time.Duration
		// silence is the time since the last answer of a hub.
		silence time.Duration
		// low and high bound the share of the calls that the new version gets, none is the
		// share that no engine gets.
		low, high, none float64
	}{
		{"no rollout", mixed, 0, 0, 0, 0.2, 0.8, 0},
		{"canary", mixed, rollout.Canary, 0, 0, 0.04, 0.08, 0},
		{"canary without a hub", mixed, rollout.Canary, 0, 1500 * time.Millisecond, 0, 0, 0},
		{"canary without engines of the version", []rollout.Version{"v1"}, rollout.Canary, 0, 0, 0, 0, 0},
		{"canary without other engines", []rollout.Version{"v2"}, rollout.Canary, 0, 0, 0, 0.1, 0.95},
		{"load test", mixed, rollout.LoadTest, 7 * time.Second, 0, 0.07, 0.13, 0},
		{"start of the cutover", mixed, rollout.Cutover, 7 * time.Second, 0, 0.25, 0.35, 0},
		{"end of the comparison", mixed, rollout.Cutover, 7900 * time.Millisecond, 0, 0.72, 0.82, 0},
		{"comparison without other engines", []rollout.Version{"v2"}, rollout.Cutover, 7 * time.Second, 0, 1, 1, 0},
		{"cutover", mixed, rollout.Cutover, 9 * time.Second, 0, 1, 1, 0},
		{"cutover without a hub", mixed, rollout.Cutover, 9 * time.Second, 1500 * time.Millisecond, 0, 0, 0},
		{"cutover without engines of the version", []rollout.Version{"v1"}, rollout.Cutover, 9 * time.Second, 0, 0, 0, 0},
		{"completed", mixed, rollout.Completed, 10 * time.Second, time.Hour, 1, 1, 0},
		{"completed without engines of the version", []rollout.Version{"v1"}, rollout.Completed, 10 * time.Second, 0, 0, 0, 0},
		{"reverted", mixed, rollout.Reverted, 5 * time.Second, time.Hour, 0, 0, 0},
		{"reverted without other engines", []rollout.Version{"v2"}, rollout.Reverted, 5 * time.Second, 0, 1, 1, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, clock := newRolloutGateway(tc.versions...)
			applyPhase(g, tc.phase, tc.elapsed)
			clock.now += tc.silence
			const calls = 1000
			counts := map[rollout.Version]float64{}
			for range calls {
				counts[sendCall(g, good)]++
			}
			if len(tc.versions) > 1 && tc.none == 0 {
				// Engines without a version are other ones.
				counts["v1"] += counts[""]
				counts[""] = 0
			}
			share := counts["v2"] / calls
			assert.Assert(t, share >= tc.low && share <= tc.high, "the new version got %v of the calls", share)
			assert.Assert(t, counts[""]/calls >= tc.none && (tc.none > 0 || counts[""] == 0), "%v calls got no engine", counts[""])
		})
	}
}

// Guards against an entry that was cut off during the completion and goes on calling engines that
// have stopped, and against one that uses the version in test because one engine crashed.
func TestOldEnginesStopWhileEntryIsCutOff(t *testing.T) {
	for _, tc := range []struct {
		name     string
		outcomes []placement.Outcome
		uses     bool
	}{
		{"all stopped", []placement.Outcome{placement.Unreachable, placement.Unreachable, placement.Unreachable}, true},
		{"one crashed", []placement.Outcome{placement.Unreachable, placement.OK, placement.Unreachable, placement.Unreachable}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, clock := newRolloutGateway("v1", "v2")
			applyPhase(g, rollout.Cutover, 9*time.Second)
			clock.now += 2 * time.Second
			for _, o := range tc.outcomes {
				assert.Equal(t, sendCall(g, func(rollout.Version) placement.Outcome { return o }), rollout.Version("v1"))
			}
			uses := false
			for range 100 {
				uses = uses || sendCall(g, good) == "v2"
			}
			assert.Equal(t, uses, tc.uses)
		})
	}
}

// Guards against an entry that goes on using a version that fails there while no hub can react,
// and against one that stops for failures that the old version has as well.
func TestEntryStopsByItself(t *testing.T) {
	for _, tc := range []struct {
		name     string
		old, new placement.Outcome
		stops    bool
	}{
		{"new version fails", placement.OK, placement.Failed, true},
		{"both versions fail", placement.Failed, placement.Failed, false},
		{"engines refuse", placement.OK, placement.Refused, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, _ := newRolloutGateway("v1", "v1", "v2", "v2", "v2")
			applyPhase(g, rollout.Canary, 0)
			toNew := 0
			for range 2000 {
				v := sendCall(g, func(v rollout.Version) placement.Outcome {
					if v == "v2" {
						return tc.new
					}
					return tc.old
				})
				if v == "v2" {
					toNew++
				}
			}
			if tc.stops {
				assert.Equal(t, toNew, 25)
			} else {
				assert.Assert(t, toNew > 50, "%d calls to the new version", toNew)
			}
		})
	}
}

// Guards against an allowance that a host uses again after its entry has restarted.
func TestAllowanceAfterRestart(t *testing.T) {
	for _, tc := range []struct {
		name    string
		polled  bool
		elapsed time.Duration
		want    float64
	}{
		{"running before the order", true, time.Second, 25},
		{"first poll after the order", false, 0, 0},
		{"polled a hub that was behind", true, time.Hour, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, _ := newRolloutGateway("v1")
			g.board.rollouts.confirmed = tc.polled
			applyPhase(g, rollout.Canary, tc.elapsed)
			assert.Equal(t, g.board.rollouts.services["s"].quota.Allowance, tc.want)
		})
	}
}

// Guards against counts that are lost with a poll that fails, or with the hub that got them.
func TestCountsAreReportedAgain(t *testing.T) {
	for _, tc := range []struct {
		name string
		// hubs holds the incarnation of the hub's last answer for each poll, 0 for one that
		// fails. The second poll follows another call.
		hubs [3]uint64
		// want holds the calls that each poll reports.
		want [3]int64
	}{
		{"same hub", [3]uint64{5, 5, 5}, [3]int64{1, 2, 0}},
		{"failed poll", [3]uint64{5, 0, 5}, [3]int64{1, 2, 2}},
		{"other hub", [3]uint64{5, 5, 6}, [3]int64{1, 2, 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, clock := newRolloutGateway("v1")
			applyPhase(g, rollout.Canary, 0)
			for i, hub := range tc.hubs {
				if i < 2 {
					sendCall(g, good)
				}
				clock.now += 300 * time.Millisecond
				ask := hub
				if hub == 0 {
					ask = 5
				}
				reports, reported := g.board.reportRollouts(clock.now, ask)
				reported(hub != 0)
				sent := int64(0)
				for _, r := range reports {
					for _, c := range r.GetCounts() {
						sent += c.GetSent()
					}
				}
				assert.Equal(t, sent, tc.want[i], "poll %d", i)
			}
		})
	}
}

// BenchmarkRestrict measures the restriction of a call's engines by version with 100 engines.
func BenchmarkRestrict(b *testing.B) {
	versions := make([]rollout.Version, 100)
	for i := range versions {
		versions[i] = rollout.Version(fmt.Sprint("v", 1+i%2))
	}
	g, clock := newRolloutGateway(versions...)
	applyPhase(g, rollout.Canary, 0)
	b.ReportAllocs()
	need := &placement.Need{Service: &routing.Service{ID: "s"}}
	for b.Loop() {
		// A thousand calls a second.
		clock.now += time.Millisecond
		g.board.rollouts.lease.Confirm(clock.now)
		g.board.restrict(clock.now, need)
	}
}
