package hub

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/internal/ingress"
	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/journal"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/saturation"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

const (
	// useTTL is how long a load report is valid. It is longer than a poll that times out
	// and the poll after it, so one lost poll has no effect.
	useTTL = 1500 * time.Millisecond
	// checkInterval is the interval of checks that are not triggered by an event.
	checkInterval = 100 * time.Millisecond
	// confirmPeriod is how long a heartbeat of the leader confirms the state. It is
	// several heartbeat intervals of 100 ms.
	confirmPeriod = time.Second
	// completeIntervals is the number of heartbeat intervals after which a new process
	// reports that its list of engines is complete. One heartbeat per engine may be lost.
	completeIntervals = 2.5
	// metricsConnections bounds the connections to the metrics.
	metricsConnections = 16
	// shutdownTimeout bounds the wait for requests in progress at shutdown.
	shutdownTimeout = 500 * time.Millisecond
)

// Hub is the process on a host of the control plane.
type Hub struct {
	Host       serving.HostID
	DataCentre serving.DataCentreID
	Region     serving.RegionID
	// Address is the base URL at which other processes reach this hub, Listen the
	// address on which it listens for them.
	Address, Listen string
	// ControlAddress is where engines and operators reach this hub.
	ControlAddress string
	// Control handles the requests to ControlAddress.
	Control http.Handler
	// Metrics, if set, is served at MetricsListen.
	Metrics       http.Handler
	MetricsListen string
	// InitialHubs are the base URLs of the hubs named at the first start.
	InitialHubs []string
	// DataFolder holds the replica's state. OpenDisk opens it; nil means a folder of the
	// file system.
	DataFolder string
	OpenDisk   func(folder string) (journal.Disk, error)
	// Bootstrap is set if the whole deployment starts for the first time.
	Bootstrap bool
	// ToleratedDisks is the number of disks that may be lost at the same time.
	ToleratedDisks int
	// Grace is the time from the end of the context of Run to the forced end of the process.
	Grace time.Duration
	// RegionOf maps each data centre to its region.
	RegionOf map[serving.DataCentreID]serving.RegionID
	// DecodeConfig decodes a routing configuration document.
	DecodeConfig func(document []byte) (*routing.Config, error)
	// Dialect decodes the answers of engines to load checks; nil means that there are none.
	Dialect serving.Dialect
	// HeartbeatInterval is the heartbeat interval of engines; 0 means a third of
	// presence.DefaultSilentAfter.
	HeartbeatInterval time.Duration
	// ScarceMemory means that the settings state that the memory of engines is scarce.
	ScarceMemory bool
	// ServesRollouts enables rollouts. ContactTime is how long an entry that has gone silent
	// delays the end of a rollout; 0 means defaultContactTime.
	ServesRollouts bool
	ContactTime    time.Duration
	// Budget bounds the memory that clients use; nil means no bound. ControlLimits and
	// InternalLimits are the limits of the two addresses.
	Budget                        *ingress.Budget
	ControlLimits, InternalLimits ingress.Limits
	Clock                         serving.Clock

	once sync.Once
	// incarnation is a random number, never 0, that identifies this run of the hub.
	incarnation uint64
	started     time.Duration
	client      *http.Client
	replica     replicaRunner

	mu        sync.Mutex
	directory *presence.Directory
	// lastDirect is when this hub last received a message from each engine directly.
	lastDirect map[serving.EngineID]time.Duration
	// local is the load from entries that poll this hub, remote from all others.
	local  *usage.Table
	remote *usage.Table
	// saturation decides which of the entries that poll this hub may report that they aren't
	// ready because of their load.
	saturation saturation.Table
	peers      map[string]*peer
	placer     placer
	// evidence holds the calls that were lost with their engines.
	evidence quarantine.Evidence
	// blocks are the blocked prompts of state.
	blocks   *quarantine.Blocklist
	rollouts rolloutTracker
	// state is the latest deployment state that was published. It is never modified.
	state *schema.DeploymentState
	// confirmedAt is when a leader last confirmed the state, also before the start of this
	// process; it is valid if everConfirmed is set.
	confirmedAt   time.Duration
	everConfirmed bool
	// changed is closed, and replaced by a new channel, on a change that is sent to
	// entries and other hubs without delay.
	changed chan struct{}
	// leaving is set once this hub has begun to shut down, and leavingUntil holds the voters
	// that have asked this hub, as the leader, to give their votes to learners.
	leaving      bool
	leavingUntil map[serving.ReplicaID]time.Duration
}

// Run serves until ctx ends and this hub has handed over its vote, if there is a successor.
func (h *Hub) Run(ctx context.Context) error {
	h.once.Do(h.setup)
	internal := &ingress.Listener{Name: "internal", Budget: h.Budget, Limits: h.InternalLimits}
	if err := internal.Listen(h.Listen); err != nil {
		return err
	}
	control := &ingress.Listener{Name: "control", Budget: h.Budget, Limits: h.ControlLimits}
	if err := control.Listen(h.ControlAddress); err != nil {
		return err
	}
	klog.InfoS("Hub started", "host", h.Host, "data_centre", h.DataCentre, "address", h.Address, "control", h.ControlAddress, "bootstrap", h.Bootstrap)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer context.AfterFunc(ctx, func() {
		h.leave(running)
		stop()
	})()
	g, ctx := errgroup.WithContext(running)
	g.Go(func() error { return h.replica.run(ctx, h) })
	g.Go(func() error { return serve(ctx, internal, h.handler()) })
	g.Go(func() error { return serve(ctx, control, h.Control) })
	g.Go(func() error { h.watchState(ctx); return nil })
	g.Go(func() error { h.expire(ctx); return nil })
	g.Go(func() error { h.join(ctx); return nil })
	g.Go(func() error { h.managePeers(ctx); return nil })
	g.Go(func() error { h.manageMembers(ctx); return nil })
	g.Go(func() error { h.manageBlocks(ctx); return nil })
	g.Go(func() error { h.checkMachines(ctx); return nil })
	g.Go(func() error { h.manageRollouts(ctx); return nil })
	g.Go(func() error { h.keepCheckpoints(ctx); return nil })
	if h.Metrics != nil && h.MetricsListen != "" {
		l, err := net.Listen("tcp", h.MetricsListen)
		if err != nil {
			klog.ErrorS(err, "Failed to listen for metrics requests", "listen", h.MetricsListen)
		} else {
			limited := &ingress.Listener{Listener: l, Name: "metrics", Budget: h.Budget, Limits: ingress.Limits{Connections: metricsConnections, BodyBytes: -1}}
			g.Go(func() error { return serve(ctx, limited, h.Metrics) })
		}
	}
	err := g.Wait()
	klog.InfoS("Hub stopped", "host", h.Host, "err", err)
	return err
}

func (h *Hub) setup() {
	if h.Budget == nil {
		h.Budget = &ingress.Budget{}
	}
	if h.Clock == nil {
		h.Clock = serving.NewMonotonicClock()
	}
	if h.OpenDisk == nil {
		h.OpenDisk = func(folder string) (journal.Disk, error) { return journal.OpenFolder(folder) }
	}
	if h.HeartbeatInterval <= 0 {
		h.HeartbeatInterval = presence.DefaultSilentAfter / 3
	}
	h.incarnation = rand.Uint64()>>1 | 1
	h.started = h.Clock.Now()
	h.client = &http.Client{Transport: &answer.Transport{Next: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}}
	h.directory = presence.NewDirectory()
	// As for presence.DefaultSilentAfter, a little over three heartbeat intervals.
	h.directory.SilentAfter = max(h.directory.SilentAfter, 3*h.HeartbeatInterval+h.HeartbeatInterval/3)
	h.lastDirect = map[serving.EngineID]time.Duration{}
	h.leavingUntil = map[serving.ReplicaID]time.Duration{}
	h.local, h.remote = usage.NewTable(useTTL), usage.NewTable(useTTL)
	h.peers = map[string]*peer{}
	h.placer.pool = placement.Pool{ScarceMemory: h.ScarceMemory, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), DataCentre: h.DataCentre, RegionOf: h.RegionOf}
	h.state = &schema.DeploymentState{}
	h.changed = make(chan struct{})
	for _, address := range h.InitialHubs {
		h.addPeer(&schema.HubAddress{Address: address})
	}
	h.replica.setup(h)
}

// dialer opens connections that fail within about two seconds after the other host
// stops responding.
var dialer = &net.Dialer{
	Timeout:         500 * time.Millisecond,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2},
}

func (h *Hub) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(schema.LogPathPrefix, schema.NewLogServer(&h.replica))
	mux.Handle(schema.HubPathPrefix, schema.NewHubServer(h, twirp.WithServerInterceptors(rpc.MapErrors)))
	return mux
}

// serve serves until ctx is canceled, and then waits up to shutdownTimeout for the
// requests in progress.
func serve(ctx context.Context, l *ingress.Listener, handler http.Handler) error {
	s := l.Server(l.Guard(handler), nil)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	select {
	case err := <-done:
		return serving.WrapError(err, serving.KindInternal, "serve "+l.Addr().String())
	case <-ctx.Done():
	}
	end, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.Shutdown(end) != nil {
		_ = s.Close()
	}
	return nil
}

// notify wakes the polls and report loops that wait for a change. The caller holds mu.
func (h *Hub) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// watchState publishes each new deployment state of the replica. It ignores revisions
// that are not higher, because a replica that was reopened replays its log.
func (h *Hub) watchState(ctx context.Context) {
	for ctx.Err() == nil {
		changed, replaced := h.replica.changes()
		state := h.replica.state()
		h.mu.Lock()
		h.publish(state)
		h.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-replaced:
		}
	}
}

// publish makes a state the one that entries get if it is newer. The caller holds mu.
func (h *Hub) publish(state *schema.DeploymentState) {
	if !newerState(state, h.state) {
		return
	}
	last := h.state
	h.state = state
	h.blocks = quarantine.BlocksFromWire(state.GetBlocks())
	h.rollouts.observe(h.Clock.Now(), state)
	h.notify()
	if state.GetRevision() > last.GetRevision() {
		klog.InfoS("Deployment state applied", "revision", state.GetRevision(), "version", state.GetConfig().GetVersion(), "out", state.GetOut(), "blocks", len(state.GetBlocks()))
	}
}

// expire marks engines as silent and removes old times from lastDirect.
func (h *Hub) expire(ctx context.Context) {
	every(ctx, checkInterval, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		now := h.Clock.Now()
		if h.directory.Expire(now) {
			h.notify()
		}
		for id, at := range h.lastDirect {
			if now-at > h.directory.RemoveAfter {
				delete(h.lastDirect, id)
			}
		}
	})
}

// every calls f at an interval until ctx is canceled.
func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}
