package hub

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

// setUpHub returns a hub that doesn't run, with a clock of its own.
func setUpHub(address string) (*Hub, *leapingClock) {
	clock := &leapingClock{}
	h := &Hub{Host: serving.HostID(address), DataCentre: "a", Region: "a", Address: address, Clock: clock}
	h.once.Do(h.setup)
	return h, clock
}

// Load pattern: the work of three entries at twenty engines changes with each of
// their polls, and one report in ten to another hub is lost. The other hub's sums
// stay within what reports leave out, and engines without work leave them.
func TestReportsOfChanges(t *testing.T) {
	const engines = 20
	r := rand.New(rand.NewPCG(3, 3))
	h, clock := setUpHub("http://127.0.9.1:1")
	other, otherClock := setUpHub("http://127.0.9.2:1")
	p := h.addPeer(other.self())
	full, sent := 0, 0
	for round := range 500 {
		for entry := range 3 {
			var uses []usage.Use
			for i := range engines {
				if r.IntN(4) > 0 {
					held := serving.Tokens(1000*i + r.IntN(300))
					uses = append(uses, usage.Use{Engine: serving.EngineID(fmt.Sprint("e-", i)), Running: serving.Slots(1 + i/5), Held: held, Expected: held + 100})
				}
			}
			h.local.Report(h.Clock.Now(), fmt.Sprint("entry-", entry), uses)
		}
		report, cursor, told := h.report(p)
		full, sent = full+len(told), sent+len(report.GetUses())
		if r.IntN(10) == 0 {
			p.refreshed = -refreshInterval
		} else {
			_, err := other.Report(t.Context(), report)
			assert.NilError(t, err)
			p.cursor, p.told = cursor, told
			want, _ := h.local.Sums(h.Clock.Now())
			got, _ := other.remote.Sums(other.Clock.Now())
			assert.Equal(t, len(got), len(want), "round %d", round)
			for id, u := range want {
				assert.Assert(t, got[id].Near(u), "round %d: told %v, is %v", round, got[id], u)
			}
		}
		clock.leap(reportInterval)
		otherClock.leap(reportInterval)
	}
	assert.Assert(t, sent < full, "%d of %d uses are sent", sent, full)
}

func TestReportEvery(t *testing.T) {
	h, _ := setUpHub("http://127.0.9.1:1")
	for _, tc := range []struct {
		others int
		want   time.Duration
	}{{1, reportInterval}, {5, reportInterval}, {reportHubs, reportInterval}, {32, 4 * reportInterval}} {
		for i := range tc.others {
			o, _ := setUpHub(fmt.Sprintf("http://127.0.9.%d:1", i+2))
			h.addPeer(o.self())
		}
		assert.Equal(t, h.reportEvery(), tc.want)
	}
}
