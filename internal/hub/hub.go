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

	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/journal"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

const (
	// useExpires is three polls of an entry, so that one lost poll changes nothing.
	useExpires = 1500 * time.Millisecond
	// tick is the interval of checks that no event triggers.
	tick = 100 * time.Millisecond
	// confirmAfter is the age up to which a heartbeat of the leader confirms the
	// state: several of its intervals of 100 ms.
	confirmAfter = time.Second
	// completeBeats is the number of heartbeat intervals after which a new process
	// claims to know all engines; one heartbeat of an engine may be lost.
	completeBeats = 2.5
	// headerTimeout bounds the time in which a caller of the hub sends a header.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than the interval of engines' heartbeats.
	idleTimeout = 30 * time.Second
	// shutdownTimeout bounds the wait for calls in progress at the end.
	shutdownTimeout = 500 * time.Millisecond
)

// Hub is the process of a control host.
type Hub struct {
	Host       serving.HostID
	DataCentre serving.DataCentreID
	Region     serving.RegionID
	// Address is the base URL for other processes, Listen the address behind it.
	Address, Listen string
	// ControlAddress is where engines and operators reach this hub.
	ControlAddress string
	// Control serves ControlAddress.
	Control http.Handler
	// Metrics, if set, is served at MetricsListen.
	Metrics       http.Handler
	MetricsListen string
	// First are the base URLs of the hubs known at the start.
	First []string
	// DataFolder holds the replica's state; OpenDisk opens it, by default as a folder
	// of the file system.
	DataFolder string
	OpenDisk   func(folder string) (journal.Disk, error)
	// Bootstrap tells that the whole deployment starts for the first time.
	Bootstrap bool
	// ToleratedDisks is the number of disks that may be lost at the same time.
	ToleratedDisks int
	// RegionOf names the region of each data centre.
	RegionOf map[serving.DataCentreID]serving.RegionID
	// DecodeConfig decodes a routing configuration document.
	DecodeConfig func(document []byte) (*routing.Config, error)
	// HeartbeatInterval is that of the engines.
	HeartbeatInterval time.Duration
	Clock             serving.Clock

	once        sync.Once
	incarnation uint64
	started     time.Duration
	client      *http.Client
	replica     replicaHost

	mu        sync.Mutex
	directory *presence.Directory
	// direct holds when each engine was last heard by this hub itself.
	direct map[serving.EngineID]time.Duration
	local  *usage.Table
	remote *usage.Table
	peers  map[string]*peer
	placer placer
	// state is the newest deployment state that was served.
	state *schema.DeploymentState
	// wake is closed when something changed that entries should hear at once.
	wake chan struct{}
}

// Run serves until ctx ends.
func (h *Hub) Run(ctx context.Context) error {
	h.once.Do(h.setup)
	internal, err := net.Listen("tcp", h.Listen)
	if err != nil {
		return serving.WrapError(err, serving.KindInvalid, "listen on "+h.Listen)
	}
	control, err := net.Listen("tcp", h.ControlAddress)
	if err != nil {
		return serving.WrapError(err, serving.KindInvalid, "listen on "+h.ControlAddress)
	}
	klog.InfoS("Hub started", "host", h.Host, "data_centre", h.DataCentre, "address", h.Address, "control", h.ControlAddress, "bootstrap", h.Bootstrap)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.replica.run(ctx, h) })
	g.Go(func() error { return serve(ctx, internal, h.handler()) })
	g.Go(func() error { return serve(ctx, control, h.Control) })
	g.Go(func() error { h.watchState(ctx); return nil })
	g.Go(func() error { h.expire(ctx); return nil })
	g.Go(func() error { h.join(ctx); return nil })
	g.Go(func() error { h.reportToPeers(ctx); return nil })
	g.Go(func() error { h.manageMembers(ctx); return nil })
	if h.Metrics != nil && h.MetricsListen != "" {
		l, err := net.Listen("tcp", h.MetricsListen)
		if err != nil {
			klog.ErrorS(err, "No metrics are served", "listen", h.MetricsListen)
		} else {
			g.Go(func() error { return serve(ctx, l, h.Metrics) })
		}
	}
	err = g.Wait()
	klog.InfoS("Hub stopped", "host", h.Host, "err", err)
	return err
}

func (h *Hub) setup() {
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
	h.client = &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}
	h.directory = presence.NewDirectory()
	h.directory.SilentAfter = max(h.directory.SilentAfter, 3*h.HeartbeatInterval+h.HeartbeatInterval/3)
	h.direct = map[serving.EngineID]time.Duration{}
	h.local, h.remote = usage.NewTable(useExpires), usage.NewTable(useExpires)
	h.peers = map[string]*peer{}
	h.placer.pool = placement.Pool{Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), DataCentre: h.DataCentre, RegionOf: h.RegionOf}
	h.state = &schema.DeploymentState{}
	h.wake = make(chan struct{})
	for _, address := range h.First {
		h.addPeer(&schema.HubAddress{Address: address})
	}
	h.replica.setup(h)
}

// dialer opens connections that end within about two seconds when the other
// host is silent.
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

// serve serves until ctx ends, then waits shortly for calls in progress.
func serve(ctx context.Context, l net.Listener, handler http.Handler) error {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
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

// notify wakes the entries that wait for a change. The caller holds mu.
func (h *Hub) notify() {
	close(h.wake)
	h.wake = make(chan struct{})
}

// watchState takes over each new deployment state of the replica. A replica that
// was opened again replays its log, so that only higher revisions count.
func (h *Hub) watchState(ctx context.Context) {
	for ctx.Err() == nil {
		changed, replaced := h.replica.changes()
		state := h.replica.state()
		h.mu.Lock()
		if state.GetRevision() > h.state.GetRevision() {
			h.state = state
			h.notify()
			klog.InfoS("Deployment state applied", "revision", state.GetRevision(), "version", state.GetConfig().GetVersion(), "out", state.GetOut())
		}
		h.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-replaced:
		}
	}
}

// expire marks silent engines.
func (h *Hub) expire(ctx context.Context) {
	every(ctx, tick, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		now := h.Clock.Now()
		if h.directory.Expire(now) {
			h.notify()
		}
		for id, at := range h.direct {
			if now-at > h.directory.RemoveAfter {
				delete(h.direct, id)
			}
		}
	})
}

// every calls f at an interval until ctx ends.
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
