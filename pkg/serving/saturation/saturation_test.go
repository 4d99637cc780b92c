package saturation_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/saturation"
)

const (
	step        = 10 * time.Millisecond
	pollEvery   = 100 * time.Millisecond
	sampleEvery = 250 * time.Millisecond
	pollTimeout = 700 * time.Millisecond
)

var small, large = saturation.Capacity{Cores: 0.144, LinkMbps: 7.5, Descriptors: 2875}, saturation.Capacity{Cores: 0.48, LinkMbps: 25, Descriptors: 10050}

// site simulates the entries of one data centre and the hubs that they poll. An entry changes to
// the next hub after a poll that timed out.
type site struct {
	random  *rand.Rand
	now     time.Duration
	entries []*entry
	hubs    []*saturation.Table
	// cut reports whether the link of an entry to a hub is cut, and level the use of its host.
	cut   func(entry, hub int) bool
	level func(entry int) float64
	// lost is the share of answers that are lost.
	lost float64
	// maxAway is the most entries that were away at the same time.
	maxAway int
}

type entry struct {
	saturation.Controller
	host   serving.HostID
	used   saturation.Sample
	hub    int
	offset time.Duration
	// answer ends the poll in progress at answerAt; nil if there is none.
	answer             func()
	answerAt, nextPoll time.Duration
	// suspendedUntil is the time up to which the process is suspended.
	suspendedUntil time.Duration
}

func newSite(seed uint64, hubs int, capacities ...saturation.Capacity) *site {
	s := &site{random: rand.New(rand.NewPCG(seed, 1)), cut: func(int, int) bool { return false }}
	for i, c := range capacities {
		s.entries = append(s.entries, &entry{Controller: saturation.Controller{Capacity: c}, host: serving.HostID(fmt.Sprintf("10.0.0.%d", i)),
			hub: i % hubs, offset: time.Duration(s.random.IntN(25)) * step})
	}
	for range hubs {
		s.hubs = append(s.hubs, &saturation.Table{})
	}
	return s
}

func (s *site) away() (n int) {
	for _, e := range s.entries {
		if s.now < e.AwayUntil() {
			n++
		}
	}
	return n
}

// run simulates up to the given time.
func (s *site) run(until time.Duration) {
	for ; s.now < until; s.now += step {
		for i, e := range s.entries {
			e.used.Processor += time.Duration(s.level(i) * e.Capacity.Cores * float64(step))
			if s.now < e.suspendedUntil {
				continue
			}
			s.poll(i, e)
			if (s.now+e.offset)%sampleEvery == 0 {
				e.Observe(s.now, e.used)
				e.Decide(s.now)
			}
		}
		s.maxAway = max(s.maxAway, s.away())
	}
}

func (s *site) poll(i int, e *entry) {
	if e.answer != nil {
		if s.now < e.answerAt {
			return
		}
		e.answer()
		e.answer = nil
		e.Decide(s.now)
	}
	if s.now < e.nextPoll {
		return
	}
	sentAt, hub := s.now, s.hubs[e.hub]
	e.nextPoll = s.now + pollEvery
	state := e.State()
	state.DataCentre = "a"
	timeout := func() { e.hub = (e.hub + 1) % len(s.hubs) }
	e.answerAt, e.answer = s.now+pollTimeout, timeout
	if s.cut(i, e.hub) {
		return
	}
	hub.Poll(s.now, e.host, 1, saturation.StateFromWire(state.ToWire()))
	a, ok := hub.Answer(s.now, e.host)
	if s.random.Float64() < s.lost {
		return
	}
	e.answerAt = s.now + time.Duration(s.random.IntN(10))*step
	e.answer = func() {
		if ok {
			e.SetAnswer(sentAt, saturation.AnswerFromWire(a.ToWire()))
		} else {
			e.ClearAnswer()
		}
	}
}

func capacities(smalls, larges int) []saturation.Capacity {
	return append(slices.Repeat([]saturation.Capacity{small}, smalls), slices.Repeat([]saturation.Capacity{large}, larges)...)
}

func TestLoads(t *testing.T) {
	const from, leftBy, end = 5 * time.Second, 7 * time.Second, 30 * time.Second
	all := func(int) bool { return true }
	for _, tc := range []struct {
		name       string
		hubs       int
		capacities []saturation.Capacity
		// peak is the level of the saturated hosts for the duration, which begins after 5 s.
		peak      float64
		duration  time.Duration
		saturated func(entry int) bool
		// away entries are away two seconds later, which is also the maximum.
		away int
	}{
		{"a wave reaches the three small hosts first", 1, capacities(3, 9), 0.95, 10 * time.Second, func(i int) bool { return i < 3 }, 3},
		{"a wave reaches more small hosts than may leave", 1, capacities(8, 12), 0.95, 10 * time.Second, func(i int) bool { return i < 8 }, 5},
		{"all hosts are saturated at once", 1, capacities(10, 30), 1, 15 * time.Second, all, 10},
		{"all hosts are saturated at once, two hubs", 2, capacities(10, 30), 1, 15 * time.Second, all, 10},
		{"all of three hosts are saturated", 1, capacities(1, 2), 1, 15 * time.Second, all, 0},
		{"hosts of one size, as in deployments so far", 1, capacities(0, 20), 1, 15 * time.Second, all, 0},
		{"load below saturation", 1, capacities(10, 10), 0.75, 15 * time.Second, all, 0},
		{"a burst of 100 ms", 1, capacities(10, 10), 2, 100 * time.Millisecond, all, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSite(1, tc.hubs, tc.capacities...)
			s.level = func(i int) float64 {
				if tc.saturated(i) && s.now >= from && s.now < from+tc.duration {
					return tc.peak
				}
				return 0.3
			}
			s.run(leftBy)
			assert.Equal(t, s.away(), tc.away)
			s.run(end)
			assert.Equal(t, s.maxAway, tc.away)
			assert.Equal(t, s.away(), 0)
		})
	}
}

// Guards against the same entries being away all the time while others are saturated too.
func TestTurnsOfManySaturatedEntries(t *testing.T) {
	s := newSite(1, 1, capacities(10, 30)...)
	s.level = func(i int) float64 { return 0.85 + 0.003*float64(i) }
	had := map[serving.HostID]bool{}
	for s.now < 2*time.Minute {
		s.run(s.now + sampleEvery)
		for _, e := range s.entries {
			had[e.host] = had[e.host] || e.Phase() == saturation.Away
		}
	}
	turns := 0
	for _, ok := range had {
		if ok {
			turns++
		}
	}
	assert.Equal(t, s.maxAway, 10)
	assert.Assert(t, turns >= 20, "only %d of 40 saturated entries had a turn", turns)
}

// Guards against the most saturated entries waiting for less saturated ones that claimed a moment
// before them, and against claims that displace entries that are away.
func TestOrderOfClaims(t *testing.T) {
	claim := func(level saturation.Level) saturation.State {
		return saturation.State{Phase: saturation.Claiming, Level: level}
	}
	for _, tc := range []struct {
		name string
		// states are those of the first of eight entries; the others are ready.
		states []saturation.State
		want   []bool
	}{
		{"most saturated first", []saturation.State{claim(0.85), claim(0.9), claim(1.2), claim(1)}, []bool{false, false, true, true}},
		{"equally saturated: by host", []saturation.State{claim(1), claim(1), claim(1)}, []bool{true, true, false}},
		{"those that are away stay", []saturation.State{{Phase: saturation.Away, Level: 0.7}, {Phase: saturation.Away, Level: 0.7}, claim(2)}, []bool{true, true, false}},
		{"one that shuts down counts", []saturation.State{{Phase: saturation.Leaving}, claim(0.9), claim(1)}, []bool{false, false, true}},
		{"three are away after a change of hubs", []saturation.State{{Phase: saturation.Away}, {Phase: saturation.Away}, {Phase: saturation.Away}}, []bool{true, true, false}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := &saturation.Table{}
			granted := make([]bool, len(tc.states))
			for now := time.Duration(0); now < 4*time.Second; now += pollEvery {
				for i := range 8 {
					state := saturation.State{}
					if i < len(tc.states) && now >= 3*time.Second {
						state = tc.states[i]
					}
					state.DataCentre, state.Size, state.Sequence = "a", []saturation.Capacity{small, large}[i%2].Size(), uint64(now)+1
					host := serving.HostID(fmt.Sprint(i))
					table.Poll(now, host, 1, &state)
					a, _ := table.Answer(now, host)
					if i < len(granted) {
						granted[i] = a.Granted
					}
				}
			}
			assert.DeepEqual(t, granted, tc.want)
		})
	}
}

// Guards against an entry that leaves on old news, or stays away although no hub tells it that
// it may.
func TestNewsLost(t *testing.T) {
	for _, tc := range []struct {
		name         string
		cutAt, until time.Duration
		awayBefore   int
	}{
		{"before the load: none leaves", 4900 * time.Millisecond, 20 * time.Second, 0},
		{"while away: ready within 1.3 s", 8 * time.Second, 9300 * time.Millisecond, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSite(1, 2, capacities(4, 4)...)
			s.level = func(int) float64 {
				if s.now < 5*time.Second {
					return 0.3
				}
				return 1
			}
			s.cut = func(int, int) bool { return s.now >= tc.cutAt }
			s.run(tc.cutAt)
			assert.Equal(t, s.away(), tc.awayBefore)
			s.run(tc.until)
			assert.Equal(t, s.away(), 0)
			assert.Equal(t, s.maxAway, tc.awayBefore)
		})
	}
}

// Guards against more than a quarter of a data centre being away at any moment, with loads that
// change at random while entries change hubs, hubs restart, and processes are suspended.
func TestNeverMoreThanAQuarterAway(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hubs := rapid.IntRange(1, 3).Draw(rt, "hubs")
		s := newSite(rapid.Uint64().Draw(rt, "seed"), hubs, capacities(rapid.IntRange(1, 12).Draw(rt, "small"), rapid.IntRange(1, 20).Draw(rt, "large"))...)
		levels := rapid.SliceOfN(rapid.Float64Range(0.4, 1.1), len(s.entries), len(s.entries)).Draw(rt, "levels")
		s.level = func(i int) float64 { return levels[i] }
		faults := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(rt, "share of links cut and processes suspended")
		changeEvery := rapid.SampledFrom([]time.Duration{500 * time.Millisecond, 2 * time.Second, 7 * time.Second}).Draw(rt, "time between changes")
		s.lost = faults / 4
		cuts := map[[2]int]bool{}
		s.cut = func(e, h int) bool { return cuts[[2]int{e, h}] }
		for s.now < 25*time.Second {
			s.run(s.now + changeEvery)
			for i, e := range s.entries {
				if s.random.IntN(3) == 0 {
					levels[i] = 0.4 + 0.7*s.random.Float64()
				}
				if s.random.Float64() < faults/4 {
					e.suspendedUntil = s.now + time.Duration(s.random.IntN(500))*step
				}
				for h := range hubs {
					cuts[[2]int{i, h}] = s.random.Float64() < faults
				}
			}
			if s.random.Float64() < faults/4 {
				s.hubs[s.random.IntN(hubs)] = &saturation.Table{}
			}
		}
		if limit := saturation.MaxAway(len(s.entries)); s.maxAway > limit {
			rt.Fatalf("%d of %d entries were away at the same time, at most %d may be", s.maxAway, len(s.entries), limit)
		}
	})
}

func TestObserve(t *testing.T) {
	type at struct {
		now time.Duration
		saturation.Sample
	}
	second := time.Second
	for _, tc := range []struct {
		name    string
		samples []at
		want    float64
	}{
		{"processor", []at{{0, saturation.Sample{}}, {second, saturation.Sample{Processor: 144 * time.Millisecond}}}, 0.8},
		{"link", []at{{0, saturation.Sample{}}, {second, saturation.Sample{Bytes: 937_500}}}, 0.8},
		{"descriptors", []at{{0, saturation.Sample{}}, {second, saturation.Sample{Descriptors: 2875}}}, 1},
		{"totals that fall", []at{{0, saturation.Sample{Processor: second, Bytes: 9e9}}, {second, saturation.Sample{}}}, 0},
		{"a pause of the process", []at{{0, saturation.Sample{}}, {10 * second, saturation.Sample{Processor: 10 * second}}}, 0},
		{"a clock that stands", []at{{0, saturation.Sample{}}, {0, saturation.Sample{Processor: second}}}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := saturation.Controller{Capacity: small}
			for _, s := range tc.samples {
				c.Observe(s.now, s.Sample)
			}
			assert.Assert(t, math.Abs(float64(c.Levels().Highest())-tc.want) < 0.02, "%v", c.Levels())
		})
	}
}

func TestUnknownCapacity(t *testing.T) {
	for _, c := range []saturation.Capacity{{}, {Cores: math.NaN(), LinkMbps: 1, Descriptors: 1}, {Cores: math.Inf(1), LinkMbps: 1, Descriptors: 1},
		{Cores: 1, LinkMbps: -1, Descriptors: 1}, {Cores: 1, LinkMbps: 1, Descriptors: -200}} {
		assert.Assert(t, !c.Known(), "%v", c)
	}
}

func BenchmarkDecide(b *testing.B) {
	c := saturation.Controller{Capacity: small}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Microsecond
		c.Observe(now, saturation.Sample{Processor: now})
		c.SetAnswer(now, saturation.Answer{Entries: 100})
		c.Decide(now)
	}
}

// BenchmarkAnswer has 200 entries of one data centre at a hub, all of which claim to leave.
func BenchmarkAnswer(b *testing.B) {
	table := &saturation.Table{}
	hosts := make([]serving.HostID, 200)
	states := make([]saturation.State, len(hosts))
	for i := range hosts {
		hosts[i] = serving.HostID(fmt.Sprint("10.0.0.", i))
		capacity := small
		if i%2 == 0 {
			capacity = large
		}
		states[i] = saturation.State{DataCentre: "a", Size: capacity.Size(), Phase: saturation.Claiming, Level: saturation.Level(i)}
	}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * 500 * time.Microsecond
		state := &states[i%len(hosts)]
		state.Sequence++
		table.Poll(now, hosts[i%len(hosts)], 1, state)
		table.Answer(now, hosts[i%len(hosts)])
	}
}
