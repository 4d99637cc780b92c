package pacing_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericdrum.org/turmericdrum/pkg/serving/pacing"
)

// The platform's rule for engines that name a limit; see docs/rules.md.
const (
	noticeTime  = 4 * time.Second
	window      = 4 * time.Second
	ruleFactor  = 1.5
	allowance   = 5
	step        = 10 * time.Millisecond
	reportEvery = 100 * time.Millisecond
)

// fleet simulates entries that send the calls of their callers to one engine if it allows
// them, and drop the others.
type fleet struct {
	random  *rand.Rand
	limit   float64
	entries []entry
	// delay is the age of the reports of the other entries.
	delay time.Duration
	now   time.Duration
	sent  []time.Duration
	calls int
	// silent is set while no reports of other entries arrive.
	silent bool
	// history holds the reported demands by time and entry.
	history [][]float64
}

type entry struct {
	demand pacing.Demand
	pacer  pacing.Pacer
	// rate is the rate of the entry's calls per second.
	rate float64
	// lost is set while the entry's reports don't reach the others.
	lost bool
	// stopped is set while the entry has no calls and sends no reports.
	stopped bool
}

func newFleet(random *rand.Rand, entries int, limit float64, delay time.Duration) *fleet {
	f := &fleet{random: random, limit: limit, entries: make([]entry, entries), delay: delay}
	for i := range f.entries {
		f.entries[i].pacer.Phase = random.Float64()
	}
	return f
}

// run lets time pass. named reports whether the engine names its limit.
func (f *fleet) run(d time.Duration, named bool) {
	for end := f.now + d; f.now < end; f.now += step {
		if f.now%reportEvery == 0 {
			f.report(named)
		}
		for i := range f.entries {
			e := &f.entries[i]
			for n := f.random.ExpFloat64(); !e.stopped && n < e.rate*step.Seconds(); n += f.random.ExpFloat64() {
				f.calls++
				e.demand.Count(f.now)
				if e.pacer.Allows(f.now, e.demand.Rate(f.now)) {
					e.pacer.Take(f.now)
					f.sent = append(f.sent, f.now)
				}
			}
		}
	}
}

func (f *fleet) report(named bool) {
	rates := make([]float64, len(f.entries))
	for i := range f.entries {
		if e := &f.entries[i]; !e.lost && !e.stopped {
			rates[i] = e.demand.Rate(f.now)
		}
	}
	f.history = append(f.history, rates)
	seen := f.history[max(0, len(f.history)-1-int(f.delay/reportEvery))]
	total := 0.0
	for _, r := range seen {
		total += r
	}
	for i := range f.entries {
		e := &f.entries[i]
		e.pacer.Hear(f.now, pacing.Limit{PerSecond: f.limit, Limited: named, HeardAt: f.now})
		if !f.silent {
			e.pacer.SetOthers(f.now, total-seen[i], len(f.entries))
		}
	}
}

// mostInWindow returns the highest number of calls that were sent within any window after a
// time.
func (f *fleet) mostInWindow(after time.Duration) (most int) {
	first := 0
	for i, at := range f.sent {
		for f.sent[first] < after || at-f.sent[first] > window {
			if first == i {
				break
			}
			first++
		}
		if at >= after {
			most = max(most, i-first+1)
		}
	}
	return most
}

func (f *fleet) allowed() int { return int(ruleFactor*f.limit*window.Seconds()) + allowance }

// Guards against more calls in any window than the platform's rule allows, for all entries
// together, whatever the limit, the number of entries and the changes of their load are.
func TestLimitHoldsOverAllEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 5))
		entries := rapid.SampledFrom([]int{1, 2, 7, 30, 100}).Draw(t, "entries")
		limit := rapid.Float64Range(0, 40).Draw(t, "limit")
		f := newFleet(random, entries, limit, time.Duration(rapid.IntRange(0, 4).Draw(t, "delay"))*reportEvery)
		for i := range f.entries {
			f.entries[i].rate = 4 * random.Float64()
		}
		f.run(3*time.Second, false)
		named := f.now
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			factor := rapid.SampledFrom([]float64{0.2, 1, 5}).Draw(t, "factor")
			for i := range f.entries {
				f.entries[i].stopped = random.IntN(10) == 0
				f.entries[i].rate = min(f.entries[i].rate*factor, 40)
			}
			f.run(5*time.Second, true)
		}
		most := f.mostInWindow(named + noticeTime)
		if most > f.allowed() {
			t.Fatalf("%d calls in %v; allowed %d", most, window, f.allowed())
		}
	})
}

// Guards against a share that is spent twice while half of the entries can't see the other
// half.
func TestLimitHoldsInSplit(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(rand.New(rand.NewPCG(seed, 6)), 8, 3.3, reportEvery)
		for i := range f.entries {
			f.entries[i].rate = 5
		}
		f.run(6*time.Second, true)
		for i := range f.entries {
			f.entries[i].lost = true
		}
		f.run(6*time.Second, true)
		most := f.mostInWindow(noticeTime)
		assert.Assert(t, most <= f.allowed(), "seed %d: %d calls in %v; allowed %d", seed, most, window, f.allowed())
	}
}

// Guards against entries that each take the whole limit while no hub answers, for however
// long that is.
func TestLimitHoldsWithoutReports(t *testing.T) {
	for _, tc := range []struct {
		name string
		// reports is how long reports of other entries arrive before they stop, with the
		// engine's limit or before it.
		reports time.Duration
		named   bool
	}{
		{"hubs lost while the limit is known", 5 * time.Second, true},
		{"hubs lost before the limit is named", 5 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(rand.New(rand.NewPCG(1, 9)), 7, 3.3, reportEvery)
			for i := range f.entries {
				f.entries[i].rate = 5
			}
			f.run(tc.reports, tc.named)
			f.silent = true
			named := f.now
			f.run(2*time.Minute, true)
			most := f.mostInWindow(named + noticeTime)
			assert.Assert(t, most <= f.allowed(), "%d calls in %v; allowed %d", most, window, f.allowed())
		})
	}
}

// Guards against an engine that gets far fewer calls than it takes, because most callers
// are at one entry or because the entries are many.
func TestLimitIsUsed(t *testing.T) {
	for _, tc := range []struct {
		entries int
		limit   float64
		// skewed is set if one entry has nine tenths of the calls.
		skewed bool
		// used is the part of the limit that must be used.
		used float64
	}{
		{7, 3.3, false, 0.7},
		{7, 3.3, true, 0.7},
		{30, 3.3, false, 0.6},
		{100, 20, false, 0.6},
		{7, 0.5, false, 0.6},
	} {
		t.Run(fmt.Sprintf("%d entries, limit %v, skewed %v", tc.entries, tc.limit, tc.skewed), func(t *testing.T) {
			f := newFleet(rand.New(rand.NewPCG(1, 7)), tc.entries, tc.limit, reportEvery)
			total := 40 * math.Ceil(float64(tc.entries)/10)
			for i := range f.entries {
				f.entries[i].rate = total / float64(tc.entries)
				if tc.skewed {
					f.entries[i].rate = 0.1 * total / float64(tc.entries-1)
				}
			}
			if tc.skewed {
				f.entries[0].rate = 0.9 * total
			}
			f.run(5*time.Second, true)
			before, from := len(f.sent), f.now
			f.run(60*time.Second, true)
			used := float64(len(f.sent)-before) / (f.now - from).Seconds() / tc.limit
			assert.Assert(t, used >= tc.used && used <= 1.1, "%.2f of the limit was used", used)
		})
	}
}

// Guards against limits that no engine means: an engine that is shut out for good, or one
// without any limit at all.
func TestUnusualLimits(t *testing.T) {
	for _, tc := range []struct {
		name      string
		perSecond float64
		limited   bool
	}{
		{"zero", 0, true},
		{"negative", -1, true},
		{"infinitely negative", math.Inf(-1), true},
		{"tiny", 1e-300, true},
		{"not a number", math.NaN(), false},
		{"infinite", math.Inf(1), false},
		{"huge", 1e308, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(rand.New(rand.NewPCG(1, 8)), 3, tc.perSecond, reportEvery)
			for i := range f.entries {
				f.entries[i].rate = 10
			}
			f.run(60*time.Second, true)
			l, ok := f.entries[0].pacer.Heard()
			assert.Assert(t, ok)
			assert.Equal(t, l.Limited, tc.limited)
			if tc.limited {
				assert.Assert(t, len(f.sent) >= 5 && len(f.sent) <= 40, "%d calls in a minute", len(f.sent))
			}
		})
	}
}

// Guards against an older answer that replaces a newer one, and against a limit that holds
// for good although no answer names it any more.
func TestHear(t *testing.T) {
	var p pacing.Pacer
	assert.Assert(t, p.Hear(10*time.Second, pacing.Limit{PerSecond: 2, Limited: true, HeardAt: 10 * time.Second}))
	assert.Assert(t, !p.Hear(11*time.Second, pacing.Limit{HeardAt: 9 * time.Second}))
	assert.Assert(t, p.Limited(11*time.Second))
	assert.Assert(t, p.Hear(12*time.Second, pacing.Limit{HeardAt: 12 * time.Second}))
	assert.Assert(t, !p.Limited(12*time.Second))
	assert.Assert(t, p.Hear(13*time.Second, pacing.Limit{PerSecond: 2, Limited: true, HeardAt: 13 * time.Second}))
	assert.Assert(t, !p.Limited(2*time.Hour))
	assert.Equal(t, p.Wait(2*time.Hour, 1), time.Duration(0))
}

func BenchmarkAllows(b *testing.B) {
	var d pacing.Demand
	var p pacing.Pacer
	p.Hear(0, pacing.Limit{PerSecond: 3, Limited: true})
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		d.Count(now)
		p.SetOthers(now, 3, 7)
		if p.Allows(now, d.Rate(now)) {
			p.Take(now)
		}
	}
}
