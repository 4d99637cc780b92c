package load

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var full = flag.String("experiment", "", "run the experiment baselines, variants or fairness and print its table")

// TestExperiments prints the tables of docs/policy.md; it runs on request only,
// because it measures and does not check.
func TestExperiments(t *testing.T) {
	var cfgs []Config
	switch *full {
	case "":
		t.Skip("no -experiment given")
	case "baselines":
		cfgs = Baselines(1, []float64{0.5, 0.8, 0.95, 1.3})
	case "seeds":
		for seed := range uint64(5) {
			for _, p := range []Policy{RoundRobin, LeastInFlight, Ours} {
				cfgs = append(cfgs, Config{Seed: seed + 1, Load: 0.95, Policy: p})
			}
		}
	case "variants":
		for _, seed := range []uint64{1, 2} {
			for _, p := range Variants() {
				cfgs = append(cfgs, Config{Seed: seed, Load: 0.95, Policy: p})
			}
		}
	case "fairness":
		for _, p := range []Policy{LeastInFlight, Ours, Variants()[5]} {
			for _, greedy := range []bool{false, true} {
				c := Config{Seed: 2, Policy: p}
				c.Accounts, c.Load = FairnessAccounts(greedy)
				cfgs = append(cfgs, c)
			}
		}
	default:
		t.Fatalf("unknown experiment %q", *full)
	}
	all := Compare(cfgs, 2)
	assert.NilError(t, WriteTable(os.Stdout, all))
	for i := range all {
		fmt.Println(all[i].Name, all[i].Load, "p99 to first token per account in ms:", all[i].AccountFirstP99)
	}
}

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
