package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

// SlotPolicy selects how entries share the limit of an engine.
type SlotPolicy string

// Slot policies.
const (
	NoSlots     SlotPolicy = "none"
	StaticSlots SlotPolicy = "static"
	OwnerSlots  SlotPolicy = "owner"
)

// Fault is a fault that an experiment can inject.
type Fault string

// Faults: an engine is killed and returns with a new incarnation, another turns
// cold silently, another stalls for 3 s, a data centre is taken out and returns.
const (
	EngineKilled  Fault = "kill"
	EngineCold    Fault = "cold"
	EngineStalled Fault = "stall"
	CentreMoved   Fault = "centre"
)

// Policy is what an experiment compares.
type Policy struct {
	Name string
	// Placer returns the placer of one entry.
	Placer func(rng serving.Random, lengths serving.LengthEstimator, admitter serving.Admitter) serving.Placer
	// Admitter returns the admitter of one entry; nil sends each request at once.
	Admitter func(p *Policy, lengths serving.LengthEstimator, c *dispatch.Calibration) serving.Admitter
	Slots    SlotPolicy
	// OwnerMemory makes owners check the memory forecast of all entries together.
	OwnerMemory bool
	// Reserve is the number of free slots in an entry's region that only accounts
	// below their share may take.
	Reserve serving.Slots
	// ReserveAfter is the time of an unbroken backlog after which an account
	// counts as having its share.
	ReserveAfter time.Duration
	// Credit is that of account.QueueConfig.
	Credit float64
	// RemoteDemand asks all engines for slots for every waiting request.
	RemoteDemand bool
	// Quantile is the probability that the memory suffices.
	Quantile float64
	// Calibrate, if not 0, adjusts the risk quantile until this share of the load
	// reports show a preemption.
	Calibrate float64
}

// Policies that can be compared.
var (
	RoundRobin = Policy{Name: "round_robin", Placer: func(serving.Random, serving.LengthEstimator, serving.Admitter) serving.Placer {
		return &dispatch.RoundRobin{}
	}}
	LeastInFlight = Policy{Name: "least_in_flight", Placer: func(serving.Random, serving.LengthEstimator, serving.Admitter) serving.Placer {
		return &dispatch.LeastInFlight{}
	}}
	Ours = Policy{Name: "ours", Placer: costPlacer, Admitter: memoryAdmitter, Slots: OwnerSlots, OwnerMemory: true, Quantile: 0.95, Calibrate: 0.005, Reserve: 2, ReserveAfter: 5 * time.Second, Credit: 10_000}
)

func costPlacer(rng serving.Random, lengths serving.LengthEstimator, admitter serving.Admitter) serving.Placer {
	next := &dispatch.CostPlacer{Lengths: lengths, Random: rng, Admitter: admitter}
	a := dispatch.NewAffinity(next, 1.25)
	a.Admitter = admitter
	return a
}

func memoryAdmitter(p *Policy, lengths serving.LengthEstimator, c *dispatch.Calibration) serving.Admitter {
	return &dispatch.MemoryAdmitter{Lengths: lengths, Calibration: c, Quantile: p.Quantile}
}

// Config configures an experiment. Zero values mean the defaults.
type Config struct {
	Seed uint64
	// Load is the offered load relative to the memory of all engines.
	Load     float64
	Policy   Policy
	Accounts []Account
	Faults   []Fault
	Bursty   bool
	// Warmup is not measured; Duration follows (defaults 60 s and 120 s).
	Warmup, Duration time.Duration
	// Patience is the time after which a caller without a first token gives up
	// (default 10 s).
	Patience time.Duration
	// Regions, EnginesPerRegion and Entries are 3, 4 and 7 by default.
	Regions, EnginesPerRegion, Entries int
	Capacity                           serving.Capacity
}

func (c *Config) defaults() {
	c.Warmup = fallback(c.Warmup, 60*time.Second)
	c.Duration = fallback(c.Duration, 120*time.Second)
	c.Patience = fallback(c.Patience, 10*time.Second)
	c.Regions = fallback(c.Regions, 3)
	c.EnginesPerRegion = fallback(c.EnginesPerRegion, 4)
	c.Entries = fallback(c.Entries, 7)
	if c.Accounts == nil {
		c.Accounts = DefaultAccounts()
	}
	if c.Capacity.MaxRunning == 0 {
		c.Capacity = serving.Capacity{MaxRunning: 64, ColdRunning: 4, MemoryBlocks: 2048, BlockTokens: 16}
	}
}

func fallback[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// experiment is the state of one run.
type experiment struct {
	schedule
	cfg Config
	rng *rand.Rand
	// workload is separate from rng, so that all policies meet the same requests.
	workload *rand.Rand
	recorder *Recorder
	engines  []*modelEngine
	entries  []*modelEntry
	// out is the region that is out of service, or -1.
	out int
	end time.Duration

	perSecond []int64
}

// Experiment runs one policy in virtual time and returns its results.
func Experiment(cfg Config) Summary {
	cfg.defaults()
	x := &experiment{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), workload: rand.New(rand.NewPCG(cfg.Seed, 2)), recorder: NewRecorder(), out: -1}
	x.end = cfg.Warmup + cfg.Duration
	x.perSecond = make([]int64, int(x.end/time.Second)+1)
	for i := range cfg.Regions * cfg.EnginesPerRegion {
		e := &modelEngine{
			s: &x.schedule, id: serving.EngineID(fmt.Sprintf("engine-%d", i)), region: i % cfg.Regions,
			capacity: cfg.Capacity, incarnation: 1, cache: map[uint64]int{},
			startedAt: -time.Hour, // The engines have long been warm when the run begins.
		}
		e.onPreempted = func() {
			if x.measuring() {
				x.recorder.Preempted(1)
			}
		}
		x.engines = append(x.engines, e)
	}
	for i := range cfg.Entries {
		x.entries = append(x.entries, newModelEntry(x, i))
	}
	x.scheduleReports()
	x.scheduleArrivals()
	x.scheduleFaults()
	// Requests that arrived in time are served to the end.
	x.runUntil(x.end + 5*time.Minute)
	s := x.recorder.Summary(cfg.Policy.Name, cfg.Duration)
	s.Load, s.Faults = cfg.Load, "no"
	var prompt, cached serving.Tokens
	for _, e := range x.engines {
		prompt += e.promptTokens
		cached += e.cachedHit
	}
	s.CachedShare = float64(cached) / float64(max(1, prompt))

	if len(cfg.Faults) > 0 {
		s.Faults, s.CompletedPerSec = fmt.Sprint(cfg.Faults), x.perSecond
		s.MoveRate = x.moveRate()
	}
	return s
}

func (x *experiment) measuring() bool { return x.now >= x.cfg.Warmup && x.now < x.end }

// arrivalRate returns the rate at which the offered generations fill the given
// share of memory, each holding its prompt and its answer so far at every step of
// an engine whose memory is full.
func (x *experiment) arrivalRate() float64 {
	sample := rand.New(rand.NewPCG(99, 99))
	const n = 20000
	var area, held, prefill float64
	for range n {
		a := pickAccount(sample, x.cfg.Accounts)
		p := float64(a.Prompt.Draw(sample) + a.SystemPrompt + a.History)
		l := float64(a.Answer.Draw(sample))
		area += p*l + l*l/2 + 8*l
		held += l
		prefill += p
	}
	mean := area / held
	memory := float64(serving.Tokens(x.cfg.Capacity.MemoryBlocks) * x.cfg.Capacity.BlockTokens)
	batch := min(memory/mean, float64(x.cfg.Capacity.MaxRunning))
	// Each step finishes batch*n/held generations and prefills as many prompts.
	step := stepBase.Seconds() + batch*stepPerRunning.Seconds() + batch/held*prefill*stepPerPrefill.Seconds()
	perEngine := batch / (held / n) / step
	return x.cfg.Load * perEngine * float64(len(x.engines))
}

func (x *experiment) scheduleArrivals() {
	var arrivals Arrivals = &Poisson{Rate: x.arrivalRate(), Random: x.workload}
	if x.cfg.Bursty {
		arrivals = &Bursty{Rate: x.arrivalRate(), Swing: 0.6, Dwell: 5 * time.Second, Random: x.workload}
	}
	var next func()
	next = func() {
		if x.now >= x.end {
			return
		}
		x.arrive()
		x.after(arrivals.Next(x.now), next)
	}
	x.after(0, next)
}

func (x *experiment) arrive() {
	a := pickAccount(x.workload, x.cfg.Accounts)
	r := &serving.Request{
		ID:      serving.RequestID(fmt.Sprintf("r%d", x.seq)),
		Account: a.ID, Service: "completions", Model: "m", Priority: a.Priority, MaxTokens: 4096,
		PromptTokens: a.Prompt.Draw(x.workload) + a.SystemPrompt, Deadline: x.now + x.cfg.Patience,
	}
	for i := range a.SystemPrompt / 16 {
		r.PrefixHashes = append(r.PrefixHashes, hashOf(string(a.ID), uint64(i)))
	}
	if a.Sessions > 0 {
		r.Session = fmt.Sprintf("%s-%d", a.ID, x.workload.IntN(a.Sessions))
		r.PromptTokens += a.History
		for i := range a.History / 16 {
			r.PrefixHashes = append(r.PrefixHashes, hashOf(r.Session, uint64(i)))
		}
	}
	e := x.entries[x.workload.IntN(len(x.entries))]
	// A conversation stays in its caller's region.
	for r.Session != "" && e.region != int(hashOf(r.Session, 0)%uint64(x.cfg.Regions)) {
		e = x.entries[x.workload.IntN(len(x.entries))]
	}

	c := &call{r: r, answer: a.Answer.Draw(x.workload), weight: a.Weight, at: x.now, measured: x.measuring()}
	if c.measured {
		x.recorder.Offered()
	}
	e.arrive(c)
}

func hashOf(account string, i uint64) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(account) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return (h ^ i) * 1099511628211
}

// delay returns the one-way latency between two regions.
func (x *experiment) delay(a, b int) time.Duration {
	if a == b {
		return time.Millisecond
	}
	return 10 * time.Millisecond
}

// scheduleReports sends each engine's state to all entries every 500 ms, with a lag.
func (x *experiment) scheduleReports() {
	for i, e := range x.engines {
		x.after(time.Duration(i)*40*time.Millisecond, func() {
			x.report(e)
			x.every(500*time.Millisecond, x.end+5*time.Minute, func() { x.report(e) })
		})
	}
}

func (x *experiment) report(e *modelEngine) {
	if e.dead || x.now < e.stalledUntil {
		return
	}
	a := dispatch.Announcement{
		Engine: e.id, DataCentre: dataCentre(e.region), Region: region(e.region), Incarnation: e.incarnation,
		State: dispatch.EngineReady, Models: []dispatch.ServedModel{{Model: "m"}}, Capacity: e.capacity, Load: e.load(),
		CacheEvents: e.cacheEvents, Uptime: e.s.now - e.startedAt,
	}
	e.cacheEvents = nil
	for _, n := range x.entries {
		lag := x.delay(e.region, n.region) + time.Duration(x.rng.Int64N(int64(200*time.Millisecond)))
		x.after(lag, func() { n.announced(a) })
	}
}

func dataCentre(i int) serving.DataCentreID { return serving.DataCentreID(fmt.Sprintf("dc-%d", i)) }
func region(i int) serving.RegionID         { return serving.RegionID(fmt.Sprintf("region-%d", i)) }

// scheduleFaults spreads the faults over the measured time.
func (x *experiment) scheduleFaults() {
	at := func(share float64, f func()) {
		x.after(x.cfg.Warmup+time.Duration(share*float64(x.cfg.Duration)), f)
	}
	n := len(x.engines)
	for _, f := range x.cfg.Faults {
		switch f {
		case EngineKilled:
			at(0.05, x.engines[0].kill)
			at(0.15, x.engines[0].revive)
		case EngineCold:
			at(0.2, func() { x.engines[1%n].cold = coldSteps })
		case EngineStalled:
			at(0.3, func() { x.engines[2%n].stalledUntil = x.now + 3*time.Second })
		case CentreMoved:
			at(0.4, func() { x.out = 0 })
			at(0.7, x.returnCentre)
		}
	}
}

// moveRate returns the smallest completion rate over 20 s from the leaving of the
// data centre to 20 s after its return, relative to what its absence allows: the
// offered rate, or the rate at which the other engines are full.
func (x *experiment) moveRate() float64 {
	const window = 20
	from := int((x.cfg.Warmup + x.cfg.Duration*2/5) / time.Second)
	to := int((x.cfg.Warmup+x.cfg.Duration*7/10)/time.Second) + window
	full := x.arrivalRate() / x.cfg.Load * float64(x.cfg.Regions-1) / float64(x.cfg.Regions)
	allowed := min(x.arrivalRate(), full)
	least := math.Inf(1)
	for start := from; start+window <= min(to, len(x.perSecond)); start++ {
		n := int64(0)
		for _, c := range x.perSecond[start : start+window] {
			n += c
		}
		least = min(least, float64(n)/window/allowed)
	}
	return least
}

// returnCentre puts the data centre back in service; its engines are cold by then.
func (x *experiment) returnCentre() {
	x.out = -1
	for _, e := range x.engines {
		if e.region == 0 {
			e.cold = coldSteps
		}
	}
	for _, n := range x.entries {
		n.dataCentreReturned(0)
	}
}
