package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

var testCapacity = serving.Capacity{MaxRunning: 16, ColdRunning: 2, MemoryBlocks: 512, BlockTokens: 16}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func announcement(id string, running serving.Slots) dispatch.Announcement {
	return dispatch.Announcement{
		Engine: serving.EngineID(id), DataCentre: "leon-1", Region: "leon", Incarnation: 1, State: dispatch.EngineReady,
		Models: []dispatch.ServedModel{{Model: "m"}}, Capacity: testCapacity, Load: serving.Load{Running: running},
	}
}

func Example() {
	rng := rand.New(rand.NewPCG(1, 2))
	lengths := dispatch.NewLengths(dispatch.LengthsConfig{})
	tracker := dispatch.NewTracker(dispatch.TrackerConfig{Lengths: lengths, Random: rng})
	admitter := &dispatch.MemoryAdmitter{Lengths: lengths}
	placer := dispatch.NewAffinity(&dispatch.CostPlacer{Lengths: lengths, Random: rng, Admitter: admitter}, 1.25)

	tracker.Announce(0, announcement("idle", 0))
	tracker.Announce(0, announcement("full", 16))
	r := &serving.Request{ID: "r1", Model: "m", Region: "leon", PromptTokens: 100}
	candidates := tracker.Candidates(0, r, nil)
	i, err := placer.Place(0, r, candidates)
	fmt.Println(candidates[i].Engine, err)
	tracker.Sent(0, candidates[i].Engine, "g1", r)
	tracker.FirstToken(100*time.Millisecond, "idle", "g1")
	tracker.Progress(130*time.Millisecond, "idle", "g1", 2)
	tracker.Done(140*time.Millisecond, "idle", "g1", dispatch.OutcomeComplete)
	// Output: idle <nil>
}

// Guards against an estimator that ignores the tokens generated so far, the account's
// own history, or its limit on stored distributions.
func TestLengths(t *testing.T) {
	l := dispatch.NewLengths(dispatch.LengthsConfig{MaxKeys: 20})
	key := serving.LengthKey{Service: "s", Model: "m", Account: "a"}
	prior := l.Remaining(key, 0, 0.5)
	assert.Assert(t, prior > 200 && prior < 320, prior)
	rng := newRandom()
	for range 2000 {
		l.Observe(key, serving.Tokens(50+rng.IntN(100)))
		l.Observe(serving.LengthKey{Service: "s", Model: "m", Account: "b"}, serving.Tokens(1000+rng.IntN(100)))
	}
	median := l.Remaining(key, 0, 0.5)
	assert.Assert(t, median > 80 && median < 120, median)
	late := l.Remaining(key, 100, 0.5)
	assert.Assert(t, late > 5 && late < 40, late)
	var s [serving.ForecastPoints]float64
	l.Survival(key, 0, &s)
	assert.Equal(t, s[0], 1.0)
	assert.Assert(t, s[2] > 0.9 && s[9] < 0.1, s)
	for i := range 1000 {
		l.Observe(serving.LengthKey{Account: serving.ClientAccountID(fmt.Sprint(i))}, 10)
	}
	assert.Assert(t, l.Keys() <= 20)
}

// Guards against a quantile that doesn't converge to the intended share of
// exceeded predictions when the estimates are wrong.
func TestCalibrationConverges(t *testing.T) {
	c := dispatch.NewCalibration(0.05)
	rng := newRandom()
	lateExceeded := 0
	for i := range 20000 {
		// The true quantile function is shifted: predictions are exceeded twice as
		// often as the quantile implies.
		exceeded := rng.Float64() < min(1, 2*(1-c.Quantile()))
		c.Record(exceeded)
		if exceeded && i >= 10000 {
			lateExceeded++
		}
	}
	assert.Assert(t, lateExceeded > 400 && lateExceeded < 600, lateExceeded)
}

// Guards against admission that ignores the growth of running generations.
func TestMemoryAdmitterCountsGrowth(t *testing.T) {
	lengths := dispatch.NewLengths(dispatch.LengthsConfig{PriorMedian: 1000, PriorSigma: 0.2})
	tracker := dispatch.NewTracker(dispatch.TrackerConfig{Lengths: lengths, Random: newRandom()})
	a := announcement("e", 0)
	a.Capacity.ColdRunning = 16
	tracker.Announce(0, a)
	admitter := &dispatch.MemoryAdmitter{Lengths: lengths}
	r := &serving.Request{Model: "m", PromptTokens: 200}
	admitted := 0
	for range 16 {
		c := tracker.Candidates(0, r, nil)
		if d := admitter.Admit(0, r, &c[0]); !d.Admitted {
			assert.Equal(t, d.Reason, dispatch.ReasonMemory)
			assert.Assert(t, d.RetryAfter > 0)
			break
		}
		tracker.Sent(0, "e", serving.GenerationID(fmt.Sprint(admitted)), r)
		admitted++
	}
	// 8,192 tokens hold 6 generations that grow to about 1,200 tokens each; by their
	// prompts alone, 16 would be admitted.
	assert.Assert(t, admitted >= 4 && admitted <= 7, admitted)
}

// Guards against a cache estimate that survives a sequence gap or a restart.
func TestPrefixEstimateDroppedOnGap(t *testing.T) {
	tracker := dispatch.NewTracker(dispatch.TrackerConfig{Random: newRandom()})
	r := &serving.Request{Model: "m", PromptTokens: 64, PrefixHashes: []uint64{1, 2}}
	tests := []struct {
		incarnation serving.Incarnation
		events      []dispatch.CacheEvent
		cached      serving.Tokens
	}{
		{1, []dispatch.CacheEvent{{Seq: 0, Op: "add", Prefix: 1}, {Seq: 1, Op: "add", Prefix: 2}}, 32},
		{1, []dispatch.CacheEvent{{Seq: 2, Op: "evict", Prefix: 2}}, 16},
		{1, []dispatch.CacheEvent{{Seq: 1, Op: "add", Prefix: 2}}, 16},
		{1, []dispatch.CacheEvent{{Seq: 9, Op: "add", Prefix: 7}}, 0},
		{1, []dispatch.CacheEvent{{Seq: 10, Op: "add", Prefix: 2}}, 32},
		{2, nil, 0},
	}
	for i, tt := range tests {
		a := announcement("e", 0)
		a.Incarnation, a.CacheEvents = tt.incarnation, tt.events
		tracker.Announce(0, a)
		assert.Equal(t, tracker.Candidates(0, r, nil)[0].CachedPrefix, tt.cached, i)
	}
	tracker.Announce(0, announcement("e", 0))
	assert.Equal(t, len(tracker.Candidates(3*time.Second, r, nil)), 0, "stale engine is a candidate")
}

// Guards against candidates that ignore requests sent after the load report, and
// against a leaving engine that becomes ready again.
func TestTrackerSentSinceReportAndLeaving(t *testing.T) {
	tracker := dispatch.NewTracker(dispatch.TrackerConfig{Random: newRandom()})
	tracker.Announce(0, announcement("e", 3))
	r := &serving.Request{Model: "m", PromptTokens: 64}
	tracker.Sent(10*time.Millisecond, "e", "g", r)
	c := tracker.Candidates(20*time.Millisecond, r, nil)
	assert.Equal(t, c[0].SentSinceReport, serving.Slots(1))
	assert.Equal(t, c[0].Busy(), serving.Slots(4))
	a := announcement("e", 4)
	a.Load.AsOfMS = 500
	tracker.Announce(500*time.Millisecond, a)
	c = tracker.Candidates(510*time.Millisecond, r, nil)
	assert.Equal(t, c[0].Busy(), serving.Slots(4))
	a.State = dispatch.EngineLeaving
	tracker.Announce(600*time.Millisecond, a)
	tracker.Announce(700*time.Millisecond, announcement("e", 4))
	assert.Equal(t, len(tracker.Candidates(710*time.Millisecond, r, nil)), 0)
}

// Guards against affinity that sends so many requests of one session to one engine that
// its load exceeds the bound.
func TestAffinityBound(t *testing.T) {
	rng := newRandom()
	tracker := dispatch.NewTracker(dispatch.TrackerConfig{Random: rng})
	for i := range 100 {
		a := announcement(fmt.Sprint("e", i), 0)
		a.Capacity.ColdRunning = 16
		tracker.Announce(0, a)
	}
	lengths := dispatch.NewLengths(dispatch.LengthsConfig{})
	p := dispatch.NewAffinity(&dispatch.CostPlacer{Lengths: lengths, Random: rng}, 1.25)
	r := &serving.Request{Model: "m", PromptTokens: 10, Session: "s", Region: "leon"}
	sent := map[serving.EngineID]int{}
	for i := range 60 {
		c := tracker.Candidates(time.Duration(i), r, nil)
		k, err := p.Place(time.Duration(i), r, c)
		assert.NilError(t, err)
		sent[c[k].Engine]++
		tracker.Sent(time.Duration(i), c[k].Engine, serving.GenerationID(fmt.Sprint(i)), r)
	}
	for id, n := range sent {
		assert.Assert(t, n <= 4, "%s got %d", id, n)
	}
}

// Guards against a limit that rises without evidence, a silent cold start that is not
// detected, and a new incarnation that keeps the old limit.
func TestRamp(t *testing.T) {
	r := dispatch.NewRamp(dispatch.RampConfig{})
	r.Announce(0, 1, testCapacity)
	r.SetReference(30 * time.Millisecond)
	assert.Equal(t, r.Limit(), serving.Slots(2))
	runSteps := func(from time.Duration, seconds int, step time.Duration, busy serving.Slots) time.Duration {
		for i := range seconds * 20 {
			r.Step(from+time.Duration(i)*50*time.Millisecond, step, busy)
		}
		return from + time.Duration(seconds)*time.Second
	}
	now := runSteps(0, 60, 30*time.Millisecond, 0)
	assert.Equal(t, r.Limit(), serving.Slots(2), "limit rose without use")
	now = runSteps(now, 20, 30*time.Millisecond, 16)
	assert.Assert(t, !r.Cold())
	now = runSteps(now, 3, 300*time.Millisecond, 16)
	assert.Assert(t, r.Cold(), "silent cold start not detected")
	assert.Equal(t, r.Limit(), serving.Slots(2))
	runSteps(now, 20, 30*time.Millisecond, 16)
	assert.Assert(t, !r.Cold())
	r.Announce(now, 2, testCapacity)
	assert.Equal(t, r.Limit(), serving.Slots(2))
}

// Guards against a full limit for an engine that turns cold without announcing it and
// whose generations end before enough windows have been slow. It is then idle, and
// several generations that arrive at once some seconds later must not exceed the cold
// limit. A warm engine gets its full limit again once its steps are not slow.
func TestRampLimitsEngineThatTurnsColdAndGoesIdle(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name string
		// slow is how long steps are slow, and normal how long they are normal afterwards.
		slow, normal time.Duration
		want         serving.Slots
	}{
		{"idle after slow steps", 700 * ms, 0, testCapacity.ColdRunning},
		{"one slow window", 250 * ms, 0, testCapacity.MaxRunning},
		{"normal steps again", 700 * ms, 500 * ms, testCapacity.MaxRunning},
	} {
		r := dispatch.NewRamp(dispatch.RampConfig{})
		r.Announce(0, 1, testCapacity)
		r.SetReference(10 * ms)
		r.MarkWarm()
		at := time.Duration(0)
		for ; at < tt.slow; at += 30 * ms {
			r.Step(at, 30*ms, 2)
		}
		for end := at + tt.normal; at < end; at += 10 * ms {
			r.Step(at, 10*ms, 2)
		}
		assert.Equal(t, r.Limit(), tt.want, tt.name)
	}
}

// Guards against a limit that rises during the cold start, which happened when every
// window of an engine without a reference counted as evidence.
func TestRampKeepsTheColdLimitUntilTheColdStartIsOver(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name      string
		reference time.Duration
		running   serving.Slots
		// step returns the step time at a time since the start.
		step func(at time.Duration) time.Duration
		span time.Duration
		cold bool
	}{
		{"slow throughout", 0, 2, func(time.Duration) time.Duration { return 30 * ms }, 50 * time.Second, true},
		{"three times the reference", 10 * ms, 2, func(time.Duration) time.Duration { return 30 * ms }, 50 * time.Second, true},
		{"long prefills at first", 0, 2, func(at time.Duration) time.Duration {
			if at < time.Second {
				return 45 * ms
			}
			return 30 * ms
		}, 50 * time.Second, true},
		{"steps become short", 0, 2, func(at time.Duration) time.Duration {
			if at < 10*time.Second {
				return 30 * ms
			}
			return 10 * ms
		}, 12 * time.Second, false},
		{"as short as the reference", 10 * ms, 2, func(time.Duration) time.Duration { return 12 * ms }, 2 * time.Second, false},
		{"above the cold limit when first seen", 0, 9, func(time.Duration) time.Duration { return 10 * ms }, 2 * time.Second, false},
		{"cold period is over", 0, 2, func(time.Duration) time.Duration { return 10 * ms }, 62 * time.Second, false},
	}
	for _, tt := range tests {
		r := dispatch.NewRamp(dispatch.RampConfig{})
		r.Announce(0, 1, testCapacity)
		r.SetReference(tt.reference)
		for at := time.Duration(0); at <= tt.span; at += 50 * ms {
			r.Report(at, serving.Load{Running: tt.running, StepMS: float64(tt.step(at)) / float64(ms)})
		}
		assert.Equal(t, r.Limit() == testCapacity.ColdRunning, tt.cold, "%s: limit %d", tt.name, r.Limit())
	}
}

// Guards against a breaker that misses an engine failing one call in four, or
// that closes without successful probes.
func TestBreakerGreyFailure(t *testing.T) {
	b := dispatch.NewBreaker(dispatch.BreakerConfig{})
	now, calls := time.Duration(0), 0
	for ; b.State(now) == dispatch.Closed && calls < 200; calls++ {
		b.Begin(now)
		b.Record(now, calls%4 != 3)
	}
	assert.Assert(t, calls < 64, calls)
	assert.Assert(t, !b.Allow(now))
	now += 2 * time.Second
	for range 3 {
		assert.Assert(t, b.Allow(now))
		b.Begin(now)
	}
	assert.Assert(t, !b.Allow(now), "more probes than configured")
	b.Record(now, false)
	assert.Equal(t, b.State(now), dispatch.Open)
	now += 4 * time.Second
	for range 3 {
		b.Begin(now)
		b.Record(now, true)
	}
	assert.Equal(t, b.State(now), dispatch.Closed)
}

// Guards against a stall threshold that ignores the engine's own history, and
// against retries that multiply.
func TestStallAndRetryBudget(t *testing.T) {
	d := dispatch.NewStallDetector(dispatch.StallConfig{})
	assert.Equal(t, d.Threshold(), 5*time.Second)
	for range 1000 {
		d.Observe(100 * time.Millisecond)
	}
	assert.Assert(t, !d.Stalled(400*time.Millisecond, 0))
	assert.Assert(t, d.Stalled(time.Second, 0))

	b := dispatch.NewRetryBudget(0.1, 10)
	retries := 0
	for range 1000 {
		b.Request(0)
		if b.Retry(0) {
			retries++
		}
	}
	assert.Assert(t, retries <= 110, retries)
	assert.Assert(t, !dispatch.NewRetryBudget(0.1, 10).Retry(1), "a retry was retried")
}

// Guards against new requests to an engine that has stalled.
func TestStalledEngineIsNotCandidate(t *testing.T) {
	tracker := dispatch.NewTracker(dispatch.TrackerConfig{Random: newRandom(), StaleAfter: time.Hour})
	tracker.Announce(0, announcement("e", 0))
	r := &serving.Request{Model: "m", PromptTokens: 64}
	tracker.Sent(0, "e", "g", r)
	now := time.Duration(0)
	tracker.FirstToken(now, "e", "g")
	for i := range serving.Tokens(200) {
		now += 30 * time.Millisecond
		tracker.Progress(now, "e", "g", i+2)
	}
	assert.Equal(t, len(tracker.Candidates(now+100*time.Millisecond, r, nil)), 1)
	assert.Assert(t, tracker.Stalled(now+time.Second, "e", "g"))
	assert.Equal(t, len(tracker.Candidates(now+time.Second, r, nil)), 0)
	tracker.Done(now+time.Second, "e", "g", dispatch.OutcomeFailed)
	assert.Equal(t, len(tracker.Candidates(now+time.Second, r, nil)), 1)
}
