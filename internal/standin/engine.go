// Package standin simulates an engine for tests and load runs. The stand-in engine
// implements the engine protocol of section 6.3 of the design page, but computes its
// tokens without a model. It behaves like a model engine (continuous batching,
// finite block memory, prefix cache, cold start, priorities, resume and cancel)
// or like a plain service, whose calls do not generate tokens. Tests of failure
// handling can inject faults (see Fault).
// The engine records the work that it received (see Record).
//
// # Usage
//
//	e := &standin.Engine{Name: "e1", DataCentre: "leon", Entries: []string{"127.0.0.1:8080"}}
//	if err := e.Listen(); err != nil {
//		return err
//	}
//	go e.Run(ctx)
//	fmt.Println(e.Addr())
//
// Zero fields take the defaults stated in their comments. The program
// cmd/standin-engine runs one engine as a process.
package standin

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	httpanswer "turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
	"turmericdrum.org/turmericdrum/pkg/serving/timeline"
)

const (
	// endedRetention is how long ended generations can still be resumed.
	endedRetention = time.Minute
	// idlePollInterval is how often an idle engine checks for expired generations, and
	// how often a stream checks for a change of its faults.
	idlePollInterval = 100 * time.Millisecond
	// leaveAcceptPeriod is how long a leaving engine still accepts new work. Entries must
	// stop sending it work within that time (guarantee P7 of the design page). The record
	// shows the work that arrived until then.
	leaveAcceptPeriod = 3 * time.Second
	// coldOverloadGrace is how long overload does not restart an engine after the fault
	// "cold". The engine does not announce that it is cold, so entries need time to detect it.
	coldOverloadGrace = 2 * time.Second
)

// ErrCrashed is the error that Run returns after the faults "die", "die_before" and
// "die_after" if Exit is nil.
var ErrCrashed = errors.New("engine crashed as requested by a fault")

// errDrained is the cancellation cause of the context of Run when a leaving engine has
// drained or its deadline has passed.
var errDrained = errors.New("engine drained or reached its leave deadline")

// Timing determines the duration of one step of the batch.
type Timing struct {
	// Base is the fixed part of a step. PerSequence is added for each generation in the
	// batch and PerPrefillToken for each prompt token processed in the step.
	Base, PerSequence, PerPrefillToken time.Duration
	// PrefillPerStep limits the prompt tokens processed in one step.
	PrefillPerStep int
}

// DefaultTiming gives about 100 tokens/s to a single sequence.
var DefaultTiming = Timing{
	Base: 10 * time.Millisecond, PerSequence: 100 * time.Microsecond,
	PerPrefillToken: 20 * time.Microsecond, PrefillPerStep: 512,
}

// DefaultCapacity holds 16 generations of 1,000 tokens each.
var DefaultCapacity = serving.Capacity{MaxRunning: 16, ColdRunning: 2, MemoryBlocks: 1000, BlockTokens: 16}

// Engine is one stand-in engine. Set its exported fields before Listen or Run.
// A negative value disables a duration or fraction that has a default.
type Engine struct {
	Name       serving.EngineID
	Host       serving.HostID
	DataCentre serving.DataCentreID
	// Kind is engine.KindModel (default) or engine.KindService.
	Kind engine.Kind
	// Address is the listen address; default 127.0.0.1:0.
	Address string
	// Advertise is the address to announce; default the listen address.
	Advertise string
	// Entries are the addresses to announce to, in order of preference.
	Entries []string
	// ClusterKey authenticates announcements.
	ClusterKey string
	// Incarnation defaults to the start time in milliseconds.
	Incarnation serving.Incarnation
	// Models are the models loaded at the start. Without any, a model engine stays in
	// engine.PhaseStarting until an order has loaded one.
	Models []engine.ModelRef
	// Services are the services that a plain service belongs to.
	Services []serving.ServiceID
	// Role is the announced role; the order set_role changes it.
	Role string
	// ChecksFencing is yes, no or unknown (default). Only with yes does the engine refuse
	// orders with a stale fencing number.
	ChecksFencing string
	// Capacity defaults to DefaultCapacity, Timing to DefaultTiming.
	Capacity serving.Capacity
	Timing   Timing
	// CacheBlocks is the capacity of the prefix cache; default a quarter of MemoryBlocks.
	CacheBlocks int
	// ColdFor is how long an engine is cold after a start; default 10 s. While it is
	// cold, steps take ColdFactor (default 3) times as long.
	ColdFor    time.Duration
	ColdFactor float64
	// AnnounceEvery is the interval of announcements, and the timeout of each; default
	// 500 ms. LoadLag (default 500 ms) delays the load reports in announcements and
	// CacheLag (default 2 s) the cache events. CacheLoss (default 0.02) is the fraction
	// of cache events that are dropped.
	AnnounceEvery, LoadLag, CacheLag time.Duration
	CacheLoss                        float64
	// Grace is how long a generation without a reader keeps running; default 10 s.
	Grace time.Duration
	// LoadTime is how long one load from the weight store takes; default 3 s.
	// WeightStoreLimiter limits the rate of loads and can be shared by the engines of a
	// process; by default it allows one load per LoadTime.
	LoadTime           time.Duration
	WeightStoreLimiter *rate.Limiter
	// Latency is the duration of one call of a plain service; default 20 ms.
	Latency time.Duration
	// Record receives the engine's events; engines can share one. Default: in memory.
	Record *Record
	// Events, if set, adds the recorded events to the timeline. Clock, if set, is exchanged
	// with peers in the headers of requests and responses.
	Events *timeline.Log
	Clock  *timeline.Clock
	// Exit ends the process on the faults "die", "die_before" and "die_after". If it is
	// nil, Run returns ErrCrashed.
	Exit func(code int)

	// mu guards the fields below that change while the engine runs, and Models, Role and
	// Incarnation.
	mu        sync.Mutex
	batch     batch
	random    *rand.Rand
	state     engine.Phase
	startedAt time.Time
	coldUntil time.Time
	// overloadGraceUntil is the time until which overload of the cold engine does not
	// restart it.
	overloadGraceUntil time.Time
	leavingSince       time.Time
	deadline           time.Time
	activeCalls        int
	faults             map[string]activeFault
	orders             OrderState
	announceState      announceState
	listener           net.Listener
	client             *http.Client
	// wake ends the wait of an idle step loop, announceNow that of the announce loop.
	wake        chan struct{}
	announceNow chan struct{}
	cancelRun   context.CancelCauseFunc
}

// Listen opens the listen address. Run calls it if it was not called before.
func (e *Engine) Listen() error {
	e.setDefaults()
	e.batch = batch{
		capacity: e.Capacity, timing: e.Timing, generations: map[serving.GenerationID]*generation{},
		cache: prefixCache{limit: e.CacheBlocks, onChange: e.addCacheEvent}, onEvent: e.recordGeneration,
	}
	e.random = rand.New(rand.NewPCG(xxhash.Sum64String(string(e.Name)), 2))
	e.faults = map[string]activeFault{}
	e.wake, e.announceNow = make(chan struct{}, 1), make(chan struct{}, 1)
	e.cancelRun = func(error) {}
	e.state = engine.PhaseReady
	if e.Kind == engine.KindModel && len(e.Models) == 0 {
		e.state = engine.PhaseStarting
	}
	e.startedAt = time.Now()
	e.coldUntil = e.startedAt.Add(e.ColdFor)
	var err error
	e.listener, err = net.Listen("tcp", cmp.Or(e.Address, "127.0.0.1:0"))
	return eris.Wrap(err, "listen")
}

func (e *Engine) setDefaults() {
	e.Host = cmp.Or(e.Host, serving.HostID(e.Name))
	e.Kind = cmp.Or(e.Kind, engine.KindModel)
	e.Incarnation = cmp.Or(e.Incarnation, serving.Incarnation(time.Now().UnixMilli()))
	e.ChecksFencing = cmp.Or(e.ChecksFencing, "unknown")
	e.Capacity = cmp.Or(e.Capacity, DefaultCapacity)
	e.Timing = cmp.Or(e.Timing, DefaultTiming)
	e.CacheBlocks = cmp.Or(e.CacheBlocks, int(e.Capacity.MemoryBlocks)/4)
	e.ColdFor = cmp.Or(e.ColdFor, 10*time.Second)
	e.ColdFactor = cmp.Or(e.ColdFactor, 3)
	e.AnnounceEvery = cmp.Or(e.AnnounceEvery, 500*time.Millisecond)
	e.LoadLag = cmp.Or(e.LoadLag, 500*time.Millisecond)
	e.CacheLag = cmp.Or(e.CacheLag, 2*time.Second)
	e.CacheLoss = cmp.Or(e.CacheLoss, 0.02)
	e.Grace = cmp.Or(e.Grace, 10*time.Second)
	e.LoadTime = cmp.Or(e.LoadTime, 3*time.Second)
	e.Latency = cmp.Or(e.Latency, 20*time.Millisecond)
	if e.WeightStoreLimiter == nil {
		e.WeightStoreLimiter = rate.NewLimiter(rate.Every(e.LoadTime), 1)
	}
	if e.Record == nil {
		e.Record = &Record{}
	}
}

// Addr returns the address that the engine listens on. It must not be called before Listen.
func (e *Engine) Addr() string { return e.listener.Addr().String() }

// Run serves until a leaving engine has drained (see Leave) or ctx ends. The end of ctx
// closes the connections of running generations and calls.
func (e *Engine) Run(ctx context.Context) error {
	if e.listener == nil {
		if err := e.Listen(); err != nil {
			return err
		}
	}
	ctx, cancelRun := context.WithCancelCause(ctx)
	defer cancelRun(nil)
	e.mu.Lock()
	e.cancelRun = cancelRun
	e.mu.Unlock()
	handler, transport := e.handler(), &httpanswer.Transport{Next: &http.Transport{}}
	defer transport.CloseIdleConnections()
	e.client = &http.Client{Transport: transport}
	if e.Clock != nil {
		handler = timeline.Handler(e.Clock, handler)
		e.client.Transport = timeline.RoundTripper(e.Clock, transport)
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	var g errgroup.Group
	g.Go(func() error {
		err := srv.Serve(e.listener)
		cancelRun(err)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrap(err, "serve")
	})
	g.Go(func() error { e.runBatch(ctx); return nil })
	g.Go(func() error { e.announceLoop(ctx); return nil })
	<-ctx.Done()
	if errors.Is(context.Cause(ctx), errDrained) {
		// The last bytes of delivered answers may not have been sent yet.
		shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = srv.Shutdown(shutdownCtx)
	}
	_ = srv.Close()
	err := g.Wait()
	if errors.Is(context.Cause(ctx), ErrCrashed) {
		return ErrCrashed
	}
	return err
}

// Leave announces that the engine is leaving. The engine refuses new work after 3 s. Run
// returns when the engine has drained, or after the deadline if that is not 0.
func (e *Engine) Leave(deadline time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != engine.PhaseLeaving {
		e.state, e.leavingSince = engine.PhaseLeaving, time.Now()
		e.record(e.event("leaving"))
	}
	if deadline > 0 {
		e.deadline = time.Now().Add(deadline)
	}
	signal(e.announceNow)
	signal(e.wake)
}

// signal sends to ch without blocking. Signals that are not received yet are merged.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// runBatch executes the steps of the batch until ctx ends.
func (e *Engine) runBatch(ctx context.Context) {
	for ctx.Err() == nil {
		d, decode, busy := e.startStep(time.Now())
		wake := e.wake
		if busy {
			wake = nil // new work waits for the end of the step
		}
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-time.After(d):
		}
		e.mu.Lock()
		e.batch.commit(decode, time.Now())
		e.mu.Unlock()
	}
}

// startStep plans the next step. If the batch is empty, busy is false and d is the time
// until the next check.
func (e *Engine) startStep(now time.Time) (d time.Duration, decode []*generation, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.expire(now, e.Grace, endedRetention)
	if e.state == engine.PhaseLeaving && e.drained(now) {
		e.cancelRun(errDrained)
	}
	d, decode = e.batch.plan()
	if len(e.batch.running) == 0 {
		return idlePollInterval, nil, false
	}
	if e.cold(now) {
		d = time.Duration(float64(d) * e.ColdFactor)
	}
	if f, ok := e.fault("slow"); ok {
		d = time.Duration(float64(d) * f.Factor)
	}
	e.batch.stepTime = d
	return d, decode, true
}

func (e *Engine) cold(now time.Time) bool { return now.Before(e.coldUntil) }

// drained reports whether a leaving engine can exit. It can if its deadline has passed, or if
// it had two announcement intervals to announce that it is leaving, nothing runs, and each
// answer was delivered or was not resumed within the grace period.
func (e *Engine) drained(now time.Time) bool {
	if !e.deadline.IsZero() && now.After(e.deadline) {
		return true
	}
	if now.Sub(e.leavingSince) < 2*e.AnnounceEvery || e.activeCalls > 0 {
		return false
	}
	for _, g := range e.batch.generations {
		undelivered := g.state == finished && !g.delivered && now.Sub(g.idleSince) < e.Grace
		if g.active() || g.readers > 0 || undelivered {
			return false
		}
	}
	return true
}

// simulateRestart fails and deletes all generations, clears the cache and starts a new, cold
// incarnation, like a crash and restart of the process.
func (e *Engine) simulateRestart(now time.Time) {
	e.record(e.event("fell_over"))
	for _, g := range e.batch.generations {
		e.batch.end(g, failed, now)
	}
	clear(e.batch.generations)
	e.batch.cache.blocks = nil
	e.batch.preemptions, e.batch.tokensOut = 0, 0
	e.Incarnation++
	e.startedAt = now
	e.coldUntil = now.Add(e.ColdFor)
}

// crash ends the process, or Run if Exit is nil.
func (e *Engine) crash() {
	if e.Exit != nil {
		e.Exit(3)
	}
	e.cancelRun(ErrCrashed)
}
