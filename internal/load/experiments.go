package load

import (
	"fmt"
	"io"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// parallelRuns bounds the concurrent runs of an experiment.
const parallelRuns = 2

// ExperimentCommand is the experiment subcommand. It compares policies in virtual
// time on a small model of engines and prints the tables of docs/policy.md.
type ExperimentCommand struct {
	Name string `arg:"positional,required" placeholder:"NAME" help:"seeds, baselines, variants or fairness"`
}

// Run runs the experiment and writes its table to w.
func (c *ExperimentCommand) Run(w io.Writer) error {
	cfgs := c.configs()
	if cfgs == nil {
		e := serving.NewError(serving.KindInvalid, fmt.Sprintf("unknown experiment %q", c.Name))
		e.Remedy = "name seeds, baselines, variants or fairness"
		return e
	}
	all := Compare(cfgs, parallelRuns)
	if err := WriteTable(w, all); err != nil {
		return err
	}
	for i := range all {
		fmt.Fprintln(w, all[i].Name, all[i].Load, "p99 to first token per account in ms:", all[i].AccountFirstTokenP99)
	}
	return nil
}

func (c *ExperimentCommand) configs() []Config {
	switch c.Name {
	case "seeds":
		return seedConfigs()
	case "baselines":
		return Baselines(1, []float64{0.5, 0.8, 0.95, 1.3})
	case "variants":
		return variantConfigs()
	case "fairness":
		return fairnessConfigs()
	}
	return nil
}

func seedConfigs() []Config {
	var cfgs []Config
	for seed := range uint64(5) {
		for _, p := range []Policy{RoundRobin, LeastInFlight, CostBased} {
			cfgs = append(cfgs, Config{Seed: seed + 1, Load: 0.95, Policy: p})
		}
	}
	return cfgs
}

func variantConfigs() []Config {
	var cfgs []Config
	for _, seed := range []uint64{1, 2} {
		for _, p := range Variants() {
			cfgs = append(cfgs, Config{Seed: seed, Load: 0.95, Policy: p})
		}
	}
	return cfgs
}

// fairnessConfigs returns configurations that compare a small account alone with
// the same account beside one that sends ten times its share.
func fairnessConfigs() []Config {
	var cfgs []Config
	for _, p := range []Policy{LeastInFlight, CostBased, Variants()[5] /* no_reserve */} {
		for _, greedy := range []bool{false, true} {
			c := Config{Seed: 2, Policy: p}
			c.Accounts, c.Load = FairnessAccounts(greedy)
			cfgs = append(cfgs, c)
		}
	}
	return cfgs
}
