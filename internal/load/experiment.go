package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

// SlotPolicy selects how entries divide the slots of an engine among themselves.
type SlotPolicy string

// Slot policies: no limit per entry, an equal fixed share for each entry, or slots
// granted on request by the owner of the engine, which is one of the entries.
const (
	NoSlots     SlotPolicy = "none"
	StaticSlots SlotPolicy = "static"
	OwnerSlots  SlotPolicy = "owner"
)

// Fault is a fault that an experiment can inject.
type Fault string

// Faults: an engine is killed and restarts with a new incarnation, another one turns
// cold without reporting it, another one stalls for 3 s, and a data centre is taken
// out of service and brought back.
const (
	EngineKilled       Fault = "kill"
	EngineCold         Fault = "cold"
	EngineStalled      Fault = "stall"
	DataCentreTakenOut Fault = "centre"
)

// Policy is a dispatch policy that an experiment measures.
type Policy struct {
	Name string
	// Placer returns the placer of one entry.
	Placer func(rng serving.Random, lengths serving.LengthEstimator, admitter serving.Admitter) serving.Placer
	// Admitter returns the admitter of one entry; nil means that each request is sent
	// at once, without a queue.
	Admitter func(p *Policy, lengths serving.LengthEstimator, c *dispatch.Calibration) serving.Admitter
	Slots    SlotPolicy
	// OwnerMemory makes owners check the joint memory forecast of all entries.
	OwnerMemory bool
	// Reserve is the number of free slots in an entry's region that are reserved for
	// accounts below their share.
	Reserve serving.Slots
	// ReserveAfter is the time of continuous backlog after which an account is assumed
	// to use its share.
	ReserveAfter time.Duration
	// Credit is the field of the same name in account.QueueConfig.
	Credit float64
	// RemoteDemand requests slots of all engines whenever requests are queued, not only
	// of those in the region.
	RemoteDemand bool
	// Quantile is the probability with which the memory of an engine must suffice for
	// the admitted requests. It applies if there is no calibration.
	Quantile float64
	// CalibrationTarget is the share of load reports with a new preemption that the
	// calibration of the quantile aims for; 0 means that the quantile stays fixed.
	CalibrationTarget float64
}

// Policies to compare. RoundRobin and LeastInFlight are the baselines. CostBased
// places by cost, as entries do by default; its name in reports is "ours".
var (
	RoundRobin = Policy{Name: "round_robin", Placer: func(serving.Random, serving.LengthEstimator, serving.Admitter) serving.Placer {
		return &dispatch.RoundRobin{}
	}}
	LeastInFlight = Policy{Name: "least_in_flight", Placer: func(serving.Random, serving.LengthEstimator, serving.Admitter) serving.Placer {
		return &dispatch.LeastInFlight{}
	}}
	CostBased = Policy{Name: "ours", Placer: costPlacer, Admitter: memoryAdmitter, Slots: OwnerSlots, OwnerMemory: true, Quantile: 0.95, CalibrationTarget: 0.005, Reserve: 2, ReserveAfter: 5 * time.Second, Credit: 10_000}
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

// Config configures an experiment. Load and Policy must be set. The other fields are
// optional.
type Config struct {
	Seed uint64
	// Load is the offered load relative to the memory of all engines.
	Load   float64
	Policy Policy
	// Accounts defaults to DefaultAccounts.
	Accounts []Account
	Faults   []Fault
	// Bursty selects Bursty arrivals instead of Poisson arrivals.
	Bursty bool
	// WarmUp is the first part of a run, which is not measured; Duration is the
	// measured part (defaults 60 s and 120 s).
	WarmUp, Duration time.Duration
	// FirstTokenTimeout is the time after which a caller cancels a request that has
	// no token yet (default 10 s).
	FirstTokenTimeout time.Duration
	// Regions, EnginesPerRegion and Entries are 3, 4 and 7 by default.
	Regions, EnginesPerRegion, Entries int
	// Capacity is the capacity of each engine. The default is 64 running generations, 4
	// of them while cold, and 2048 blocks of 16 tokens.
	Capacity serving.Capacity
}

func (c *Config) defaults() {
	c.WarmUp = orDefault(c.WarmUp, 60*time.Second)
	c.Duration = orDefault(c.Duration, 120*time.Second)
	c.FirstTokenTimeout = orDefault(c.FirstTokenTimeout, 10*time.Second)
	c.Regions = orDefault(c.Regions, 3)
	c.EnginesPerRegion = orDefault(c.EnginesPerRegion, 4)
	c.Entries = orDefault(c.Entries, 7)
	if c.Accounts == nil {
		c.Accounts = DefaultAccounts()
	}
	if c.Capacity.MaxRunning == 0 {
		c.Capacity = serving.Capacity{MaxRunning: 64, ColdRunning: 4, MemoryBlocks: 2048, BlockTokens: 16}
	}
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// experiment is the state of one run.
type experiment struct {
	simulation
	cfg Config
	rng *rand.Rand
	// workload is separate from rng, so all policies get the same requests.
	workload *rand.Rand
	recorder *Recorder
	engines  []*modelEngine
	entries  []*modelEntry
	// outRegion is the region whose data centre is out of service, or -1.
	outRegion int
	end       time.Duration

	// perSecond counts the completed requests in each second from the start of the
	// run, including the warm-up.
	perSecond []int64
}

// Experiment runs one policy in virtual time and returns its results.
func Experiment(cfg Config) Summary {
	cfg.defaults()
	x := &experiment{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), workload: rand.New(rand.NewPCG(cfg.Seed, 2)), recorder: NewRecorder(), outRegion: -1}
	x.end = cfg.WarmUp + cfg.Duration
	x.perSecond = make([]int64, int(x.end/time.Second)+1)
	for i := range cfg.Regions * cfg.EnginesPerRegion {
		e := &modelEngine{
			sim: &x.simulation, id: serving.EngineID(fmt.Sprintf("engine-%d", i)), region: i % cfg.Regions,
			capacity: cfg.Capacity, incarnation: 1, cache: map[uint64]int{},
			startedAt: -time.Hour, // The engines are warm at the start of the run.
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
	x.scheduleAnnouncements()
	x.scheduleArrivals()
	x.scheduleFaults()
	// Requests that arrived before the end of the run are completed.
	x.runUntil(x.end + 5*time.Minute)
	s := x.recorder.Summary(cfg.Policy.Name, cfg.Duration)
	s.Load, s.Faults = cfg.Load, "no"
	var prompt, cached serving.Tokens
	for _, e := range x.engines {
		prompt += e.promptTokens
		cached += e.cacheHitTokens
	}
	s.CachedShare = float64(cached) / float64(max(1, prompt))

	if len(cfg.Faults) > 0 {
		s.Faults, s.CompletedPerSec = fmt.Sprint(cfg.Faults), x.perSecond
		s.MoveRate = x.moveRate()
	}
	return s
}

func (x *experiment) measuring() bool { return x.now >= x.cfg.WarmUp && x.now < x.end }

// arrivalRate returns the arrival rate, per second, that offers the load cfg.Load.
// At load 1, the generations fill the memory of all engines. A generation holds its
// prompt and its answer so far at each step, and the steps take as long as in an
// engine whose memory is full.
func (x *experiment) arrivalRate() float64 {
	sample := rand.New(rand.NewPCG(99, 99))
	const n = 20000
	var tokenSteps, answers, prompts float64
	for range n {
		a := pickAccount(sample, x.cfg.Accounts)
		prompt := float64(a.Prompt.Draw(sample) + a.SystemPrompt + a.History)
		answer := float64(a.Answer.Draw(sample))
		// The last block of a generation is half empty on average: 8 of 16 tokens.
		tokenSteps += prompt*answer + answer*answer/2 + 8*answer
		answers += answer
		prompts += prompt
	}
	mean := tokenSteps / answers
	memory := float64(serving.Tokens(x.cfg.Capacity.MemoryBlocks) * x.cfg.Capacity.BlockTokens)
	batch := min(memory/mean, float64(x.cfg.Capacity.MaxRunning))
	// Each step completes batch*n/answers generations and prefills as many prompts.
	step := stepBase.Seconds() + batch*stepPerRunning.Seconds() + batch/answers*prompts*stepPerPrefill.Seconds()
	perEngine := batch / (answers / n) / step
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
		PromptTokens: a.Prompt.Draw(x.workload) + a.SystemPrompt, Deadline: x.now + x.cfg.FirstTokenTimeout,
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
	// All requests of a conversation arrive in one region.
	for r.Session != "" && e.region != int(hashOf(r.Session, 0)%uint64(x.cfg.Regions)) {
		e = x.entries[x.workload.IntN(len(x.entries))]
	}

	c := &call{request: r, answerTokens: a.Answer.Draw(x.workload), weight: a.Weight, arrivedAt: x.now, measured: x.measuring()}
	if c.measured {
		x.recorder.Offered()
	}
	e.arrive(c)
}

// hashOf returns the FNV-1a hash of text, with i hashed like one more byte at its end.
func hashOf(text string, i uint64) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(text) {
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

// scheduleAnnouncements makes each engine announce its state every 500 ms.
func (x *experiment) scheduleAnnouncements() {
	for i, e := range x.engines {
		x.after(time.Duration(i)*40*time.Millisecond, func() {
			x.announce(e)
			x.every(500*time.Millisecond, x.end+5*time.Minute, func() { x.announce(e) })
		})
	}
}

// announce sends the state of an engine to all entries, with a lag of up to 200 ms in
// addition to the latency.
func (x *experiment) announce(e *modelEngine) {
	if e.down || x.now < e.stalledUntil {
		return
	}
	a := dispatch.Announcement{
		Engine: e.id, DataCentre: dataCentre(e.region), Region: region(e.region), Incarnation: e.incarnation,
		State: dispatch.EngineReady, Models: []dispatch.ServedModel{{Model: "m"}}, Capacity: e.capacity, Load: e.load(),
		CacheEvents: e.cacheEvents, Uptime: e.sim.now - e.startedAt,
	}
	e.cacheEvents = nil
	for _, n := range x.entries {
		lag := x.delay(e.region, n.region) + time.Duration(x.rng.Int64N(int64(200*time.Millisecond)))
		x.after(lag, func() { n.handleAnnouncement(a) })
	}
}

func dataCentre(i int) serving.DataCentreID { return serving.DataCentreID(fmt.Sprintf("dc-%d", i)) }
func region(i int) serving.RegionID         { return serving.RegionID(fmt.Sprintf("region-%d", i)) }

// scheduleFaults spreads the faults over the measured time.
func (x *experiment) scheduleFaults() {
	at := func(share float64, f func()) {
		x.after(x.cfg.WarmUp+time.Duration(share*float64(x.cfg.Duration)), f)
	}
	n := len(x.engines)
	for _, f := range x.cfg.Faults {
		switch f {
		case EngineKilled:
			at(0.05, x.engines[0].kill)
			at(0.15, x.engines[0].restart)
		case EngineCold:
			at(0.2, func() { x.engines[1%n].warmUpRemaining = warmUpUnits })
		case EngineStalled:
			at(0.3, func() { x.engines[2%n].stalledUntil = x.now + 3*time.Second })
		case DataCentreTakenOut:
			at(0.4, func() { x.outRegion = 0 })
			at(0.7, x.bringBackDataCentre)
		}
	}
}

// moveRate returns the lowest completion rate over 20 s, from the time when the data
// centre is taken out to 20 s after it is brought back. The rate is relative to what
// is possible without the data centre: the offered rate, or the rate at which the
// other engines are full, whichever is lower.
func (x *experiment) moveRate() float64 {
	const window = 20
	from := int((x.cfg.WarmUp + x.cfg.Duration*2/5) / time.Second)
	to := int((x.cfg.WarmUp+x.cfg.Duration*7/10)/time.Second) + window
	full := x.arrivalRate() / x.cfg.Load * float64(x.cfg.Regions-1) / float64(x.cfg.Regions)
	allowed := min(x.arrivalRate(), full)
	lowest := math.Inf(1)
	for start := from; start+window <= min(to, len(x.perSecond)); start++ {
		n := int64(0)
		for _, c := range x.perSecond[start : start+window] {
			n += c
		}
		lowest = min(lowest, float64(n)/window/allowed)
	}
	return lowest
}

// bringBackDataCentre brings the data centre back into service. Its engines have
// turned cold in the meantime.
func (x *experiment) bringBackDataCentre() {
	x.outRegion = -1
	for _, e := range x.engines {
		if e.region == 0 {
			e.warmUpRemaining = warmUpUnits
		}
	}
	for _, n := range x.entries {
		n.handleDataCentreBroughtBack(0)
	}
}
