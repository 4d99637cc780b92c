// Package standin is a stand-in engine: it speaks the engine protocol of section
// 6.3 of the design page and behaves like a model engine (continuous batching,
// finite block memory, prefix cache, cold start, priorities, resume and cancel)
// or like a plain service. It misbehaves on request (see Fault), for tests of the
// failure behavior of the system, and records what it was given (see Record).
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
// Fields left at zero take the defaults that their comments give. The program
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

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
	"turmericdrum.org/turmericdrum/pkg/serving/timeline"
)

const (
	// keepEnded is how long ended generations can still be resumed.
	keepEnded = time.Minute
	// idleTick is how often an idle engine looks for generations without a reader.
	idleTick = 100 * time.Millisecond
	// leaveAccept is how long a leaving engine still takes new work; it is the bound
	// of guarantee P7, and the record shows what came in that time.
	leaveAccept = 3 * time.Second
	// silentTolerance is how long an engine that turned cold without saying so
	// survives overload, so that a detector has a chance to act.
	silentTolerance = 2 * time.Second
)

// ErrDied is what Run returns after the fault "die" if Exit is not set.
var ErrDied = errors.New("engine died as requested")

var errLeft = errors.New("engine left")

// Timing describes the duration of one step of the batch.
type Timing struct {
	Base, PerSequence, PerPrefillToken time.Duration
	// PrefillPerStep bounds the prompt tokens processed in one step.
	PrefillPerStep int
}

// DefaultTiming gives about 100 tokens/s to a single sequence.
var DefaultTiming = Timing{
	Base: 10 * time.Millisecond, PerSequence: 100 * time.Microsecond,
	PerPrefillToken: 20 * time.Microsecond, PrefillPerStep: 512,
}

// DefaultCapacity holds 16 generations of 1,000 tokens each.
var DefaultCapacity = serving.Capacity{MaxRunning: 16, ColdRunning: 2, MemoryBlocks: 1000, BlockTokens: 16}

// Engine is one stand-in engine. Its exported fields are set before Listen or Run.
// A negative value turns off a duration or fraction that has a default.
type Engine struct {
	Name       serving.EngineID
	Host       serving.HostID
	DataCentre serving.DataCentreID
	// Kind is that of a model engine (default) or of a plain service.
	Kind engine.Kind
	// Address is the listen address; default 127.0.0.1:0.
	Address string
	// Advertise is the address to announce; default the listen address.
	Advertise string
	// Entries are the addresses to announce to, in order of preference.
	Entries    []string
	ClusterKey string
	// Incarnation defaults to the start time in milliseconds.
	Incarnation serving.Incarnation
	// Models are those carried from the start; without any, the engine is starting
	// until an order loads one.
	Models []engine.ModelRef
	// Services are those that a plain service is part of.
	Services []serving.ServiceID
	Role     string
	// ChecksFencing is yes, no or unknown (default); only yes checks.
	ChecksFencing string
	// Capacity defaults to DefaultCapacity, Timing to DefaultTiming.
	Capacity serving.Capacity
	Timing   Timing
	// CacheBlocks limits the prefix cache; default a quarter of MemoryBlocks.
	CacheBlocks int
	// ColdFor is how long an engine is cold after a start; default 10 s. While it is
	// cold, steps take ColdFactor times as long; default 3.
	ColdFor    time.Duration
	ColdFactor float64
	// AnnounceEvery defaults to 500 ms. LoadLag (default 500 ms) and CacheLag
	// (default 2 s) delay what announcements report; CacheLoss (default 0.02) is
	// the fraction of lost cache events.
	AnnounceEvery, LoadLag, CacheLag time.Duration
	CacheLoss                        float64
	// Grace is how long a generation without a reader goes on; default 10 s.
	Grace time.Duration
	// LoadTime is how long the weight store needs for one model; default 3 s.
	// Weights is its rate limit, which engines of one process can share; by default
	// it allows one load in LoadTime.
	LoadTime time.Duration
	Weights  *rate.Limiter
	// Latency is the duration of one call of a plain service; default 20 ms.
	Latency time.Duration
	// Record gets what the engine did; engines can share one. Default: in memory.
	Record *Record
	// Events and Clock, if set, put the record into the timeline and carry the clock.
	Events *timeline.Log
	Clock  *timeline.Clock
	// Exit ends the process on the fault "die"; without it Run returns ErrDied.
	Exit func(code int)

	mu        sync.Mutex
	batch     batch
	random    *rand.Rand
	state     engine.Phase
	coldUntil time.Time
	// tolerant is the time until which overload in the cold does not fail the engine.
	tolerant time.Time
	leftAt   time.Time
	deadline time.Time
	calls    int
	faults   map[string]activeFault
	orders   OrdersInForce
	reports  reports
	listener net.Listener
	client   *http.Client
	wake     chan struct{}
	kick     chan struct{}
	kill     context.CancelCauseFunc
}

// Listen opens the listen address; Run does so itself if it was not called before.
func (e *Engine) Listen() error {
	e.setDefaults()
	e.batch = batch{
		capacity: e.Capacity, timing: e.Timing, all: map[serving.GenerationID]*generation{},
		cache: prefixCache{limit: e.CacheBlocks, event: e.cacheEvent}, ended: e.recordGeneration,
	}
	e.random = rand.New(rand.NewPCG(xxhash.Sum64String(string(e.Name)), 2))
	e.faults = map[string]activeFault{}
	e.wake, e.kick = make(chan struct{}, 1), make(chan struct{}, 1)
	e.kill = func(error) {}
	e.state = engine.PhaseReady
	if e.Kind == engine.KindModel && len(e.Models) == 0 {
		e.state = engine.PhaseStarting
	}
	e.coldUntil = time.Now().Add(e.ColdFor)
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
	if e.Weights == nil {
		e.Weights = rate.NewLimiter(rate.Every(e.LoadTime), 1)
	}
	if e.Record == nil {
		e.Record = &Record{}
	}
}

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() string { return e.listener.Addr().String() }

// Run serves until the engine has left (see Leave) or ctx ends, which cuts off
// whatever runs.
func (e *Engine) Run(ctx context.Context) error {
	if e.listener == nil {
		if err := e.Listen(); err != nil {
			return err
		}
	}
	ctx, kill := context.WithCancelCause(ctx)
	defer kill(nil)
	e.mu.Lock()
	e.kill = kill
	e.mu.Unlock()
	handler, transport := e.handler(), &http.Transport{}
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
		kill(err)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrap(err, "serve")
	})
	g.Go(func() error { e.runBatch(ctx); return nil })
	g.Go(func() error { e.announceLoop(ctx); return nil })
	<-ctx.Done()
	if errors.Is(context.Cause(ctx), errLeft) {
		// The last bytes of delivered answers may still be on their way.
		last, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = srv.Shutdown(last)
	}
	_ = srv.Close()
	err := g.Wait()
	if errors.Is(context.Cause(ctx), ErrDied) {
		return ErrDied
	}
	return err
}

// Leave announces that the engine leaves; it refuses new work after 3 s and Run
// returns when nothing runs any more, or at the deadline unless that is 0.
func (e *Engine) Leave(deadline time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != engine.PhaseLeaving {
		e.state, e.leftAt = engine.PhaseLeaving, time.Now()
		e.record(e.event("leaving"))
	}
	if deadline > 0 {
		e.deadline = time.Now().Add(deadline)
	}
	signal(e.kick)
	signal(e.wake)
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// runBatch runs the step loop.
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

func (e *Engine) startStep(now time.Time) (d time.Duration, decode []*generation, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.expire(now, e.Grace, keepEnded)
	if e.state == engine.PhaseLeaving && e.drained(now) {
		e.kill(errLeft)
	}
	d, decode = e.batch.plan()
	if len(e.batch.running) == 0 {
		return idleTick, nil, false
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

// drained tells whether a leaving engine can exit: it was announced as leaving and
// every answer was delivered, or nobody came back for it within the grace time.
func (e *Engine) drained(now time.Time) bool {
	if !e.deadline.IsZero() && now.After(e.deadline) {
		return true
	}
	if now.Sub(e.leftAt) < 2*e.AnnounceEvery || e.calls > 0 {
		return false
	}
	for _, g := range e.batch.all {
		waits := g.state == finished && !g.delivered && now.Sub(g.since) < e.Grace
		if g.active() || g.readers > 0 || waits {
			return false
		}
	}
	return true
}

// fallOver fails all generations and forgets them, as a crash and restart does.
func (e *Engine) fallOver(now time.Time) {
	e.record(e.event("fell_over"))
	for _, g := range e.batch.all {
		e.batch.end(g, failed, now)
	}
	clear(e.batch.all)
	e.batch.cache.blocks = nil
	e.batch.preemptions, e.batch.tokensOut = 0, 0
	e.Incarnation++
	e.coldUntil = now.Add(e.ColdFor)
}

func (e *Engine) die() {
	if e.Exit != nil {
		e.Exit(3)
	}
	e.kill(ErrDied)
}
