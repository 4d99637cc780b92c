package load

import (
	"fmt"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/account"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

// modelEntry models an entry: it queues calls, places them on engines and exchanges
// slots with the other entries. It uses the same packages as a real entry.
type modelEntry struct {
	x           *experiment
	index       int
	region      int
	tracker     *dispatch.Tracker
	lengths     *dispatch.Lengths
	placer      serving.Placer
	calibration *dispatch.Calibration
	queue       *account.Queue
	calls       map[serving.RequestID]*call
	// candidates is a buffer that is reused.
	candidates []serving.Candidate
	// holders manage the slots that this entry gets from the owner of each engine.
	// staticShares are this entry's fixed shares of the slots, used with [StaticSlots].
	holders      map[serving.EngineID]*dispatch.Holder
	staticShares map[serving.EngineID]*dispatch.StaticShare
	// owners has the engines whose slots this entry grants.
	owners map[serving.EngineID]*ownedEngine
	// preemptions has the preemption count in the latest load report of each engine.
	preemptions map[serving.EngineID]int64
	// startingQueued prevents startQueued from being entered recursively.
	startingQueued bool
	// queuedSince is the time when the queue was last empty.
	queuedSince time.Duration
	generations int
}

type ownedEngine struct {
	owner *dispatch.Owner
	ramp  *dispatch.Ramp
}

// call is the state of a request from its arrival to its end.
type call struct {
	request      *serving.Request
	answerTokens serving.Tokens
	weight       float64
	arrivedAt    time.Duration
	// measured is set if the request arrived after the warm-up.
	measured bool
	attempts int
	// The fields below belong to the current attempt.
	engine     *modelEngine
	generation *generation
	slot       serving.SlotID
	// lastToken is the time of the latest token, or 0 before the first one.
	lastToken time.Duration
}

func newModelEntry(x *experiment, i int) *modelEntry {
	n := &modelEntry{
		x: x, index: i, region: i % x.cfg.Regions,
		lengths: dispatch.NewLengths(dispatch.LengthsConfig{}), queue: account.NewQueue(account.QueueConfig{TimeToFirstToken: 400 * time.Millisecond, Credit: x.cfg.Policy.Credit}),
		calls: map[serving.RequestID]*call{}, holders: map[serving.EngineID]*dispatch.Holder{},
		staticShares: map[serving.EngineID]*dispatch.StaticShare{}, owners: map[serving.EngineID]*ownedEngine{},
		preemptions: map[serving.EngineID]int64{},
	}
	n.tracker = dispatch.NewTracker(dispatch.TrackerConfig{
		Lengths: n.lengths, Random: x.rng,
		NetworkDelay: func(d serving.DataCentreID) time.Duration { return n.networkDelay(d) },
		InService: func(_ serving.EngineID, d serving.DataCentreID) bool {
			return x.outRegion < 0 || d != dataCentre(x.outRegion)
		},
		Breaker: dispatch.BreakerConfig{Random: x.rng},
	})
	p := x.cfg.Policy
	var admitter serving.Admitter
	if p.Admitter != nil {
		if p.CalibrationTarget > 0 {
			n.calibration = dispatch.NewCalibration(p.CalibrationTarget)
		}
		admitter = p.Admitter(&p, n.lengths, n.calibration)
	}
	n.placer = p.Placer(x.rng, n.lengths, admitter)
	for k, e := range x.engines {
		n.holders[e.id] = dispatch.NewHolder(dispatch.HolderConfig{}, e.id, n.id())
		n.staticShares[e.id] = dispatch.NewStaticShare(i, x.cfg.Entries)
		if k%x.cfg.Entries == i {
			o := dispatch.NewOwner(dispatch.SlotConfig{}, e.id, dispatch.OwnerTerm{Epoch: 1, Owner: n.id()}, 0, &dispatch.Handover{})
			n.owners[e.id] = &ownedEngine{owner: o, ramp: dispatch.NewRamp(dispatch.RampConfig{})}
		}
	}
	if p.Admitter != nil {
		x.every(20*time.Millisecond, x.end+5*time.Minute, n.tick)
	}
	return n
}

func (n *modelEntry) id() dispatch.EntryID {
	return dispatch.EntryID{Host: serving.HostID(fmt.Sprintf("entry-%d", n.index)), Incarnation: 1}
}

// networkDelay returns the one-way latency to a data centre, whose region is the last
// digit of its id (see dataCentre). It supports at most ten regions.
func (n *modelEntry) networkDelay(d serving.DataCentreID) time.Duration {
	return n.x.delay(n.region, int(d[len(d)-1]-'0'))
}

// handleAnnouncement updates the state of an engine from its announcement.
func (n *modelEntry) handleAnnouncement(a dispatch.Announcement) {
	now := n.x.now
	n.tracker.Announce(now, a)
	if n.calibration != nil {
		n.calibration.Record(a.Load.Preemptions > n.preemptions[a.Engine])
	}
	n.preemptions[a.Engine] = a.Load.Preemptions
	n.holders[a.Engine].SetIncarnation(a.Incarnation)
	n.staticShares[a.Engine].SetLimit(a.Capacity.MaxRunning)
	o := n.owners[a.Engine]
	if o == nil {
		return
	}
	o.ramp.Announce(now, a.Incarnation, a.Capacity)
	o.ramp.SetUptime(now, a.Uptime)
	o.ramp.Report(now, a.Load)

	o.owner.Report(now, a.Incarnation, a.Load)
}

func (n *modelEntry) handleDataCentreBroughtBack(region int) {
	for _, e := range n.x.engines {
		if e.region != region {
			continue
		}
		n.tracker.TurnCold(n.x.now, e.id)
		if o := n.owners[e.id]; o != nil {
			o.ramp.TurnCold(n.x.now)
		}
	}
}

// tick refuses queued requests that can no longer get a token before their deadline,
// starts others, and requests slots from the owners of the engines.
func (n *modelEntry) tick() {
	for _, item := range n.queue.Expired(n.x.now) {
		n.refuse(n.calls[item.Request.ID], "deadline")
	}
	n.startQueued()
	if n.x.cfg.Policy.Slots != OwnerSlots {
		return
	}
	for _, e := range n.x.engines {
		h := n.holders[e.id]

		q, due := h.Request(n.x.now)
		if !due {
			continue
		}
		q.Forecast = n.tracker.OwnForecast(e.id)
		for _, owner := range n.x.entries {
			if owner.owners[e.id] == nil {
				continue
			}
			d := n.x.delay(n.region, owner.region)
			n.x.after(d, func() {
				if p, ok := owner.grantSlots(e.id, q); ok {
					n.x.after(d, func() { n.handleSlotReply(h, e.id, p) })
				}
			})
		}
	}
}

func (n *modelEntry) handleSlotReply(h *dispatch.Holder, id serving.EngineID, p dispatch.SlotReply) {
	h.HandleReply(n.x.now, p)
	f, at := h.Others()
	if n.x.cfg.Policy.OwnerMemory {
		n.tracker.SetOthers(at, id, f)
	}

	n.tracker.SetLimit(id, h.Limit())

	n.startQueued()
}

func (n *modelEntry) grantSlots(id serving.EngineID, q dispatch.SlotRequest) (dispatch.SlotReply, bool) {
	o := n.owners[id]
	o.owner.ViewConfirmed(n.x.now)
	o.owner.SetLimit(o.ramp.Limit())
	if n.x.cfg.Policy.OwnerMemory {
		c := n.x.cfg.Capacity
		quantile := n.x.cfg.Policy.Quantile
		if n.calibration != nil {
			quantile = n.calibration.Quantile()
		}
		o.owner.SetMemory(serving.Tokens(c.MemoryBlocks)*c.BlockTokens, quantile, n.tracker.TypicalForecast("m"))

	}
	for _, e := range n.x.engines {
		if e.id == id {
			o.owner.SetNoNewWork(n.x.outRegion == e.region)
		}
	}
	return o.owner.Grant(n.x.now, q)
}

func (n *modelEntry) arrive(c *call) {
	n.calls[c.request.ID] = c
	n.x.after(n.x.cfg.FirstTokenTimeout, func() { n.handleFirstTokenTimeout(c) })
	n.dispatch(c)
}

// dispatch queues a request, or sends it at once if the policy has no admitter.
func (n *modelEntry) dispatch(c *call) {
	if n.x.cfg.Policy.Admitter == nil {
		c.request.DataCentre, c.request.Region = dataCentre(n.region), region(n.region)
		n.candidates = n.tracker.Candidates(n.x.now, c.request, n.candidates[:0])
		i, err := n.placer.Place(n.x.now, c.request, n.candidates)
		if err != nil {
			n.refuse(c, string(serving.KindOf(err)))
			return
		}
		n.send(c, n.candidates[i].Engine, "")
		return
	}
	c.request.DataCentre, c.request.Region = dataCentre(n.region), region(n.region)
	cost := c.request.PromptTokens + n.lengths.Remaining(serving.LengthKey{Service: c.request.Service, Model: c.request.Model, Account: c.request.Account}, 0, 0.5)
	evicted, err := n.queue.Push(n.x.now, account.Item{Request: c.request, Cost: cost, Weight: c.weight})
	if evicted != nil {
		n.refuse(n.calls[evicted.Request.ID], "evicted")
	}
	if err != nil {
		n.refuse(c, string(serving.KindOf(err)))
		return
	}
	n.startQueued()
}

// startQueued starts as many queued requests as the admitter and the slots allow.
func (n *modelEntry) startQueued() {
	if n.startingQueued || n.queue.Len() == 0 {
		n.setSlotDemand(0)
		return
	}
	n.startingQueued = true
	defer func() { n.startingQueued = false }()
	for {
		var engine serving.EngineID
		item, ok := n.queue.Pop(n.x.now, func(item *account.Item) account.Verdict {
			if n.reserved(item.Request.Account) {
				return account.Reserved
			}
			var ok bool
			if engine, ok = n.chooseEngine(item.Request); !ok {
				return account.NoRoom
			}
			return account.Start
		})

		if !ok {
			break
		}
		slot, ok := n.acquireSlot(engine)
		if !ok {
			panic("load: chosen engine without a slot")
		}
		n.send(n.calls[item.Request.ID], engine, slot)
	}
	n.setSlotDemand(n.queue.Len())
}

// reserved reports whether the free slots of the region are reserved for other
// accounts, because this account already uses its share.
func (n *modelEntry) reserved(a serving.ClientAccountID) bool {
	r := n.x.cfg.Policy.Reserve
	if r == 0 || !n.queue.Backlogged(n.x.now, a, n.x.cfg.Policy.ReserveAfter) {
		return false
	}
	var free serving.Slots
	for _, e := range n.x.engines {
		if e.region == n.region {
			free += n.freeHeldSlots(e.id)
		}
	}
	return free <= r
}

// setSlotDemand sets the number of slots to request from the owner of each engine,
// in proportion to the length of the queue. The demand applies to the engines of the
// region at once and, after 100 ms with a queue, to a quarter of the other engines
// in turn. It applies to all engines while a data centre is out of service, and if
// the queue is at least as long as the number of engines. Each free slot reserves
// memory for a generation, so requesting slots of all engines for every request
// would leave memory unused.
func (n *modelEntry) setSlotDemand(queued int) {
	if n.x.cfg.Policy.Slots != OwnerSlots {
		return
	}
	if queued == 0 {
		n.queuedSince = n.x.now
	}
	engineCount := len(n.x.engines)
	perEngine := serving.Slots((queued + engineCount - 1) / engineCount)
	allEngines := n.x.cfg.Policy.RemoteDemand || n.x.outRegion >= 0
	quarter := -1
	if n.x.now-n.queuedSince >= 100*time.Millisecond {
		quarter = int(n.x.now / (200 * time.Millisecond) % 4)
	}
	for i, e := range n.x.engines {
		d := serving.Slots(queued / engineCount)
		if allEngines || e.region == n.region || i%4 == quarter {
			d = perEngine
		}
		n.holders[e.id].SetDemand(d)
	}
}

// chooseEngine returns the engine for a request, out of those with a free slot.
func (n *modelEntry) chooseEngine(r *serving.Request) (serving.EngineID, bool) {
	all := n.tracker.Candidates(n.x.now, r, n.candidates[:0])
	n.candidates = all
	withSlot := all[:0]
	for _, c := range all {
		if n.freeHeldSlots(c.Engine) > 0 {
			withSlot = append(withSlot, c)
		}
	}
	i, err := n.placer.Place(n.x.now, r, withSlot)
	if err != nil {
		return "", false
	}
	return withSlot[i].Engine, true
}

func (n *modelEntry) freeHeldSlots(id serving.EngineID) serving.Slots {
	switch n.x.cfg.Policy.Slots {
	case OwnerSlots:
		return n.holders[id].Free(n.x.now)
	case StaticSlots:
		return n.staticShares[id].Free(n.x.now)
	default:
		return 1
	}
}

func (n *modelEntry) acquireSlot(id serving.EngineID) (serving.SlotID, bool) {
	switch n.x.cfg.Policy.Slots {
	case OwnerSlots:
		s, ok := n.holders[id].Acquire(n.x.now)
		return s.ID, ok
	case StaticSlots:
		s, ok := n.staticShares[id].Acquire(n.x.now)
		return s.ID, ok
	default:
		return "", true
	}
}

func (n *modelEntry) releaseSlot(c *call) {
	if c.slot == "" {
		return
	}
	switch n.x.cfg.Policy.Slots {
	case OwnerSlots:
		n.holders[c.engine.id].Release(n.x.now, c.slot)
	case StaticSlots:
		n.staticShares[c.engine.id].Release(n.x.now, c.slot)
	}
	c.slot = ""
}

// send starts an attempt of a call on an engine.
func (n *modelEntry) send(c *call, id serving.EngineID, slot serving.SlotID) {
	for _, e := range n.x.engines {
		if e.id == id {
			c.engine = e
		}
	}
	e, d := c.engine, n.x.delay(n.region, c.engine.region)
	n.generations++
	g := &generation{request: c.request, id: serving.GenerationID(fmt.Sprintf("g%d-%d", n.index, n.generations)), answerTokens: c.answerTokens}
	c.generation, c.slot, c.lastToken = g, slot, 0
	c.attempts++
	n.tracker.Sent(n.x.now, id, g.id, c.request)
	g.onToken = func(k serving.Tokens, last bool) {
		if last {
			n.x.after(d, func() { n.handleToken(c, g, k, true) })
		} else if !g.canceled {
			n.handleToken(c, g, k, false)
		}
	}
	g.onFailed = func() { n.x.after(d, func() { n.handleFailure(c, g) }) }
	n.x.after(d, func() { e.enqueue(g) })
}

// handleToken records token k of an answer. Only the last token arrives with the
// network latency. The latency is constant, and ignoring it for the other tokens saves
// one event per token.
func (n *modelEntry) handleToken(c *call, g *generation, k serving.Tokens, last bool) {
	if c.generation != g {
		return
	}
	now := n.x.now
	if k == 1 {
		n.tracker.FirstToken(now, c.engine.id, g.id)
		if c.measured {
			n.x.recorder.FirstToken(c.request.Account, now-c.arrivedAt)
		}
	} else {
		n.tracker.Progress(now, c.engine.id, g.id, k)
		if c.measured {
			n.x.recorder.InterToken(c.request.Account, now-c.lastToken)
		}
	}
	c.lastToken = now
	if !last {
		return
	}
	n.tracker.Done(now, c.engine.id, g.id, dispatch.OutcomeComplete)
	n.finish(c)
	if c.measured {
		cross := serving.Bytes(0)
		if c.engine.region != n.region {
			// About 200 bytes for each token sent back and 4 for each prompt token.
			cross = serving.Bytes(200*c.answerTokens + 4*c.request.PromptTokens)
		}
		n.x.recorder.Completed(c.request.Account, c.answerTokens, cross)
	}
	if s := int(now / time.Second); s < len(n.x.perSecond) {
		n.x.perSecond[s]++
	}
	n.startQueued()
}

func (n *modelEntry) finish(c *call) {
	n.releaseSlot(c)
	c.generation = nil
	delete(n.calls, c.request.ID)
}

// handleFailure retries a call without a token, up to four attempts. A stream that
// has had a token is lost.
func (n *modelEntry) handleFailure(c *call, g *generation) {
	if c.generation != g {
		return
	}
	n.tracker.Done(n.x.now, c.engine.id, g.id, dispatch.OutcomeFailed)
	n.releaseSlot(c)
	c.generation = nil
	if c.lastToken == 0 && c.attempts < 4 {
		n.dispatch(c)
		return
	}
	if c.measured && c.lastToken > 0 {
		n.x.recorder.Lost()
	} else if c.measured {
		n.x.recorder.Failed()
	}
	n.finish(c)
}

// handleFirstTokenTimeout cancels a call that has no token yet.
func (n *modelEntry) handleFirstTokenTimeout(c *call) {
	if n.calls[c.request.ID] != c || c.lastToken > 0 {
		return
	}
	if c.generation != nil {
		c.generation.canceled = true
		n.tracker.RecordSlow(n.x.now, c.engine.id)
		n.tracker.Done(n.x.now, c.engine.id, c.generation.id, dispatch.OutcomeCanceled)
		n.refuse(c, "gave_up")
		return
	}
	n.queue.Remove(c.request.ID)
	n.refuse(c, "deadline")
}

func (n *modelEntry) refuse(c *call, kind string) {
	if c == nil {
		return
	}
	if c.measured {
		n.x.recorder.Refused(kind)
	}
	n.finish(c)
}
