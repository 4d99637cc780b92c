package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/deployment"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

const (
	// watchWait is the longest wait of one poll, and so the age of what the entry
	// knows of the work of others.
	watchWait = 100 * time.Millisecond
	// watchTimeout bounds one poll; a hub that does not answer in it is left.
	watchTimeout = watchWait + 600*time.Millisecond
	// avoidFor is how long a hub that failed is not asked while others answer.
	avoidFor = 2 * time.Second
	// retryPause is the pause after a failed poll.
	retryPause = 50 * time.Millisecond
	// unconfirmedAfter is how long an entry without a view waits for a confirmed
	// one before it takes what a hub without a leader has.
	unconfirmedAfter = 3 * time.Second
)

// watcher polls a hub and writes what it hears to the blackboard.
type watcher struct {
	g           *Gateway
	client      *http.Client
	incarnation uint64
	started     time.Duration
	hubs        []*hubState
	directory   *presence.Directory

	// current is the hub of the last successful poll.
	current *hubState

	mu sync.Mutex
	// added are hubs that other goroutines made known.
	added []string
	// placing is the hub that is asked for engines, from placingAgain on.
	placing      schema.Hub
	placingAgain time.Duration
}

// hubState is what the watcher knows of one hub.
type hubState struct {
	address     string
	dataCentre  serving.DataCentreID
	region      serving.RegionID
	failedAt    time.Duration
	failed      bool
	incarnation uint64
	cursor      uint64
	client      schema.Hub
}

func (w *watcher) setup(g *Gateway) {
	w.g, w.incarnation, w.started = g, rand.Uint64()>>1|1, g.Clock.Now()
	dialer := &net.Dialer{Timeout: 400 * time.Millisecond,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}}
	w.client = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	w.directory = presence.NewDirectory()
	for _, address := range g.Hubs {
		w.addHub(&schema.HubAddress{Address: address})
	}
}

func (w *watcher) addHub(a *schema.HubAddress) {
	for _, h := range w.hubs {
		if h.address == a.GetAddress() {
			h.dataCentre, h.region = serving.DataCentreID(a.GetDataCentre()), serving.RegionID(a.GetRegion())
			return
		}
	}
	w.hubs = append(w.hubs, &hubState{address: a.GetAddress(), dataCentre: serving.DataCentreID(a.GetDataCentre()),
		region: serving.RegionID(a.GetRegion()), client: schema.NewHubProtobufClient(a.GetAddress(), w.client)})
}

// run polls until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.takeAdded()
		h := w.choose()
		if h == nil {
			return
		}
		if err := w.poll(ctx, h); err != nil {
			if ctx.Err() != nil {
				return
			}
			if !h.failed || w.current == h {
				klog.InfoS("Hub lost", "hub", h.address, "err", err)
			}
			h.failed, h.failedAt = true, w.g.Clock.Now()
			w.setPlacing(nil)
			select {
			case <-ctx.Done():
			case <-time.After(retryPause):
			}
			continue
		}
		if w.current != h || h.failed {
			klog.InfoS("Hub in use", "hub", h.address, "data_centre", h.dataCentre)
		}
		w.current, h.failed = h, false
		w.setPlacing(h)
	}
}

// AddHubs makes further hubs known, as when the settings name others.
func (g *Gateway) AddHubs(addresses []string) {
	g.watcher.mu.Lock()
	defer g.watcher.mu.Unlock()
	g.watcher.added = addresses
}

func (w *watcher) takeAdded() {
	w.mu.Lock()
	added := w.added
	w.added = nil
	w.mu.Unlock()
	for _, address := range added {
		if !w.knows(address) {
			w.addHub(&schema.HubAddress{Address: address})
		}
	}
}

func (w *watcher) knows(address string) bool {
	for _, h := range w.hubs {
		if h.address == address {
			return true
		}
	}
	return false
}

// choose returns the nearest hub that has not failed lately, else the one that
// failed first.
func (w *watcher) choose() *hubState {
	var best *hubState
	now := w.g.Clock.Now()
	rank := func(h *hubState) int {
		switch {
		case h.failed && now-h.failedAt < avoidFor:
			return 10
		case h.dataCentre == w.g.DataCentre:
			return 0
		case h.region == w.g.Region:
			return 1
		default:
			return 2
		}
	}
	for _, h := range w.hubs {
		if best == nil {
			best = h
			continue
		}
		a, b := rank(h), rank(best)
		if a < b || a == b && (h == w.current && best != w.current || a == 10 && h.failedAt < best.failedAt) {
			best = h
		}
	}
	return best
}

// poll asks one hub and takes in its answer.
func (w *watcher) poll(ctx context.Context, h *hubState) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	in := &schema.WatchRequest{Entry: string(w.g.Host), Incarnation: w.incarnation, HubIncarnation: h.incarnation,
		Cursor: h.cursor, WaitMs: watchWait.Milliseconds()}
	if v := w.g.board.view.Load(); v != nil {
		in.Revision = v.revision
	}
	own := w.ownUses()
	for i := range own {
		in.Uses = append(in.Uses, own[i].ToWire())
	}
	res, err := h.client.Watch(ctx, in)
	if err != nil {
		return serving.WrapError(err, serving.KindNoQuorum, "poll the hub")
	}
	watchPolls.Add(1)
	w.takeState(res)
	w.takeEngines(res, h, own)
	for _, a := range res.GetHubs() {
		w.addHub(a)
	}
	if !res.GetConfirmed() && len(w.hubs) > 1 {
		return serving.NewError(serving.KindNoQuorum, "the hub has heard no leader lately")
	}
	return nil
}

func (w *watcher) ownUses() []usage.Use {
	w.g.board.mu.Lock()
	defer w.g.board.mu.Unlock()
	return w.g.board.pool.Own(w.g.Clock.Now())
}

// takeState puts a newer deployment state in force. An older one never is, so
// that nothing reverts while the process runs.
func (w *watcher) takeState(res *schema.WatchResult) {
	state := res.GetState()
	old := w.g.board.view.Load()
	if state == nil || state.GetConfig() == nil || old != nil && state.GetRevision() <= old.revision {
		return
	}
	if old == nil && !res.GetConfirmed() && w.g.Clock.Now()-w.started < unconfirmedAfter {
		return
	}
	table, err := w.table(state, old)
	if err != nil {
		klog.ErrorS(err, "Configuration not taken", "revision", state.GetRevision(), "version", state.GetConfig().GetVersion())
		return
	}
	w.g.board.mu.Lock()
	w.g.board.pool.SetOutOfService(state.GetOut())
	w.g.board.view.Store(&view{revision: state.GetRevision(), table: table})
	w.g.board.serveLine(w.g.Clock.Now())
	w.g.board.mu.Unlock()
	klog.InfoS("Deployment state in force", "revision", state.GetRevision(), "version", table.Config.Version, "out", state.GetOut())
}

// table returns the table of a state; that of the old view if the version is the same.
func (w *watcher) table(state *schema.DeploymentState, old *view) (*routing.Table, error) {
	if old != nil && old.table.Config.Version == state.GetConfig().GetVersion() {
		return old.table, nil
	}
	document, err := deployment.Decompress(state.GetConfig())
	if err != nil {
		return nil, err
	}
	cfg, err := w.g.DecodeConfig(document)
	if err != nil {
		return nil, err
	}
	return routing.Compile(cfg)
}

// takeEngines takes in changes of engines and the work of the other entries.
func (w *watcher) takeEngines(res *schema.WatchResult, h *hubState, own []usage.Use) {
	now := w.g.Clock.Now()
	full := h.incarnation != res.GetHubIncarnation()
	h.incarnation, h.cursor = res.GetHubIncarnation(), res.GetCursor()
	listed := map[serving.EngineID]bool{}
	var left []serving.EngineID
	b := &w.g.board
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range res.GetEngines() {
		r := presence.FromWire(now, m)
		listed[r.Engine] = true
		w.directory.Observe(now, r)
		if e := w.directory.Get(r.Engine); e != nil {
			entry := *e
			entry.Silent = now-r.LastHeartbeat > w.directory.SilentAfter
			if b.pool.SetEngine(&entry) {
				left = append(left, r.Engine)
			}
		}
	}
	if full && res.GetComplete() {
		w.forgetUnlisted(listed)
	}
	b.pool.SetOtherEntries(subtract(usage.FromWire(res.GetUses()), own), int(res.GetEntries()))
	b.serveLine(now)
	for _, id := range left {
		klog.InfoS("Engine leaves", "engine", id, "streams", len(b.runs[id]))
		w.g.moveAway(id)
	}
}

// forgetUnlisted drops the engines that a hub which knows all of them did not
// list. The caller holds mu of the blackboard.
func (w *watcher) forgetUnlisted(listed map[serving.EngineID]bool) {
	var gone []serving.EngineID
	w.directory.ForEach(func(e *presence.Entry) {
		if !listed[e.Engine] {
			gone = append(gone, e.Engine)
		}
	})
	for _, id := range gone {
		w.directory.Remove(id)
		w.g.board.pool.Remove(id)
	}
}

// subtract returns all uses without this entry's own part.
func subtract(all, own []usage.Use) []usage.Use {
	mine := make(map[serving.EngineID]*usage.Use, len(own))
	for i := range own {
		mine[own[i].Engine] = &own[i]
	}
	for i := range all {
		if o := mine[all[i].Engine]; o != nil {
			all[i].Running = max(0, all[i].Running-o.Running)
			all[i].Held = max(0, all[i].Held-o.Held)
			all[i].Expected = max(0, all[i].Expected-o.Expected)
			all[i].Prefill = max(0, all[i].Prefill-o.Prefill)
			all[i].Broken = max(0, all[i].Broken-o.Broken)
		}
	}
	return all
}
