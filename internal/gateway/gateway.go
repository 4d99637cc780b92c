package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/ingress"
	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
	"turmericdrum.org/turmericdrum/pkg/serving/relocation"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/saturation"
)

const (
	// defaultBodyTimeout is enough for the largest body at a megabit per second.
	defaultBodyTimeout = 70 * time.Second
	// writeGrace is how long after the deadline of a call its caller may take to read the
	// rest of the answer. A caller that reads nothing any more would otherwise keep its
	// connection and the memory of the call for good.
	writeGrace = 2 * time.Second
	// drainNotice is how long an entry still accepts requests after it has started to
	// shut down. In this time the load balancer gets two failed readiness checks.
	drainNotice = 2500 * time.Millisecond
	// graceReserve is the part of the grace period that is reserved for closing
	// connections and exiting.
	graceReserve = 300 * time.Millisecond
	// abortReserve is the time before that in which calls that are not answered get an error.
	abortReserve = 100 * time.Millisecond
)

// Gateway is the entry process.
type Gateway struct {
	Host       serving.HostID
	DataCentre serving.DataCentreID
	Region     serving.RegionID
	RegionOf   map[serving.DataCentreID]serving.RegionID
	// Frontend and Readiness are the listen addresses for callers and for the
	// readiness checks of the load balancer.
	Frontend, Readiness string
	// Metrics, if set, is served at MetricsListen.
	Metrics       http.Handler
	MetricsListen string
	// Hubs are the base URLs of the initially known hubs.
	Hubs    []string
	Dialect serving.Dialect
	// DecodeConfig decodes a routing configuration document.
	DecodeConfig func(document []byte) (*routing.Config, error)
	// BodyTimeout bounds the time that a caller takes to send a body; 0 means
	// defaultBodyTimeout.
	BodyTimeout time.Duration
	// Budget bounds the memory that callers use; nil means no bound. CallerLimits and
	// ReadinessLimits are the limits of the two addresses.
	Budget                        *ingress.Budget
	CallerLimits, ReadinessLimits ingress.Limits
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// Retries limits the retries of calls; Window, Ratio and Allowance must be set.
	Retries placement.RetryBudget
	// ScarceMemory means that the settings state that the memory of engines is scarce.
	ScarceMemory bool
	// Exposure enables rollouts.
	Exposure Exposure
	// Capacity holds the limits of the host. Unless all of them are known, the readiness of
	// this entry does not depend on its load.
	Capacity saturation.Capacity
	Clock    serving.Clock

	board    blackboard
	upstream *upstream.Pool
	// fairQueue holds the generations that wait because the hub found no engine with
	// room. Calls for which this entry chooses the engine wait in board.waitQueue.
	fairQueue placement.FairQueue
	watcher   watcher
	callers   connTracker
	hostLoad  hostLoad
	// heldAnswers and heldBodies bound the memory for the answers and bodies of all calls.
	heldAnswers, heldBodies *heldBytes
	draining                atomic.Bool
	// noticed is set once the load balancer has noticed that this entry shuts down.
	noticed atomic.Bool
	// endsAt is the time in nanoseconds by which calls must be answered; it is set before
	// draining.
	endsAt atomic.Int64
	// ending is canceled at endsAt.
	ending context.Context
	// baseCtx is the parent context of requests to engines that may outlive the call
	// they belong to.
	baseCtx context.Context
}

// Run serves until ctx is canceled and the requests in progress are answered or the
// grace period is over.
func (g *Gateway) Run(ctx context.Context) error {
	g.setup()
	front := &ingress.Listener{Name: "callers", Budget: g.Budget, Limits: g.CallerLimits}
	if err := front.Listen(g.Frontend); err != nil {
		return err
	}
	ready := &ingress.Listener{Name: "readiness", Budget: g.Budget, Limits: g.ReadinessLimits}
	if err := ready.Listen(g.Readiness); err != nil {
		return err
	}
	klog.InfoS("Entry started", "host", g.Host, "data_centre", g.DataCentre, "frontend", g.Frontend, "readiness", g.Readiness, "hubs", g.Hubs)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	g.baseCtx = background
	ending, end := context.WithCancel(background)
	defer end()
	g.ending = ending
	servers := []*http.Server{
		front.Server(http.HandlerFunc(g.serve), g.callers.observe),
		ready.Server(ready.Guard(http.HandlerFunc(g.ready)), nil),
	}
	var group errgroup.Group
	group.Go(func() error { return serveOn(servers[0], g.hostLoad.count(front)) })
	group.Go(func() error { return serveOn(servers[1], ready) })
	g.serveMetrics()
	go g.watcher.run(background)
	go g.upstream.Run(background)
	go g.hostLoad.run(background)
	ended := make(chan error, 1)
	go func() { ended <- group.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	g.shutDown(front, servers, end)
	klog.InfoS("Entry stopped", "host", g.Host, "in_progress", inProgress.Value())
	return nil
}

func (g *Gateway) setup() {
	if g.BodyTimeout <= 0 {
		g.BodyTimeout = defaultBodyTimeout
	}
	if g.Budget == nil {
		g.Budget = &ingress.Budget{}
	}
	g.CallerLimits.BodyTime = g.BodyTimeout
	if g.Clock == nil {
		g.Clock = serving.NewMonotonicClock()
	}
	g.board.pool = placement.Pool{ScarceMemory: g.ScarceMemory, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), DataCentre: g.DataCentre, RegionOf: g.RegionOf}
	g.heldAnswers, g.heldBodies = newHeldAnswers(g.Budget.Bytes), newHeldBodies(g.Budget.Bytes)
	g.board.rollouts.exposure, g.board.rollouts.started = g.Exposure, g.Clock.Now()
	g.board.streams = map[serving.EngineID]map[*relay]bool{}
	g.upstream = &upstream.Pool{Dialect: g.Dialect, Clock: g.Clock}
	g.hostLoad.setup(g)
	g.watcher.setup(g)
}

func serveOn(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return serving.WrapError(err, serving.KindInternal, "serve "+l.Addr().String())
	}
	return nil
}

func (g *Gateway) serveMetrics() {
	if g.Metrics == nil || g.MetricsListen == "" {
		return
	}
	l, err := net.Listen("tcp", g.MetricsListen)
	if err != nil {
		klog.ErrorS(err, "Failed to listen for metrics requests", "listen", g.MetricsListen)
		return
	}
	// The address is an operator's, and takes no more connections than readiness checks.
	limited := &ingress.Listener{Listener: l, Name: "metrics", Budget: g.Budget, Limits: g.ReadinessLimits}
	go func() { _ = limited.Server(limited.Guard(g.Metrics), nil).Serve(limited) }()
}

// ready answers readiness checks: whether this entry accepts new connections.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.draining.Load() || g.board.view.Load() == nil || g.hostLoad.away(g.Clock.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// shutDown fails the readiness checks, keeps serving until the load balancer has
// noticed, and then waits for the requests in progress. A request that comes in meanwhile on
// an open connection is still answered, if only by a refusal. Requests that are still in
// progress at the end of the grace period are aborted.
func (g *Gateway) shutDown(front net.Listener, servers []*http.Server, end context.CancelFunc) {
	start := g.Clock.Now()
	untilEnd, untilClose := shutdownTimes(g.Grace)
	g.endsAt.Store(int64(start + untilEnd))
	t := time.AfterFunc(untilEnd, end)
	defer t.Stop()
	g.draining.Store(true)
	g.hostLoad.setLeaving()
	klog.InfoS("Entry shutting down", "host", g.Host, "in_progress", inProgress.Value(), "grace", g.Grace)
	time.Sleep(min(drainNotice, g.Grace/2))
	g.noticed.Store(true)
	_ = front.Close()
	for g.callers.inUse() && g.Clock.Now()-start < untilClose {
		time.Sleep(shutdownPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(0, untilClose-(g.Clock.Now()-start)))
	defer cancel()
	if err := servers[0].Shutdown(ctx); err != nil {
		klog.ErrorS(err, "Requests aborted at the end of the grace period", "in_progress", inProgress.Value())
		_ = servers[0].Close()
	}
	_ = servers[1].Close()
}

// shutdownTimes returns the times from the signal to stop to the end of all calls, and to the
// closing of their connections. Short grace periods have shorter reserves, so that calls are not
// ended before the last sixth of the grace period.
func shutdownTimes(grace time.Duration) (untilEnd, untilClose time.Duration) {
	untilClose = grace - min(graceReserve, grace/10)
	return untilClose - min(abortReserve, grace/20), untilClose
}

// view is the deployment state that this entry currently applies. It is immutable.
type view struct {
	revision uint64
	table    *routing.Table
	blocks   *quarantine.Blocklist
}

// blackboard is the state that the parts of an entry share. mu guards all fields but
// view.
type blackboard struct {
	view atomic.Pointer[view]

	mu      sync.Mutex
	pool    placement.Pool
	lengths placement.Lengths
	recent  recentCalls
	// outcomes records with which calls and prompt parts answers began or engines were lost,
	// and suspects are those of which the hub wants to know.
	outcomes quarantine.Observer
	// limitLogged is when a change of an engine's limit was last logged.
	limitLogged time.Duration
	suspects    []quarantine.Part
	waitQueue   waitQueue
	rollouts    rollouts
	// streams holds the streams in progress by engine.
	streams map[serving.EngineID]map[*relay]bool
	// movePlans holds the plans for engines that are leaving.
	movePlans map[serving.EngineID]*relocation.Plan
}

// recovered calls f and returns a panic as an error. Goroutines that process messages of
// other processes use it, so that one unexpected message doesn't end the entry with all its
// calls.
func recovered(what string, f func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			panics.Add(1)
			err = serving.NewError(serving.KindInternal, fmt.Sprintf("%s: panic: %v", what, r))
			klog.ErrorS(err, "Recovered from a panic", "stack", string(debug.Stack()))
		}
	}()
	return f()
}
