package load

import (
	"time"

	"golang.org/x/sync/errgroup"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

// AllFaults lists every [Fault]. A run with faults injects each of them once.
var AllFaults = []Fault{EngineKilled, EngineCold, EngineStalled, DataCentreTakenOut}

// Compare runs an experiment for each configuration, at most parallel of them at a
// time, and returns the results in the order of the configurations.
func Compare(cfgs []Config, parallel int) []Summary {
	all := make([]Summary, len(cfgs))
	var g errgroup.Group
	g.SetLimit(parallel)
	for i, c := range cfgs {
		g.Go(func() error {
			all[i] = Experiment(c)
			return nil
		})
	}
	_ = g.Wait() // The functions always return nil.
	return all
}

// Baselines returns the configurations of both baselines and of [CostBased] at the
// given loads, with the same seed, without and with faults.
func Baselines(seed uint64, loads []float64) []Config {
	var cfgs []Config
	for _, faults := range [][]Fault{nil, AllFaults} {
		for _, l := range loads {
			for _, p := range []Policy{RoundRobin, LeastInFlight, CostBased} {
				cfgs = append(cfgs, Config{Seed: seed, Load: l, Policy: p, Faults: faults})
			}
		}
	}
	return cfgs
}

// Variants returns [CostBased] and copies of it that each change one part.
func Variants() []Policy {
	vary := func(name string, change func(p *Policy)) Policy {
		p := CostBased
		p.Name = name
		change(&p)
		return p
	}
	return []Policy{
		CostBased,
		vary("no_owner_memory", func(p *Policy) { p.OwnerMemory = false }),
		vary("static_share", func(p *Policy) { p.Slots, p.OwnerMemory = StaticSlots, false }),
		vary("no_slots", func(p *Policy) { p.Slots, p.OwnerMemory = NoSlots, false }),
		vary("no_calibration", func(p *Policy) { p.CalibrationTarget = 0 }),
		vary("no_reserve", func(p *Policy) { p.Reserve = 0 }),
		vary("remote_demand", func(p *Policy) { p.RemoteDemand = true }),
		vary("no_affinity", func(p *Policy) {
			p.Placer = func(rng serving.Random, lengths serving.LengthEstimator, admitter serving.Admitter) serving.Placer {
				return &dispatch.CostPlacer{Lengths: lengths, Random: rng, Admitter: admitter}
			}
		}),
		vary("two_choices", func(p *Policy) {
			p.Placer = func(rng serving.Random, lengths serving.LengthEstimator, admitter serving.Admitter) serving.Placer {
				a := dispatch.NewAffinity(&dispatch.CostPlacer{Lengths: lengths, Random: rng, Admitter: admitter, Choices: 2}, 1.25)
				a.Admitter = admitter
				return a
			}
		}),
		vary("least_in_flight_admitted", func(p *Policy) {
			p.Placer = func(_ serving.Random, _ serving.LengthEstimator, admitter serving.Admitter) serving.Placer {
				return admittedOnly{&dispatch.LeastInFlight{}, admitter}
			}
		}),
	}
}

// admittedOnly wraps a placer and refuses a request if the chosen engine does not
// admit it.
type admittedOnly struct {
	serving.Placer
	admitter serving.Admitter
}

func (p admittedOnly) Place(now time.Duration, r *serving.Request, candidates []serving.Candidate) (int, error) {
	i, err := p.Placer.Place(now, r, candidates)
	if err != nil {
		return 0, err
	}
	if a := p.admitter.Admit(now, r, &candidates[i]); !a.Admitted {
		return 0, serving.NewError(serving.KindOverloaded, a.Reason).WithRetryAfter(a.RetryAfter)
	}
	return i, nil
}
