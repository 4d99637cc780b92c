package load

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a policy that misses the targets on preemptions, stall time and
// goodput relative to least in flight at 0.95 of memory capacity.
func TestOursMeetsTargetsAtCapacity(t *testing.T) {
	cfg := Config{Seed: 3, Load: 0.95, Warmup: 60 * time.Second, Duration: 60 * time.Second}
	base := cfg
	base.Policy, cfg.Policy = LeastInFlight, Ours
	all := Compare([]Config{base, cfg}, 2)
	least, ours := &all[0], &all[1]
	t.Logf("preemptions %.1f and %.1f per 1,000, stall %.1f and %.1f ms, goodput %.0f and %.0f",
		least.PreemptedPer1k, ours.PreemptedPer1k, least.StallMSPerGen, ours.StallMSPerGen, least.GoodputPerSec, ours.GoodputPerSec)
	assert.Assert(t, ours.PreemptedPer1k <= least.PreemptedPer1k/10)
	assert.Assert(t, ours.StallMSPerGen <= least.StallMSPerGen/2)
	assert.Assert(t, ours.GoodputPerSec >= 0.98*least.GoodputPerSec)
}

// Guards against runs that differ under the same seed.
func TestExperimentIsReproducible(t *testing.T) {
	cfg := Config{Seed: 1, Load: 0.8, Policy: Ours, Warmup: 5 * time.Second, Duration: 10 * time.Second, Faults: AllFaults}
	all := Compare([]Config{cfg, cfg}, 2)
	assert.DeepEqual(t, all[0], all[1])
}

func ExampleExperiment() {
	s := Experiment(Config{Seed: 1, Load: 0.3, Policy: Ours, Warmup: 5 * time.Second, Duration: 10 * time.Second})
	fmt.Println(s.Completed == s.Offered, s.PreemptedPer1k)
	// Output: true 0
}
