package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/rollout"
)

const (
	tick = 0.1
	// delay is the number of ticks between an event at an entry and its effect at the leader,
	// and between a decision and its effect at the entries.
	delay = 3
)

// load is a simulated service during a rollout. Times are in seconds; at is the time since
// the order, and engines are numbered.
type load struct {
	seed                   uint64
	duration, rate         float64
	entries, routes        int
	oldEngines, newEngines int
	fail, median, sigma    float64
	// appear is when the new engines become usable.
	appear float64
	// machines gives a quarter of the engines the speed 0.55 beside 1.2, and lets each take
	// 2.5 times as long during 15% of the time.
	machines bool
	// prompts lets nine tenths of the calls find their prompt cached at an old engine, and none
	// at a new one at first. Others take five times as long.
	prompts bool
	// bad returns how often a call to the new version fails and how often it takes five
	// times as long. busy is how many times the calls per engine exceed the old version's.
	bad func(at float64, route int, busy float64) (fail, slow float64)
	// faulty returns how often an engine fails calls, whatever its version.
	faulty func(at float64, newVersion bool, engine int) float64
	// cold returns whether an engine of the new version is cold; it is slow and fails then.
	cold func(at float64, engine int) bool
	// decide replaces rollout.Evaluate.
	decide func(rollout.Rollout, rollout.Evidence, rollout.Fleet) rollout.Decision
}

type outcome struct {
	phase            rollout.Phase
	reason           string
	endedAt          float64
	all, toNew       int64
	bad              int
	fiftiethAt, last float64
}

func (w load) run() (o outcome) {
	if w.decide == nil {
		w.decide = rollout.Evaluate
	}
	random := rand.New(rand.NewPCG(w.seed, 1))
	r := rollout.Rollout{Order: rollout.Order{Service: "s", To: "v2", Duration: seconds(w.duration)}, Phase: rollout.Canary}
	quotas := make([]rollout.Quota, w.entries)
	for i := range quotas {
		quotas[i] = rollout.Quota{Share: 0.1, Allowance: rollout.AllowanceFor(w.entries, 50, true), Draw: random.Float64()}
	}
	ids := make([]serving.EngineID, w.newEngines)
	number := map[serving.EngineID]int{}
	for i := range ids {
		ids[i] = serving.EngineID(fmt.Sprint("new-", i))
		number[ids[i]] = i
	}
	canary := rollout.CanarySubset(ids, rollout.CanarySize(w.newEngines, w.oldEngines, 0.1))
	steps := int(w.duration/tick) + 30
	due := make([][]func(), steps+1)
	e := rollout.Evidence{}
	entry := r
	o.fiftiethAt = math.Inf(1)
	recent := map[string]float64{}
	for step := range steps {
		at := float64(step) * tick
		for _, f := range due[step] {
			f()
		}
		due[step] = nil
		for id := range recent {
			recent[id] *= 0.9
		}
		r.Elapsed, entry.Elapsed = seconds(at), seconds(at)
		if r.Phase.InProgress() {
			fleet := rollout.Fleet{Old: w.oldEngines, OldCalls: 1, Unconfirmed: 1}
			if at >= w.appear {
				fleet.New = w.newEngines
			}
			if entry.Exclusive() {
				fleet.OldCalls, fleet.Unconfirmed = 0, 0
			}
			if d := w.decide(r, e, fleet); d.Phase != r.Phase {
				r.Phase, r.Reason, r.PhaseAt = d.Phase, d.Reason, r.Elapsed
				due[min(steps, step+delay)] = append(due[min(steps, step+delay)], func() { entry.Phase, entry.PhaseAt = d.Phase, seconds(at) })
				o.endedAt = at
			}
		}
		for n := w.rate*tick + random.Float64(); n >= 1; n-- {
			// The demand of entries is uneven: half of them get a quarter of the calls.
			i := random.IntN(w.entries)
			if i%2 == 0 && random.IntN(3) > 0 {
				i = min(i+1, w.entries-1)
			}
			route := min(random.IntN(w.routes), random.IntN(w.routes))
			toNew := at >= w.appear && quotas[i].Allows(&entry, false)
			quotas[i].CountSent(toNew, false)
			if at < w.duration {
				o.all++
			}
			key := rollout.Key{Route: fmt.Sprint("r", route), Slice: entry.Slice()}
			engine, id := random.IntN(w.oldEngines), ""
			if toNew {
				key.Version, key.Engine = "v2", canary[random.IntN(len(canary))]
				if entry.Phase > rollout.LoadTest {
					key.Engine = ids[random.IntN(len(ids))]
				}
				engine = number[key.Engine]
				o.last = at
				if at < w.duration {
					o.toNew++
				}
			}
			id = fmt.Sprint(toNew, engine)
			recent[id]++
			busy := recent[id] / 10 / (w.rate * tick / float64(w.oldEngines))
			latency := w.median * float64(1+route) * math.Exp(w.sigma*random.NormFloat64()) * max(1, busy/2)
			if w.machines {
				if engine%4 == 0 {
					latency *= 1.2 / 0.55
				}
				if rand.New(rand.NewPCG(w.seed, uint64(step/6*1000+engine))).Float64() < 0.15 {
					latency *= 2.5
				}
			}
			if cached := 0.9 * (1 - btof(toNew)*max(0, 1-at/w.duration)); w.prompts && random.Float64() > cached {
				latency *= 5
				key.Class = rollout.ClassOf(3000)
			}
			failing := w.fail
			if w.faulty != nil {
				failing = max(failing, w.faulty(at, toNew, engine))
			}
			isBad := false
			if toNew && w.bad != nil {
				f, s := w.bad(at, route, busy)
				isBad = random.Float64() < max(f, s)
				if isBad && f > 0 {
					failing = 1
				} else if isBad {
					latency *= 5
				}
			}
			e.Sent(key)
			if toNew && w.cold != nil && w.cold(at, engine) {
				e.Uncounted(key)
				continue
			}
			failure := random.Float64() < failing
			if failure {
				latency *= random.Float64()
			}
			end := step + int(latency/tick)
			if isBad && end < steps {
				due[end] = append(due[end], func() {
					if o.bad++; o.bad == 50 {
						o.fiftiethAt = float64(end) * tick
					}
				})
			}
			if end+delay <= steps {
				due[end+delay] = append(due[end+delay], func() {
					if failure {
						e.Failed(key)
					} else {
						e.Answered(key, rollout.Times{First: seconds(latency / 4), Whole: seconds(latency)})
					}
				})
			}
		}
	}
	o.phase, o.reason = r.Phase, r.Reason
	return o
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
