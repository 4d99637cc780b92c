package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/checkpoint"
	"turmericdrum.org/turmericdrum/pkg/serving/deployment"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

const (
	// pollWait is the maximum wait of one poll. It bounds the age of the entry's data
	// about the load from other entries.
	pollWait = 100 * time.Millisecond
	// pollTimeout bounds one poll. If the hub doesn't answer in time, the entry switches
	// to another one.
	pollTimeout = pollWait + 600*time.Millisecond
	// hubBackoff is how long a hub that failed is not polled while others answer.
	hubBackoff = 2 * time.Second
	// pollRetryDelay is the pause after a failed poll.
	pollRetryDelay = 50 * time.Millisecond
	// probeTimeout bounds the attempt to connect to all hubs at once before the first view.
	// After the start of all hosts, some hubs don't answer yet. It covers two round trips
	// between regions, and doubles with each failed attempt up to pollTimeout.
	probeTimeout = 120 * time.Millisecond
)

// watcher polls a hub and updates the blackboard with the answers.
type watcher struct {
	g      *Gateway
	client *http.Client
	// incarnation is a random number, never 0, that identifies this run of the entry.
	incarnation uint64
	started     time.Duration
	hubs        []*hubState
	directory   *presence.Directory

	// current is the hub of the last successful poll.
	current *hubState
	// failedProbes counts the attempts in a row, before the first view, in which no hub
	// could be connected to.
	failedProbes int

	mu sync.Mutex
	// newHubs are base URLs passed to AddHubs that are not in hubs yet.
	newHubs []string
	// placementHub chooses engines for generations, nil if there is none. It is not
	// used before placementPausedUntil.
	placementHub         schema.Hub
	placementPausedUntil time.Duration
	// placementRemote is set if placementHub is in another region.
	placementRemote bool
}

// hubState is the watcher's state for one hub.
type hubState struct {
	address    string
	dataCentre serving.DataCentreID
	region     serving.RegionID
	failedAt   time.Duration
	failed     bool
	// incarnation and cursor are those of the hub's last answer. The next poll returns
	// only engines that have changed since then.
	incarnation uint64
	cursor      uint64
	client      schema.Hub
}

func (w *watcher) setup(g *Gateway) {
	w.g, w.incarnation, w.started = g, rand.Uint64()>>1|1, g.Clock.Now()
	dialer := &net.Dialer{Timeout: 400 * time.Millisecond,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}}
	w.client = &http.Client{Transport: &answer.Transport{Next: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
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
		w.addNewHubs()
		h := w.chooseHub()
		if h == nil {
			return
		}
		if w.g.board.view.Load() == nil {
			if h = w.firstReachable(ctx); h == nil {
				sleep(ctx, pollRetryDelay)
				continue
			}
		}
		if err := recovered("poll the hub", func() error { return w.poll(ctx, h) }); err != nil {
			if ctx.Err() != nil {
				return
			}
			if !h.failed || w.current == h {
				klog.InfoS("Hub lost", "hub", h.address, "err", err)
			}
			h.failed, h.failedAt = true, w.g.Clock.Now()
			w.setPlacementHub(nil)
			select {
			case <-ctx.Done():
			case <-time.After(pollRetryDelay):
			}
			continue
		}
		if w.current != h || h.failed {
			klog.InfoS("Hub in use", "hub", h.address, "data_centre", h.dataCentre)
		}
		w.current, h.failed = h, false
		w.setPlacementHub(h)
	}
}

// AddHubs adds the base URLs of hubs, for example after a change of the settings. Hubs
// that are already known are ignored.
func (g *Gateway) AddHubs(addresses []string) {
	g.watcher.mu.Lock()
	defer g.watcher.mu.Unlock()
	g.watcher.newHubs = addresses
}

func (w *watcher) addNewHubs() {
	w.mu.Lock()
	newHubs := w.newHubs
	w.newHubs = nil
	w.mu.Unlock()
	for _, address := range newHubs {
		if !w.hasHub(address) {
			w.addHub(&schema.HubAddress{Address: address})
		}
	}
}

func (w *watcher) hasHub(address string) bool {
	for _, h := range w.hubs {
		if h.address == address {
			return true
		}
	}
	return false
}

// chooseHub returns the nearest hub that has not failed within hubBackoff, and among
// equally near ones the current hub. If all have failed, it returns the one whose
// failure is the longest ago.
func (w *watcher) chooseHub() *hubState {
	var best *hubState
	now := w.g.Clock.Now()
	rank := func(h *hubState) int {
		switch {
		case h.failed && now-h.failedAt < hubBackoff:
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

// poll polls one hub and applies its answer.
func (w *watcher) poll(ctx context.Context, h *hubState) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	in := &schema.WatchRequest{Entry: string(w.g.Host), Incarnation: w.incarnation, HubIncarnation: h.incarnation,
		Cursor: h.cursor, WaitMs: pollWait.Milliseconds()}
	if v := w.g.board.view.Load(); v != nil {
		in.Revision = v.revision
	}
	own := w.ownUse()
	for i := range own {
		in.Uses = append(in.Uses, own[i].ToWire())
	}
	in.LostCalls, in.SoundParts = w.ownOutcomes()
	asked := w.g.Clock.Now()
	reported := func(bool) {}
	if b := &w.g.board; w.g.Exposure.Enabled {
		in.RolloutsRevision = b.rolloutsRevision()
		in.Rollouts, reported = b.reportRollouts(asked, h.incarnation)
	}
	in.Saturation = w.g.hostLoad.report(asked, h != w.current)
	res, err := h.client.Watch(ctx, in)
	reported(err == nil)
	if err != nil {
		return serving.WrapError(err, serving.KindNoQuorum, "poll the hub")
	}
	hubPolls.Add(1)
	w.g.hostLoad.apply(asked, res.GetSaturation())
	w.applyState(res)
	w.applyEngines(res, h, own)
	w.g.board.applyRollouts(w.g.Clock.Now(), asked, res)
	w.g.leaveOldVersions()
	for _, a := range res.GetHubs() {
		w.addHub(a)
	}
	if !res.GetConfirmed() && len(w.hubs) > 1 {
		return serving.NewError(serving.KindNoQuorum, "the hub has no recent contact with a leader")
	}
	return nil
}

// firstReachable returns the hub that accepts a connection first, among those that have not
// failed within hubBackoff if there are any. It returns nil if none does in time.
func (w *watcher) firstReachable(ctx context.Context) *hubState {
	now := w.g.Clock.Now()
	candidates := slices.DeleteFunc(slices.Clone(w.hubs), func(h *hubState) bool { return h.failed && now-h.failedAt < hubBackoff })
	if len(candidates) == 0 {
		candidates = w.hubs
	}
	ctx, cancel := context.WithTimeout(ctx, min(pollTimeout, probeTimeout<<min(w.failedProbes, 8)))
	defer cancel()
	reached := make(chan *hubState, len(candidates))
	for _, h := range candidates {
		go func() {
			if !accepts(ctx, h.address) {
				h = nil
			}
			reached <- h
		}()
	}
	for range candidates {
		if h := <-reached; h != nil {
			w.failedProbes = 0
			return h
		}
	}
	if w.failedProbes++; w.failedProbes == 1 {
		klog.InfoS("No hub accepts connections", "hubs", len(candidates))
	}
	return nil
}

// accepts reports whether the server of a base URL accepts a connection.
func accepts(ctx context.Context, address string) bool {
	u, err := url.Parse(address)
	if err != nil {
		return false
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

func (w *watcher) ownUse() []usage.Use {
	w.g.board.mu.Lock()
	defer w.g.board.mu.Unlock()
	return w.g.board.pool.OwnUse(w.g.Clock.Now())
}

// ownOutcomes returns the calls that this entry lost with their engines, and the suspects
// with which answers have begun here.
func (w *watcher) ownOutcomes() ([]*schema.LostCall, []*schema.SoundPart) {
	b := &w.g.board
	b.mu.Lock()
	defer b.mu.Unlock()
	now := w.g.Clock.Now()
	return quarantine.LostToWire(now, b.outcomes.Report(now)), quarantine.SoundToWire(now, b.outcomes.SoundAmong(b.suspects))
}

// applyState applies the deployment state of an answer if it is newer than the current
// one. Older states are ignored, so nothing reverts while the process runs.
func (w *watcher) applyState(res *schema.WatchResult) {
	state := res.GetState()
	old := w.g.board.view.Load()
	if state == nil || state.GetConfig() == nil || old != nil && state.GetRevision() <= old.revision {
		return
	}
	known := checkpoint.Known{Confirmed: res.GetConfirmed(), HasAge: res.StateAgeMs != nil, Age: time.Duration(res.GetStateAgeMs()) * time.Millisecond,
		Waited: w.g.Clock.Now() - w.started}
	if old == nil && !checkpoint.MayServe(known) {
		return
	}
	table, err := w.table(state, old)
	if err != nil {
		klog.ErrorS(err, "Configuration rejected", "revision", state.GetRevision(), "version", state.GetConfig().GetVersion())
		return
	}
	w.g.board.setView(w.g.Clock.Now(), state, table)
	klog.InfoS("Deployment state applied", "revision", state.GetRevision(), "version", table.Config.Version, "out", state.GetOut(), "blocks", len(state.GetBlocks()),
		"confirmed", known.Confirmed, "age", known.Age, "after", known.Waited)
}

// setView replaces the view.
func (b *blackboard) setView(now time.Duration, state *schema.DeploymentState, table *routing.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool.SetOutOfService(state.GetOut())
	b.view.Store(&view{revision: state.GetRevision(), table: table, blocks: quarantine.BlocksFromWire(state.GetBlocks())})
	b.placeWaiting(now)
}

// table returns the routing table of a state. It reuses the table of the old view if
// the version is the same.
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

// applyEngines applies the changes to engines and the load from other entries. own is
// the load from this entry that the poll reported.
func (w *watcher) applyEngines(res *schema.WatchResult, h *hubState, own []usage.Use) {
	now := w.g.Clock.Now()
	fullList := h.incarnation != res.GetHubIncarnation()
	h.incarnation, h.cursor = res.GetHubIncarnation(), res.GetCursor()
	listed := map[serving.EngineID]bool{}
	var leaving []serving.EngineID
	b := &w.g.board
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range res.GetEngines() {
		r := presence.FromWire(now, m)
		listed[r.Engine] = true
		w.directory.Observe(now, r)
		if e := w.directory.Get(r.Engine); e != nil {
			engine := *e
			engine.Silent = now-r.LastHeartbeat > w.directory.SilentAfter
			if b.pool.SetEngine(&engine) {
				leaving = append(leaving, r.Engine)
			}
		}
	}
	if fullList && res.GetComplete() {
		w.removeUnlisted(listed)
	}
	b.pool.SetOtherUse(now, withoutOwn(usage.FromWire(res.GetUses()), own), int(res.GetEntries()))
	b.pool.UpdateSpeeds(now)
	unevenServices.Set(int64(len(b.pool.Uneven())))
	for _, m := range res.GetMachines() {
		b.pool.SetSharing(serving.ServiceID(m.GetService()), float64(m.GetSharedShare()), float64(m.GetSharedRatio()))
	}
	b.suspects = quarantine.PartsFromWire(res.GetSuspects())
	b.placeWaiting(now)
	for _, id := range leaving {
		klog.InfoS("Engine leaving", "engine", id, "streams", len(b.streams[id]))
		w.g.moveStreams(id)
	}
}

// removeUnlisted removes the engines that are missing from a complete list. The caller
// holds mu of the blackboard.
func (w *watcher) removeUnlisted(listed map[serving.EngineID]bool) {
	var unlisted []serving.EngineID
	w.directory.ForEach(func(e *presence.EngineStatus) {
		if !listed[e.Engine] {
			unlisted = append(unlisted, e.Engine)
		}
	})
	for _, id := range unlisted {
		w.directory.Remove(id)
		w.g.board.pool.Remove(id)
	}
}

// withoutOwn subtracts this entry's own load from the load of all entries. It changes
// all in place.
func withoutOwn(all, own []usage.Use) []usage.Use {
	ownByEngine := make(map[serving.EngineID]*usage.Use, len(own))
	for i := range own {
		ownByEngine[own[i].Engine] = &own[i]
	}
	for i := range all {
		if o := ownByEngine[all[i].Engine]; o != nil {
			all[i].Running = max(0, all[i].Running-o.Running)
			all[i].Held = max(0, all[i].Held-o.Held)
			all[i].Expected = max(0, all[i].Expected-o.Expected)
			all[i].Prefill = max(0, all[i].Prefill-o.Prefill)
			all[i].Broken = max(0, all[i].Broken-o.Broken)
			all[i].Demand = max(0, all[i].Demand-o.Demand)
			all[i].Calls = max(0, all[i].Calls-o.Calls)
			all[i].Failures = max(0, all[i].Failures-o.Failures)
			all[i].Paced = max(0, all[i].Paced-o.Paced)
		}
	}
	return all
}
