package hub

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/deployment"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/rollout"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

// reservationTTL is how long the load of a placed call is added until the entry's own
// report includes it: two polls of an entry and a report between hubs.
const reservationTTL = 300 * time.Millisecond

// placer chooses engines for the entries that poll this hub. It sees its own choices
// immediately, whereas the entries see each other's choices only with a delay.
type placer struct {
	pool placement.Pool
	// cursor is the directory cursor up to which changes were applied to pool.
	cursor   uint64
	reserved []reservation
	// table is compiled from the configuration that has this version.
	table   *routing.Table
	version uint64
	// speedsAt is when the engines' speeds were last computed for entries.
	speedsAt time.Duration
	// uneven lists the services whose engines differ in speed.
	uneven []serving.ServiceID
}

// reservation is the load of a call that was placed recently.
type reservation struct {
	use   usage.Use
	until time.Duration
}

// Place implements schema.Hub. The result has no engine if none has room.
func (h *Hub) Place(_ context.Context, in *schema.PlaceRequest) (*schema.PlaceResult, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	service := h.service(serving.ServiceID(in.GetService()))
	if service == nil {
		return nil, serving.NewError(serving.KindNotFound, "the hub knows no service "+in.GetService())
	}
	h.refreshPool(now)
	h.placer.pool.CountCall(now, service.ID)
	need := &placement.Need{Service: service, Prompt: serving.Tokens(in.GetPromptTokens()), Output: serving.Tokens(in.GetGrowthTokens()),
		Length: serving.Tokens(in.GetOutputTokens()), Compare: placement.CompareAll, MaxPause: time.Duration(max(0, in.GetMaxPauseMs())) * time.Millisecond,
		FirstEventBy: firstEventBy(now, in), LastAttempt: in.GetLastAttempt(), Home: serving.DataCentreID(in.GetDataCentre())}
	if in.GetOnlyVersion() != "" || in.GetNotVersion() != "" {
		need.Software = &placement.Software{Only: rollout.Version(in.GetOnlyVersion()), Not: rollout.Version(in.GetNotVersion())}
	}
	if in.GetRestricted() {
		need.Allows = func(r serving.RegionID) bool { return slices.Contains(in.GetRegions(), string(r)) }
	}
	for _, id := range in.GetExclude() {
		need.Exclude = append(need.Exclude, serving.EngineID(id))
	}
	ticket, err := h.placer.pool.Place(now, need)
	if err != nil {
		if serving.AsError(err).Detail == placement.DetailDeferred {
			callsDeferred.Add(1)
		}
		return &schema.PlaceResult{}, nil
	}
	// The pool counts the call as a reservation until the entry, which claims the engine
	// itself, reports it.
	ticket.End(now, placement.Abandoned, 0)
	h.placer.reserved = append(h.placer.reserved, reservation{use: ticket.Use(), until: now + reservationTTL})
	return &schema.PlaceResult{Engine: string(ticket.Engine)}, nil
}

// firstEventBy returns the time from which on the first event of a call is late; 0 if it never
// is.
func firstEventBy(now time.Duration, in *schema.PlaceRequest) time.Duration {
	if in.FirstEventMs == nil {
		return 0
	}
	return now + time.Duration(max(1, in.GetFirstEventMs()))*time.Millisecond
}

// speedsInterval is the longest time between two computations of the engines' speeds.
const speedsInterval = 500 * time.Millisecond

// refreshSpeeds updates the speeds of the engines that entries are told, also of services for
// which this hub places no calls. The caller holds mu.
func (h *Hub) refreshSpeeds(now time.Duration) {
	if p := &h.placer; now-p.speedsAt >= speedsInterval {
		p.speedsAt = now
		h.refreshPool(now)
		p.pool.UpdateSpeeds(now)
		if uneven := p.pool.Uneven(); !slices.Equal(uneven, p.uneven) {
			klog.InfoS("Services with engines of different speeds changed", "services", uneven, "before", p.uneven)
			p.uneven = uneven
			unevenServices.Set(int64(len(uneven)))
		}
	}
}

// refreshPool updates the pool from the directory, the deployment state and the load.
// The caller holds mu.
func (h *Hub) refreshPool(now time.Duration) {
	p := &h.placer
	engines, cursor := h.directory.Since(p.cursor)
	p.cursor = cursor
	for _, e := range engines {
		p.pool.SetEngine(e)
	}
	p.pool.SetOutOfService(h.state.GetOut())
	p.reserved = slices.DeleteFunc(p.reserved, func(r reservation) bool { return now >= r.until })
	p.pool.Choosers = len(h.reachableHubs(now))
	totalUse, n := h.totalUse(now)
	for i := range p.reserved {
		u := &p.reserved[i].use
		if totalUse[u.Engine] == nil {
			totalUse[u.Engine] = &usage.Use{Engine: u.Engine}
		}
		totalUse[u.Engine].Add(u)
	}
	uses := make([]usage.Use, 0, len(totalUse))
	for _, u := range totalUse {
		uses = append(uses, *u)
	}
	p.pool.SetOtherUse(now, uses, n)
}

// totalUse returns the load from all entries by engine, and the number of entries. The
// caller holds mu.
func (h *Hub) totalUse(now time.Duration) (map[serving.EngineID]*usage.Use, int) {
	totalUse, n := h.local.Sums(now)
	remote, _ := h.remote.Sums(now)
	for id, u := range remote {
		if totalUse[id] == nil {
			totalUse[id] = u
			continue
		}
		totalUse[id].Add(u)
		totalUse[id].AddSteps(u.Steps)
	}
	return totalUse, n + h.remoteEntries(now)
}

// service returns a service of the current configuration, or nil if there is none. The
// caller holds mu.
func (h *Hub) service(id serving.ServiceID) *routing.Service {
	p := &h.placer
	if c := h.state.GetConfig(); c != nil && (p.table == nil || p.version != c.GetVersion()) {
		table, err := h.compile(c)
		if err != nil {
			klog.ErrorS(err, "Configuration could not be compiled", "version", c.GetVersion())
			return nil
		}
		p.table, p.version = table, c.GetVersion()
	}
	if p.table == nil {
		return nil
	}
	return p.table.Service(id)
}

func (h *Hub) compile(c *schema.DeploymentConfig) (*routing.Table, error) {
	document, err := deployment.Decompress(c)
	if err != nil {
		return nil, err
	}
	cfg, err := h.DecodeConfig(document)
	if err != nil {
		return nil, err
	}
	return routing.Compile(cfg)
}

// HasService reports whether the current configuration has a service. It returns true
// for every service if there is no configuration.
func (h *Hub) HasService(id serving.ServiceID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.GetConfig() == nil || h.service(id) != nil
}
