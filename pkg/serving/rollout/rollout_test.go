package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/rollout"
)

// Guards against more calls to a version in test than the rule allows, summed over entries
// with uneven demand that die, start anew or know a wrong phase, and against a canary without calls because
// each of many entries has too few.
func TestExposure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SampledFrom([]int{7, 60, 300, 1300}).Draw(t, "entries")
		calls := rapid.IntRange(0, 20000).Draw(t, "calls")
		skew := rapid.Float64Range(1, 6).Draw(t, "skew")
		deaths := rapid.Float64Range(0, 0.02).Draw(t, "deaths")
		repeats := rapid.Float64Range(0, 0.5).Draw(t, "repeats")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		quotas := make([]rollout.Quota, entries)
		for i := range quotas {
			quotas[i] = rollout.Quota{Share: 0.1, Allowance: rollout.AllowanceFor(entries, 50, true), Draw: random.Float64()}
		}
		r := rollout.Rollout{Order: rollout.Order{Duration: 10 * time.Second}, Phase: rollout.Canary}
		all, toNew := 0, 0
		for n := range calls {
			if r.Elapsed = time.Duration(n) * 7 * time.Second / time.Duration(calls); r.Fraction() >= 0.6 {
				r.Phase = rollout.LoadTest
			}
			i := int(math.Pow(random.Float64(), skew) * float64(entries))
			if random.Float64() < deaths {
				quotas[i] = rollout.Quota{Share: 0.1, Allowance: rollout.AllowanceFor(entries, 50, false), Draw: random.Float64()}
			}
			known := r
			if i%7 == 0 { // was frozen and wakes up in the load test, while others are in the canary
				known.Phase, known.Elapsed = rollout.LoadTest, 7*time.Second
			}
			all++
			for repeated := false; ; repeated = true {
				allowed := quotas[i].Allows(&known, repeated)
				quotas[i].CountSent(allowed, repeated)
				if allowed {
					toNew++
				}
				if random.Float64() >= repeats {
					break
				}
			}
			if float64(toNew) > 0.1*float64(all)+50 {
				t.Fatalf("%d of %d calls at %d entries", toNew, all, entries)
			}
		}
		if all >= 3000 && float64(toNew) < 0.03*float64(all) {
			t.Fatalf("only %d of %d calls at %d entries", toNew, all, entries)
		}
	})
}

// Guards against entries that use a version in test without a recent confirmation, or after
// many bad answers that only they saw.
func TestLeaseAndBrake(t *testing.T) {
	var l rollout.Lease
	assert.Assert(t, !l.Valid(0), "never confirmed")
	l.Confirm(seconds(2))
	l.Confirm(seconds(1)) // an answer that was overtaken
	for _, tc := range []struct {
		at    float64
		valid bool
	}{{2, true}, {3.4, true}, {3.5, false}, {1, false}, {100, false}} {
		assert.Equal(t, l.Valid(seconds(tc.at)), tc.valid, "at %v s", tc.at)
	}
	for _, tc := range []struct {
		name                         string
		newOK, newBad, oldOK, oldBad int
		want                         bool
	}{
		{"few", 0, 24, 100, 0, false}, {"bad", 0, 25, 100, 0, true}, {"no old calls", 10, 30, 0, 0, true},
		{"as often as the old version", 860, 140, 860, 140, false}, {"above it", 830, 170, 860, 140, true},
	} {
		var b rollout.Brake
		for _, c := range []struct {
			n          int
			toNew, bad bool
		}{{tc.newOK, true, false}, {tc.newBad, true, true}, {tc.oldOK, false, false}, {tc.oldBad, false, true}} {
			for range c.n {
				b.Record(c.toNew, c.bad)
			}
		}
		assert.Equal(t, b.Engaged(), tc.want, tc.name)
		b.Release()
		assert.Assert(t, !b.Engaged(), "a hub confirmed the state")
	}
}

// Guards against entries that select different canaries, and against canaries whose engines
// have much more load than those of the old version.
func TestCanary(t *testing.T) {
	for _, tc := range []struct{ newEngines, oldEngines, want int }{{0, 44, 0}, {2, 44, 2}, {44, 44, 3}, {500, 200, 10}, {4, 200, 4}, {3, -1, 3}} {
		assert.Equal(t, rollout.CanarySize(tc.newEngines, tc.oldEngines, 0.1), tc.want, "%+v", tc)
	}
	ids := make([]serving.EngineID, 40)
	for i := range ids {
		ids[i] = serving.EngineID(fmt.Sprint("e", i))
	}
	subset := rollout.CanarySubset(ids, 5)
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	assert.DeepEqual(t, rollout.CanarySubset(append(ids, ids[0]), 5), subset)
	assert.Equal(t, len(rollout.CanarySubset(ids[:2], 5)), 2)
	rest := rollout.CanarySubset(ids, 40)[1:]
	assert.DeepEqual(t, rollout.CanarySubset(rest, 4), subset[1:])
}

// Guards against orders that can't be carried out.
func TestOrders(t *testing.T) {
	for _, tc := range []struct {
		version string
		seconds float64
		message string
	}{
		{"v2", 12, ""}, {"v2", 0.5, ""}, {"v2", 86400, ""}, {strings.Repeat("ü", 64), 1, ""},
		{"", 12, "empty"}, {strings.Repeat("v", 129), 12, "129 bytes"}, {"v\x00", 12, "cannot be printed"}, {"v\xff", 12, "not valid UTF-8"}, {"v\n2", 12, "cannot be printed"},
		{"v2", 0, "0 s"}, {"v2", -1, "-1 s"}, {"v2", math.NaN(), "NaN"}, {"v2", math.Inf(1), "+Inf"}, {"v2", 86400.1, "86400.1"}, {"v2", 1e-12, "1e-12"},
	} {
		d, err := rollout.DurationOf(tc.seconds)
		if err == nil {
			err = rollout.Order{Service: "s", To: rollout.Version(tc.version), Duration: d}.Validate()
		}
		if tc.message == "" {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorContains(t, err, tc.message)
		assert.Equal(t, serving.KindOf(err), serving.KindInvalid)
	}
	assert.ErrorContains(t, rollout.Order{To: "v2", Duration: 1}.Validate(), "no service")
	for _, p := range []rollout.Phase{rollout.Canary, rollout.LoadTest, rollout.Cutover, rollout.Completed, rollout.Reverted} {
		parsed, err := rollout.ParsePhase(p.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, p)
	}
}

// Guards against histograms whose quantiles are wrong by more than a bucket, and against
// evidence that grows without bound.
func TestEvidence(t *testing.T) {
	var h rollout.Histogram
	for i := range 1000 {
		h.Add(time.Duration(i+1) * time.Millisecond)
	}
	for _, q := range []float64{0.1, 0.5, 0.9} {
		ratio := h.Quantile(q).Seconds() / q
		assert.Assert(t, ratio > 0.8 && ratio < 1.25, "quantile %v: %v", q, h.Quantile(q))
		assert.Assert(t, math.Abs(h.ShareAbove(seconds(q))-(1-q)) < 0.1)
	}
	for _, d := range []time.Duration{-1, 0, math.MaxInt64} {
		h.Add(d)
	}
	assert.Equal(t, h.Count(), int64(1003))
	e := rollout.Evidence{}
	for i := range 10000 {
		e.Sent(rollout.Key{Version: rollout.Version(fmt.Sprint(i % 100)), Route: fmt.Sprint(i), Slice: rollout.Slice(i % 10)})
	}
	assert.Assert(t, len(e) <= rollout.MaxKeys+2*rollout.Slices)
	sum := rollout.Evidence{}
	sum.Merge(e)
	sum.Merge(e)
	assert.Equal(t, sum[rollout.Key{Version: "1", Route: "1", Slice: 1}].Sent, int64(2))
}

// The decisions for each call must take less than 20 us and allocate nothing.
func BenchmarkEntry(b *testing.B) {
	q := rollout.Quota{Share: 0.1, Allowance: 0.5, Draw: 0.3}
	r := rollout.Rollout{Order: rollout.Order{To: "v2", Duration: 12 * time.Second}, Phase: rollout.Canary, Elapsed: 3 * time.Second}
	var l rollout.Lease
	var k rollout.Brake
	e := rollout.Evidence{}
	l.Confirm(0)
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i % 1000)
		toNew := l.Valid(now) && !k.Engaged() && q.Allows(&r, false)
		q.CountSent(toNew, false)
		key := rollout.Key{Route: "r", Slice: r.Slice()}
		e.Sent(key)
		e.Answered(key, rollout.Times{First: now, Whole: 2 * now})
		k.Record(toNew, false)
	}
}

// Evaluates the counts of a rollout with 100 engines in the canary on 10 routes.
func BenchmarkEvaluate(b *testing.B) {
	e := rollout.Evidence{}
	for i := range 100 * 10 * 6 {
		key := rollout.Key{Route: fmt.Sprint(i % 10), Slice: rollout.Slice(i / 10 % 6)}
		e.Sent(key)
		key.Version, key.Engine = "v2", serving.EngineID(fmt.Sprint(i/60))
		e.Sent(key)
		e.Answered(key, rollout.Times{Whole: time.Duration(i) * time.Millisecond})
	}
	r := rollout.Rollout{Order: rollout.Order{To: "v2", Duration: 12 * time.Second}, Phase: rollout.Canary, Elapsed: 7 * time.Second}
	b.ReportAllocs()
	for b.Loop() {
		rollout.Evaluate(r, e, rollout.Fleet{New: 100, Old: 100, OldCalls: 1})
	}
}
