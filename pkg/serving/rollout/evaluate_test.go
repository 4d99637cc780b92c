package rollout_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/rollout"
)

func service(seed uint64) load {
	return load{seed: seed, duration: 12, rate: 300, entries: 60, routes: 4, oldEngines: 44, newEngines: 44, fail: 0.02, median: 0.2, sigma: 0.5}
}

// outage returns engines that fail calls for a fifth of the rollout.
func outage(from, duration, share float64, hit func(engine int) bool) func(float64, bool, int) float64 {
	return func(at float64, _ bool, engine int) float64 {
		if at > from*duration && at < (from+0.2)*duration && hit(engine) {
			return share
		}
		return 0
	}
}

// goodVersions are loads under which a version that is not bad may look bad.
var goodVersions = []struct {
	name string
	set  func(*load)
}{
	{"no fault", func(*load) {}},
	{"ordinary failures of 14 in 100", func(l *load) { l.fail = 0.14 }},
	{"slow and shared machines", func(l *load) { l.machines = true }},
	{"slow and shared machines, widely differing answers", func(l *load) { l.machines, l.sigma = true, 1 }},
	{"few engines on slow and shared machines", func(l *load) { l.machines, l.oldEngines, l.newEngines = true, 6, 6 }},
	{"outage of both versions", func(l *load) {
		l.faulty = outage(float64(l.seed%8)/8, l.duration, 0.6, func(int) bool { return true })
	}},
	{"outage of a data centre", func(l *load) {
		l.faulty = outage(float64(l.seed%8)/8, l.duration, 0.8, func(engine int) bool { return engine%3 == 0 })
	}},
	{"bad engines of both versions", func(l *load) {
		l.faulty = func(_ float64, _ bool, engine int) float64 { return 0.5 * btof(engine%5 == int(l.seed%5)) }
	}},
	{"one bad engine of three", func(l *load) {
		l.newEngines = 3
		l.faulty = func(_ float64, newVersion bool, engine int) float64 { return 0.9 * btof(newVersion && engine == 0) }
	}},
	{"one bad engine of three, ordinary failures", func(l *load) {
		l.fail, l.newEngines = 0.14, 3
		l.faulty = func(_ float64, newVersion bool, engine int) float64 { return 0.5 * btof(newVersion && engine == 0) }
	}},
	{"cold engines", func(l *load) {
		l.cold = func(at float64, engine int) bool { return at < l.duration/4+float64(engine%3) }
		l.faulty = func(at float64, newVersion bool, engine int) float64 { return btof(newVersion && l.cold(at, engine)) }
	}},
	{"engines without cached prompts", func(l *load) { l.prompts = true }},
	{"too few requests to tell", func(l *load) { l.rate = 4 }},
	{"engines that appear late", func(l *load) { l.appear = l.duration / 2 }},
}

func btof(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// byTotals is an evaluation without the tests of this package: it compares the shares of
// failed answers since the order.
func byTotals(r rollout.Rollout, e rollout.Evidence, fleet rollout.Fleet) rollout.Decision {
	var ended, failed [2]float64
	for key, c := range e {
		i := int(btof(key.Version != ""))
		ended[i] += float64(c.Answered + c.Failed)
		failed[i] += float64(c.Failed)
	}
	if ended[1] >= 20 && failed[1]/ended[1] > 0.05+1.5*failed[0]/max(1, ended[0]) {
		return rollout.Decision{Phase: rollout.Reverted}
	}
	return rollout.Evaluate(r, rollout.Evidence{}, fleet)
}

// Guards against the revert of a good version, in 224 seeded runs under loads that make it look
// bad, and against a good version that is not completed in time.
func TestGoodVersionsAreCompleted(t *testing.T) {
	runs, baseline := 0, 0
	for seed := range uint64(16) {
		for i, v := range goodVersions {
			l := service(seed*100 + uint64(i) + 50000)
			l.duration = []float64{10, 12, 20, 30}[seed%4]
			l.rate = []float64{50, 120, 300}[seed%3]
			l.entries = []int{7, 60, 300, 1300}[seed/4]
			v.set(&l)
			o := l.run()
			assert.Equal(t, o.phase, rollout.Completed, "%s, seed %d: %s", v.name, l.seed, o.reason)
			assert.Assert(t, o.endedAt <= l.duration-0.5+tick, "%s, seed %d: completed after %v s", v.name, l.seed, o.endedAt)
			runs++
			l.decide = byTotals
			baseline += int(btof(l.run().phase == rollout.Reverted))
		}
	}
	t.Logf("%d runs: 0 reverts; an evaluation by totals reverts %d", runs, baseline)
}

// Guards against bad versions that are not reverted, or not in time: no request is sent
// later than 5 s after the 50th bad answer, and if the version is bad from the start or
// under load, it gets at most a tenth of all requests and 50.
func TestBadVersionsAreReverted(t *testing.T) {
	since := func(from, share float64) func(float64, int, float64) (float64, float64) {
		return func(at float64, _ int, _ float64) (float64, float64) { return share * btof(at >= from), 0 }
	}
	for _, tc := range []struct {
		name string
		set  func(*load)
		// bounded is set if the version shows that it is bad before the cutover.
		bounded bool
	}{
		{"bad at once, all answers", func(l *load) { l.bad = since(0, 1) }, true},
		{"bad at once, a third of the answers", func(l *load) { l.bad = since(0, 0.33) }, true},
		{"bad at once, ordinary failures of 14 in 100", func(l *load) { l.fail, l.bad = 0.14, since(0, 0.4) }, true},
		{"bad at once, a tenth of the answers, a minute", func(l *load) { l.duration, l.bad = 60, since(0, 0.1) }, true},
		{"bad at once, 1,300 entries", func(l *load) { l.entries, l.bad = 1300, since(0, 0.5) }, true},
		{"bad at once, 7 entries and 100 requests a second", func(l *load) { l.entries, l.rate, l.bad = 7, 100, since(0, 0.5) }, true},
		{"bad at once, two engines", func(l *load) { l.newEngines, l.bad = 2, since(0, 0.5) }, true},
		{"bad late in the canary", func(l *load) { l.bad = since(5, 0.5) }, true},
		{"bad in the cutover", func(l *load) { l.bad = since(9, 0.6) }, false},
		{"bad under load", func(l *load) {
			l.bad = func(_ float64, _ int, busy float64) (float64, float64) { return 0.6 * btof(busy > 1.5), 0 }
		}, true},
		{"bad on one route", func(l *load) {
			l.bad = func(_ float64, route int, _ float64) (float64, float64) { return 0.8 * btof(route == 1), 0 }
		}, true},
		{"slow and not failing", func(l *load) { l.bad = func(float64, int, float64) (float64, float64) { return 0, 0.5 } }, true},
		{"slow on slow and shared machines", func(l *load) {
			l.machines = true
			l.bad = func(float64, int, float64) (float64, float64) { return 0, 1 }
		}, true},
		{"bad beside bad engines of both versions", func(l *load) {
			l.faulty = func(_ float64, _ bool, engine int) float64 { return 0.5 * btof(engine%10 == 0) }
			l.bad = since(0, 0.6)
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			worst, latest := 0.0, 0.0
			for seed := range uint64(10) {
				l := service(seed + 90000)
				tc.set(&l)
				o := l.run()
				assert.Equal(t, o.phase, rollout.Reverted, "seed %d: %s", l.seed, o.reason)
				assert.Assert(t, o.last <= o.fiftiethAt+5, "seed %d: last request at %v s, 50th bad answer at %v s", l.seed, o.last, o.fiftiethAt)
				bound := 0.1*float64(o.all) + 50
				assert.Assert(t, !tc.bounded || float64(o.toNew) <= bound, "seed %d: %d of %d requests", l.seed, o.toNew, o.all)
				worst, latest = max(worst, float64(o.toNew)/bound), max(latest, o.endedAt)
			}
			t.Logf("10 runs: reverted after up to %.1f s, with up to %.2f of the exposure bound", latest, worst)
		})
	}
}

// Guards against a rollout that ends or goes on in the wrong phase when nothing shows that
// the version is bad.
func TestPhases(t *testing.T) {
	all := rollout.Fleet{New: 5, Old: 5, OldCalls: 3, Unconfirmed: 2}
	confirmed := rollout.Fleet{New: 5, Old: 5}
	plenty := rollout.Evidence{{Route: "r"}: {Sent: 4000, Answered: 3980, Failed: 20}}
	for i := range 4 {
		plenty[rollout.Key{Version: "v2", Route: "r", Engine: serving.EngineID(fmt.Sprint(i))}] = &rollout.Counts{Sent: 50, Answered: 50}
	}
	late := rollout.Evidence{{Route: "r", Slice: 9}: {Sent: 1}}
	for _, tc := range []struct {
		name    string
		phase   rollout.Phase
		elapsed float64
		fleet   rollout.Fleet
		e       rollout.Evidence
		want    rollout.Phase
	}{
		{"the canary begins", rollout.Canary, 0, all, nil, rollout.Canary},
		{"the canary goes on", rollout.Canary, 11.9, all, plenty, rollout.Canary},
		{"the load test", rollout.Canary, 12, all, plenty, rollout.LoadTest},
		{"cutover with enough evidence", rollout.LoadTest, 14, all, plenty, rollout.Cutover},
		{"cutover waits for evidence", rollout.LoadTest, 14.9, all, nil, rollout.LoadTest},
		{"cutover with little evidence, before it is too late", rollout.LoadTest, 15, all, nil, rollout.Cutover},
		{"a leader that was away finds the canary late", rollout.Canary, 15, all, plenty, rollout.Cutover},
		{"calls run at the old version", rollout.Cutover, 19, all, plenty, rollout.Cutover},
		{"comparison goes on", rollout.Cutover, 17, confirmed, plenty, rollout.Cutover},
		{"confirmed", rollout.Cutover, 18, confirmed, plenty, rollout.Completed},
		{"the duration ends", rollout.Cutover, 19.5, all, plenty, rollout.Completed},
		{"no engine yet", rollout.Canary, 19.9, rollout.Fleet{Old: 5}, nil, rollout.Canary},
		{"no engine at the end", rollout.Canary, 20, rollout.Fleet{Old: 5}, nil, rollout.Reverted},
		{"no engine left in the cutover", rollout.Cutover, 20, rollout.Fleet{Old: 5}, plenty, rollout.Reverted},
		{"all engines run the version", rollout.Canary, 0, rollout.Fleet{New: 5}, nil, rollout.Completed},
		{"entries use old engines that the leader does not know", rollout.Canary, 19, rollout.Fleet{New: 5}, late, rollout.Cutover},
		{"ended", rollout.Reverted, 30, all, nil, rollout.Reverted},
	} {
		r := rollout.Rollout{Order: rollout.Order{Service: "s", To: "v2", Duration: 20 * time.Second}, Phase: tc.phase, Elapsed: seconds(tc.elapsed)}
		d := rollout.Evaluate(r, tc.e, tc.fleet)
		assert.Equal(t, d.Phase, tc.want, "%s: %s", tc.name, d.Reason)
	}
	r := rollout.Rollout{Order: rollout.Order{To: "v2", Duration: 10 * time.Second}, Phase: rollout.Cutover, PhaseAt: seconds(9.4), Elapsed: seconds(9.6)}
	assert.Equal(t, rollout.Evaluate(r, nil, all).Phase, rollout.Cutover, "a late cutover must reach the entries")
	r.Elapsed = seconds(10.9)
	assert.Equal(t, rollout.Evaluate(r, nil, all).Phase, rollout.Completed)
}

// Guards against counts of other processes that make the evaluation panic, or revert a version
// with counts that no calls explain.
func TestOddEvidence(t *testing.T) {
	huge := &rollout.Counts{Sent: math.MaxUint32, Failed: math.MaxUint32}
	for _, e := range []rollout.Evidence{
		{{Version: "v2", Slice: 200}: huge}, {{Version: "v3"}: huge}, {{Engine: "e"}: huge},
		{{Version: "v2"}: {Failed: 50}}, {{Version: "v2"}: huge},
		{{Version: "v2"}: {Sent: -5, Failed: -9}, {}: {Sent: -1}},
	} {
		r := rollout.Rollout{Order: rollout.Order{To: "v2", Duration: time.Second}, Phase: rollout.Canary}
		d := rollout.Evaluate(r, e, rollout.Fleet{New: 1, Old: 1})
		assert.Equal(t, d.Phase, rollout.Canary, "%s", d.Reason)
	}
	assert.Assert(t, (&rollout.Counts{Sent: 3, Answered: 2, Failed: 1}).Valid())
	for _, c := range []rollout.Counts{{Sent: -1}, {Failed: 1}, {Sent: 1, Answered: 1, Failed: 1}, {Sent: math.MaxInt64}, {Sent: 1, Whole: rollout.Histogram{2}}} {
		assert.Assert(t, !c.Valid(), "%v", c)
	}
}
