package load

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a cost-based policy that misses its targets at 0.95 of the memory
// capacity: preemptions, stall time and goodput relative to least in flight.
func TestCostBasedMeetsTargetsAtCapacity(t *testing.T) {
	cfg := Config{Seed: 3, Load: 0.95, WarmUp: 60 * time.Second, Duration: 60 * time.Second}
	baseCfg := cfg
	baseCfg.Policy, cfg.Policy = LeastInFlight, CostBased
	all := Compare([]Config{baseCfg, cfg}, 2)
	baseline, costBased := &all[0], &all[1]
	t.Logf("preemptions %.1f and %.1f per 1,000, stall %.1f and %.1f ms, goodput %.0f and %.0f",
		baseline.PreemptedPer1k, costBased.PreemptedPer1k, baseline.StallMSPerGen, costBased.StallMSPerGen, baseline.GoodputPerSec, costBased.GoodputPerSec)
	assert.Assert(t, costBased.PreemptedPer1k <= baseline.PreemptedPer1k/10)
	assert.Assert(t, costBased.StallMSPerGen <= baseline.StallMSPerGen/2)
	assert.Assert(t, costBased.GoodputPerSec >= 0.98*baseline.GoodputPerSec)
}

// Guards against runs with the same seed that give different results.
func TestExperimentIsReproducible(t *testing.T) {
	cfg := Config{Seed: 1, Load: 0.8, Policy: CostBased, WarmUp: 5 * time.Second, Duration: 10 * time.Second, Faults: AllFaults}
	all := Compare([]Config{cfg, cfg}, 2)
	assert.DeepEqual(t, all[0], all[1])
}

func ExampleExperiment() {
	s := Experiment(Config{Seed: 1, Load: 0.3, Policy: CostBased, WarmUp: 5 * time.Second, Duration: 10 * time.Second})
	fmt.Println(s.Completed == s.Offered, s.PreemptedPer1k)
	// Output: true 0
}
