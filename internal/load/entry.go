package load

import (
	"fmt"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/account"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

// modelEntry is one entry of an experiment.
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
	candidates  []serving.Candidate
	holders     map[serving.EngineID]*dispatch.Holder
	static      map[serving.EngineID]*dispatch.StaticShare
	owners      map[serving.EngineID]*ownedEngine
	preemptions map[serving.EngineID]int64
	pumping     bool
	queuedFrom  time.Duration
	generations int
}

type ownedEngine struct {
	owner *dispatch.Owner
	ramp  *dispatch.Ramp
}

// call is a request from its arrival to its end.
type call struct {
	r        *serving.Request
	answer   serving.Tokens
	weight   float64
	at       time.Duration
	measured bool
	attempts int
	// The current attempt.
	engine    *modelEngine
	run       *run
	slot      serving.SlotID
	lastToken time.Duration
}

func newModelEntry(x *experiment, i int) *modelEntry {
	n := &modelEntry{
		x: x, index: i, region: i % x.cfg.Regions,
		lengths: dispatch.NewLengths(dispatch.LengthsConfig{}), queue: account.NewQueue(account.QueueConfig{TimeToFirstToken: 400 * time.Millisecond, Credit: x.cfg.Policy.Credit}),
		calls: map[serving.RequestID]*call{}, holders: map[serving.EngineID]*dispatch.Holder{},
		static: map[serving.EngineID]*dispatch.StaticShare{}, owners: map[serving.EngineID]*ownedEngine{},
		preemptions: map[serving.EngineID]int64{},
	}
	n.tracker = dispatch.NewTracker(dispatch.TrackerConfig{
		Lengths: n.lengths, Random: x.rng,
		Distance:  func(d serving.DataCentreID) time.Duration { return n.distance(d) },
		InService: func(_ serving.EngineID, d serving.DataCentreID) bool { return x.out < 0 || d != dataCentre(x.out) },
		Breaker:   dispatch.BreakerConfig{Random: x.rng},
	})
	p := x.cfg.Policy
	var admitter serving.Admitter
	if p.Admitter != nil {
		if p.Calibrate > 0 {
			n.calibration = dispatch.NewCalibration(p.Calibrate)
		}
		admitter = p.Admitter(&p, n.lengths, n.calibration)
	}
	n.placer = p.Placer(x.rng, n.lengths, admitter)
	for k, e := range x.engines {
		n.holders[e.id] = dispatch.NewHolder(dispatch.HolderConfig{}, e.id, n.id())
		n.static[e.id] = dispatch.NewStaticShare(i, x.cfg.Entries)
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

func (n *modelEntry) distance(d serving.DataCentreID) time.Duration {
	return n.x.delay(n.region, int(d[len(d)-1]-'0'))
}

// announced takes in an engine's report.
func (n *modelEntry) announced(a dispatch.Announcement) {
	now := n.x.now
	n.tracker.Announce(now, a)
	if n.calibration != nil {
		n.calibration.Record(a.Load.Preemptions > n.preemptions[a.Engine])
	}
	n.preemptions[a.Engine] = a.Load.Preemptions
	n.holders[a.Engine].SetIncarnation(a.Incarnation)
	n.static[a.Engine].SetLimit(a.Capacity.MaxRunning)
	o := n.owners[a.Engine]
	if o == nil {
		return
	}
	o.ramp.Announce(now, a.Incarnation, a.Capacity)
	o.ramp.SetUptime(now, a.Uptime)
	o.ramp.Report(now, a.Load)

	o.owner.Report(now, a.Incarnation, a.Load)
}

func (n *modelEntry) dataCentreReturned(region int) {
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

// tick exchanges slots with the owners, gives up late requests and dispatches.
func (n *modelEntry) tick() {
	for _, it := range n.queue.Expired(n.x.now) {
		n.refuse(n.calls[it.Request.ID], "deadline")
	}
	n.pump()
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
		for _, to := range n.x.entries {
			if to.owners[e.id] == nil {
				continue
			}
			d := n.x.delay(n.region, to.region)
			n.x.after(d, func() {
				if p, ok := to.grant(e.id, q); ok {
					n.x.after(d, func() { n.replied(h, e.id, p) })
				}
			})
		}
	}
}

func (n *modelEntry) replied(h *dispatch.Holder, id serving.EngineID, p dispatch.SlotReply) {
	h.Reply(n.x.now, p)
	f, at := h.Others()
	if n.x.cfg.Policy.OwnerMemory {
		n.tracker.SetOthers(at, id, f)
	}

	n.tracker.SetLimit(id, h.Limit())

	n.pump()
}

func (n *modelEntry) grant(id serving.EngineID, q dispatch.SlotRequest) (dispatch.SlotReply, bool) {
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
			o.owner.SetNoNewWork(n.x.out == e.region)
		}
	}
	return o.owner.Grant(n.x.now, q)
}

func (n *modelEntry) arrive(c *call) {
	n.calls[c.r.ID] = c
	n.x.after(n.x.cfg.Patience, func() { n.giveUp(c) })
	n.dispatch(c)
}

// dispatch queues a request, or sends it at once under a policy without admission.
func (n *modelEntry) dispatch(c *call) {
	if n.x.cfg.Policy.Admitter == nil {
		c.r.DataCentre, c.r.Region = dataCentre(n.region), region(n.region)
		n.candidates = n.tracker.Candidates(n.x.now, c.r, n.candidates[:0])
		i, err := n.placer.Place(n.x.now, c.r, n.candidates)
		if err != nil {
			n.refuse(c, string(serving.KindOf(err)))
			return
		}
		n.send(c, n.candidates[i].Engine, "")
		return
	}
	c.r.DataCentre, c.r.Region = dataCentre(n.region), region(n.region)
	cost := c.r.PromptTokens + n.lengths.Remaining(serving.LengthKey{Service: c.r.Service, Model: c.r.Model, Account: c.r.Account}, 0, 0.5)
	evicted, err := n.queue.Push(n.x.now, account.Item{Request: c.r, Cost: cost, Weight: c.weight})
	if evicted != nil {
		n.refuse(n.calls[evicted.Request.ID], "evicted")
	}
	if err != nil {
		n.refuse(c, string(serving.KindOf(err)))
		return
	}
	n.pump()
}

// pump starts as many queued requests as admission and slots permit.
func (n *modelEntry) pump() {
	if n.pumping || n.queue.Len() == 0 {
		n.wantSlots(0)
		return
	}
	n.pumping = true
	defer func() { n.pumping = false }()
	for {
		var engine serving.EngineID
		it, ok := n.queue.Pop(n.x.now, func(it *account.Item) account.Verdict {
			if n.reserved(it.Request.Account) {
				return account.Reserved
			}
			var ok bool
			if engine, ok = n.choose(it.Request); !ok {
				return account.NoRoom
			}
			return account.Start
		})

		if !ok {
			break
		}
		slot, ok := n.acquire(engine)
		if !ok {
			panic("load: chosen engine without a slot")
		}
		n.send(n.calls[it.Request.ID], engine, slot)
	}
	n.wantSlots(n.queue.Len())
}

// reserved tells whether the free slots of the region are kept from an account
// that has its share.
func (n *modelEntry) reserved(a serving.ClientAccountID) bool {
	r := n.x.cfg.Policy.Reserve
	if r == 0 || !n.queue.Backlogged(n.x.now, a, n.x.cfg.Policy.ReserveAfter) {
		return false
	}
	var free serving.Slots
	for _, e := range n.x.engines {
		if e.region == n.region {
			free += n.free(e.id)
		}
	}
	return free <= r
}

// wantSlots asks for slots in proportion to the queue: at the engines of the
// region at once, at a quarter of the others at a time after 100 ms, and at all
// engines while a data centre is out of service or when the queue is long. Each free
// slot holds memory for a generation, so that asking everywhere for every request
// leaves memory unused.
func (n *modelEntry) wantSlots(queued int) {
	if n.x.cfg.Policy.Slots != OwnerSlots {
		return
	}
	if queued == 0 {
		n.queuedFrom = n.x.now
	}
	all := len(n.x.engines)
	each := serving.Slots((queued + all - 1) / all)
	everywhere := n.x.cfg.Policy.RemoteDemand || n.x.out >= 0
	turn := -1
	if n.x.now-n.queuedFrom >= 100*time.Millisecond {
		turn = int(n.x.now / (200 * time.Millisecond) % 4)
	}
	for i, e := range n.x.engines {
		d := serving.Slots(queued / all)
		if everywhere || e.region == n.region || i%4 == turn {
			d = each
		}
		n.holders[e.id].SetDemand(d)
	}
}

// choose returns the engine for a request among those with a free slot.
func (n *modelEntry) choose(r *serving.Request) (serving.EngineID, bool) {
	all := n.tracker.Candidates(n.x.now, r, n.candidates[:0])
	n.candidates = all
	open := all[:0]
	for _, c := range all {
		if n.free(c.Engine) > 0 {
			open = append(open, c)
		}
	}
	i, err := n.placer.Place(n.x.now, r, open)
	if err != nil {
		return "", false
	}
	return open[i].Engine, true
}

func (n *modelEntry) free(id serving.EngineID) serving.Slots {
	switch n.x.cfg.Policy.Slots {
	case OwnerSlots:
		return n.holders[id].Free(n.x.now)
	case StaticSlots:
		return n.static[id].Free(n.x.now)
	default:
		return 1
	}
}

func (n *modelEntry) acquire(id serving.EngineID) (serving.SlotID, bool) {
	switch n.x.cfg.Policy.Slots {
	case OwnerSlots:
		s, ok := n.holders[id].Acquire(n.x.now)
		return s.ID, ok
	case StaticSlots:
		s, ok := n.static[id].Acquire(n.x.now)
		return s.ID, ok
	default:
		return "", true
	}
}

func (n *modelEntry) release(c *call) {
	if c.slot == "" {
		return
	}
	switch n.x.cfg.Policy.Slots {
	case OwnerSlots:
		n.holders[c.engine.id].Release(n.x.now, c.slot)
	case StaticSlots:
		n.static[c.engine.id].Release(n.x.now, c.slot)
	}
	c.slot = ""
}

// send starts an attempt of a call at an engine.
func (n *modelEntry) send(c *call, id serving.EngineID, slot serving.SlotID) {
	for _, e := range n.x.engines {
		if e.id == id {
			c.engine = e
		}
	}
	e, d := c.engine, n.x.delay(n.region, c.engine.region)
	n.generations++
	g := &run{request: c.r, id: serving.GenerationID(fmt.Sprintf("g%d-%d", n.index, n.generations)), answer: c.answer}
	c.run, c.slot, c.lastToken = g, slot, 0
	c.attempts++
	n.tracker.Sent(n.x.now, id, g.id, c.r)
	g.onToken = func(k serving.Tokens, last bool) {
		if last {
			n.x.after(d, func() { n.token(c, g, k, true) })
		} else if !g.canceled {
			n.token(c, g, k, false)
		}
	}
	g.onFailed = func() { n.x.after(d, func() { n.failed(c, g) }) }
	n.x.after(d, func() { e.start(g) })
}

// token takes in a token. All but the last are taken in without the constant
// delay of the link, which saves an event for each.
func (n *modelEntry) token(c *call, g *run, k serving.Tokens, last bool) {
	if c.run != g {
		return
	}
	now := n.x.now
	if k == 1 {
		n.tracker.FirstToken(now, c.engine.id, g.id)
		if c.measured {
			n.x.recorder.First(c.r.Account, now-c.at)
		}
	} else {
		n.tracker.Progress(now, c.engine.id, g.id, k)
		if c.measured {
			n.x.recorder.Between(c.r.Account, now-c.lastToken)
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
			cross = serving.Bytes(200*c.answer + 4*c.r.PromptTokens)
		}
		n.x.recorder.Completed(c.r.Account, c.answer, cross)
	}
	if s := int(now / time.Second); s < len(n.x.perSecond) {
		n.x.perSecond[s]++
	}
	n.pump()
}

func (n *modelEntry) finish(c *call) {
	n.release(c)
	c.run = nil
	delete(n.calls, c.r.ID)
}

// failed retries a call that had no token yet; a stream that had some is lost.
func (n *modelEntry) failed(c *call, g *run) {
	if c.run != g {
		return
	}
	n.tracker.Done(n.x.now, c.engine.id, g.id, dispatch.OutcomeFailed)
	n.release(c)
	c.run = nil
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

// giveUp cancels a call without a first token.
func (n *modelEntry) giveUp(c *call) {
	if n.calls[c.r.ID] != c || c.lastToken > 0 {
		return
	}
	if c.run != nil {
		c.run.canceled = true
		n.tracker.Slow(n.x.now, c.engine.id)
		n.tracker.Done(n.x.now, c.engine.id, c.run.id, dispatch.OutcomeCanceled)
		n.refuse(c, "gave_up")
		return
	}
	n.queue.Remove(c.r.ID)
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
