package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/account"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

const (
	// dispatchTick is the interval at which load reports, deadlines and due slot
	// requests are processed.
	dispatchTick = 50 * time.Millisecond
	// timeToFirstToken is the expected time from the start of a request to its first
	// token. Requests whose deadline is sooner are not started.
	timeToFirstToken = 400 * time.Millisecond
	// targetPreemptionRate is the accepted share of load reports that show a
	// preemption.
	targetPreemptionRate = 0.005
	// An account that had a backlog for reserveAfter without a break gets none of the
	// last reserveSlots free slots of the region. They are kept for accounts below
	// their share.
	reserveSlots = 2
	reserveAfter = 5 * time.Second
	// maxQueueCredit bounds how much an account that used less than its share can catch
	// up on, in tokens per unit of weight.
	maxQueueCredit = 10_000
	// affinityLoadBound is the highest load relative to the mean load at which affinity
	// still selects an engine. Affinity sends requests of the same session, or with the
	// same prompt prefix, to the same engine.
	affinityLoadBound = 1.25
	// One-way network delays that placement assumes to engines in other data centres.
	sameRegionDelay  = time.Millisecond
	otherRegionDelay = 10 * time.Millisecond
)

// dispatcher decides when and where each request starts. It queues the requests that
// wait, grants the slots of the engines that this entry owns, and holds slots of the
// engines that this entry uses. Its own goroutine owns its state.
type dispatcher struct {
	entry *Entry
	cfg   dispatch.SlotConfig
	self  dispatch.EntryID
	// tasks are functions that run on the dispatcher's goroutine.
	tasks chan func()
	// ctx ends when the goroutine returns.
	ctx  context.Context
	stop context.CancelFunc

	ownership engine.Ownership
	// owned and held also have the accounts with a limit, under their accountOwnerKey.
	owned map[serving.EngineID]*slotOwner
	held  map[serving.EngineID]*slotHolder
	// outOfService is whether operators have taken a data centre out of service, as of
	// outOfServiceRevision.
	outOfService map[serving.DataCentreID]bool
	// outOfServiceRevision is the revision of the view that outOfService was read from.
	outOfServiceRevision serving.Revision

	tracker *dispatch.Tracker
	// lengths estimates the lengths of answers.
	lengths *dispatch.Lengths
	// calibration adjusts the quantile at which memory use is predicted, so that
	// preemptions stay near targetPreemptionRate.
	calibration *dispatch.Calibration
	placer      serving.Placer
	queue       *account.Queue
	limits      *limits
	waiting     map[serving.RequestID]*waitingRequest
	reports     map[serving.EngineID]engineReport
	candidates  []serving.Candidate
	// starting is true while startWaiting runs, which can be reached recursively.
	starting bool
}

// waitingRequest is a request that waits for an engine.
type waitingRequest struct {
	request *serving.Request
	// avoid lists the engines that failed the request. It is nil if no other is left.
	avoid  map[serving.EngineID]bool
	weight float64
	// placed receives the result once.
	placed chan placement
	// cost is the number of tokens that the account was charged in advance.
	cost serving.Tokens
}

// placement is the result of scheduling a request: the engine and the slots, or an
// error.
type placement struct {
	engine     serving.EngineID
	slot       dispatch.Slot
	generation serving.GenerationID
	// accountSlot is a slot of the account. It is empty if the account's requests in
	// progress are not limited.
	accountSlot dispatch.Slot
	// cost is the number of tokens that the account was charged in advance.
	cost serving.Tokens
	err  error
}

func newDispatcher(e *Entry, incarnation serving.Incarnation) *dispatcher {
	cfg := dispatch.SlotConfig{
		TTL:          e.Settings.Entry.SlotTTL.Duration,
		ViewLease:    e.Settings.Entry.ViewLease.Duration,
		MaxDrift:     slotDrift,
		MaxReportLag: slotReportLag,
	}
	settleTime := time.Duration(float64(cfg.ViewLease+cfg.TTL) * (1 + slotDrift))
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &dispatcher{
		entry:        e,
		cfg:          cfg,
		self:         dispatch.EntryID{Host: e.Settings.Host, Incarnation: incarnation},
		tasks:        make(chan func(), 1024),
		ownership:    engine.Ownership{Self: e.Settings.Host, SettleTime: settleTime},
		owned:        map[serving.EngineID]*slotOwner{},
		held:         map[serving.EngineID]*slotHolder{},
		outOfService: map[serving.DataCentreID]bool{},
		lengths:      dispatch.NewLengths(dispatch.LengthsConfig{}),
		calibration:  dispatch.NewCalibration(targetPreemptionRate),
		queue:        account.NewQueue(account.QueueConfig{TimeToFirstToken: timeToFirstToken, Credit: maxQueueCredit}),
		waiting:      map[serving.RequestID]*waitingRequest{},
		reports:      map[serving.EngineID]engineReport{},
	}
	s.limits = newLimits(s)
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.tracker = dispatch.NewTracker(dispatch.TrackerConfig{
		Lengths: s.lengths, Random: random,
		NetworkDelay: s.networkDelay, InService: s.inService,
		StaleAfter: engine.DefaultSuspectAfter,
		Breaker:    dispatch.BreakerConfig{Random: random},
	})
	s.placer = newPlacer(e.Settings.Entry.Placement, s, random)
	return s
}

// newPlacer returns the placement policy that the settings name, or the cost-based one
// with affinity by default.
func newPlacer(name string, s *dispatcher, random serving.Random) serving.Placer {
	switch name {
	case "round_robin":
		return &dispatch.RoundRobin{}
	case "least_in_flight":
		return &dispatch.LeastInFlight{}
	}
	admitter := &dispatch.MemoryAdmitter{Lengths: s.lengths, Calibration: s.calibration}
	p := dispatch.NewAffinity(&dispatch.CostPlacer{Lengths: s.lengths, Random: random, Admitter: admitter}, affinityLoadBound)
	p.Admitter = admitter
	return p
}

// run processes tasks and ticks until ctx ends.
func (s *dispatcher) run(ctx context.Context) {
	defer s.stop()
	ticker := time.NewTicker(dispatchTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.tasks:
			f()
		case <-ticker.C:
			s.tick()
		}
	}
}

// tick does the work that depends on time or on new reports.
func (s *dispatcher) tick() {
	b := s.entry.board.load()
	s.processReports(b)
	s.updateOwned(b)
	for _, it := range s.queue.Expired(s.entry.Clock.Now()) {
		s.refuse(it.Request.ID, serving.NewError(serving.KindDeadline, "no engine had room before the deadline").WithRetryAfter(time.Second))
	}
	s.startWaiting()
	s.updateHeld(b)
	s.limits.tick(s.entry.Clock.Now())
}

// submit passes f to the dispatcher's goroutine. It returns false if ctx ended before.
func (s *dispatcher) submit(ctx context.Context, f func()) bool {
	select {
	case s.tasks <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// schedule queues a request until an engine has room for it, and returns where it
// starts. The caller must release the slots when the generation has ended.
func (s *dispatcher) schedule(ctx context.Context, w *waitingRequest) placement {
	w.placed = make(chan placement, 1)
	if !s.submit(ctx, func() { s.enqueue(w) }) {
		return placement{err: errCallerGone}
	}
	select {
	case p := <-w.placed:
		return p
	case <-ctx.Done():
	}
	s.submit(s.ctx, func() { s.cancelWaiting(w) })
	return placement{err: errCallerGone}
}

// enqueue charges the account for a request in advance and queues it. If the account is
// over its limit or the queue is full, it delivers an error instead.
func (s *dispatcher) enqueue(w *waitingRequest) {
	r := w.request
	now := s.entry.Clock.Now()
	w.cost = r.PromptTokens + s.lengths.Remaining(serving.LengthKey{Service: r.Service, Model: r.Model, Account: r.Account}, 0, 0.5)
	if r.MaxTokens > 0 {
		w.cost = min(w.cost, r.PromptTokens+r.MaxTokens)
	}
	if err := s.limits.take(now, r.Account, w.cost); err != nil {
		w.placed <- placement{err: err}
		return
	}
	evicted, err := s.queue.Push(now, account.Item{Request: r, Cost: w.cost, Weight: w.weight})
	if evicted != nil {
		s.refuse(evicted.Request.ID, s.queue.EvictionError(evicted))
	}
	if err != nil {
		s.limits.tokens.Charge(now, r.Account, -w.cost)
		w.placed <- placement{err: err}
		return
	}
	s.waiting[r.ID] = w
	s.startWaiting()
}

// cancelWaiting removes the request of a caller that has disconnected, and undoes its
// placement if it was placed in the meantime.
func (s *dispatcher) cancelWaiting(w *waitingRequest) {
	select {
	case p := <-w.placed:
		if p.err == nil {
			s.tracker.Done(s.entry.Clock.Now(), p.engine, p.generation, dispatch.OutcomeCanceled)
			s.releaseSlot(p.slot)
			s.releaseSlot(p.accountSlot)
			s.limits.tokens.Charge(s.entry.Clock.Now(), w.request.Account, -w.cost)
		}
	default:
		s.queue.Remove(w.request.ID)
		delete(s.waiting, w.request.ID)
		s.limits.tokens.Charge(s.entry.Clock.Now(), w.request.Account, -w.cost)
	}
	s.startWaiting()
}

// refuse delivers an error to a waiting request and refunds its account.
func (s *dispatcher) refuse(id serving.RequestID, err error) {
	if w := s.waiting[id]; w != nil {
		delete(s.waiting, id)
		s.limits.tokens.Charge(s.entry.Clock.Now(), w.request.Account, -w.cost)
		w.placed <- placement{err: err}
	}
}

// startWaiting starts as many waiting requests as placement and slots permit.
func (s *dispatcher) startWaiting() {
	if s.starting {
		return
	}
	s.starting = true
	defer func() { s.starting = false }()
	for s.queue.Len() > 0 {
		var chosen serving.EngineID
		now := s.entry.Clock.Now()
		it, ok := s.queue.Pop(now, func(it *account.Item) account.Verdict {
			if !s.hasAccountSlot(now, it.Request.Account) || s.blockedByReserve(now, it.Request.Account) {
				return account.Reserved
			}
			var ok bool
			if chosen, ok = s.chooseEngine(now, s.waiting[it.Request.ID]); !ok {
				return account.NoRoom
			}
			return account.Start
		})
		if !ok {
			break
		}
		s.startRequest(now, s.waiting[it.Request.ID], chosen)
	}
	s.requestSlots()
}

// blockedByReserve reports whether the account has had a backlog for a long time and
// only the reserved slots of the region are free.
func (s *dispatcher) blockedByReserve(now time.Duration, id serving.ClientAccountID) bool {
	if !s.queue.Backlogged(now, id, reserveAfter) {
		return false
	}
	var free serving.Slots
	for engineID, h := range s.held {
		if n := s.entry.board.load().Engines[engineID]; n != nil && n.Region == s.entry.Settings.Region {
			free += h.holder.Free(now)
		}
	}
	return free <= reserveSlots
}

// startRequest reserves a slot of the chosen engine for a waiting request and delivers
// its placement.
func (s *dispatcher) startRequest(now time.Duration, w *waitingRequest, id serving.EngineID) {
	p := placement{engine: id, generation: serving.GenerationID(newID()), cost: w.cost}
	var ok bool
	if p.slot, ok = s.holderOf(id).holder.Acquire(now); !ok {
		p.err = serving.NewError(serving.KindOverloaded, "engine "+string(id)+" has no free slot").WithRetryAfter(time.Second)
	} else {
		p.accountSlot = s.acquireAccountSlot(now, w.request.Account)
		s.tracker.Sent(now, id, p.generation, w.request)
	}
	delete(s.waiting, w.request.ID)
	w.placed <- p
}

// chooseEngine returns the engine for a request among those with a free slot, or false
// if placement accepts none.
func (s *dispatcher) chooseEngine(now time.Duration, w *waitingRequest) (serving.EngineID, bool) {
	s.candidates = s.tracker.Candidates(now, w.request, s.candidates[:0])
	open := make([]serving.Candidate, 0, len(s.candidates))
	for _, c := range s.candidates {
		if h := s.held[c.Engine]; h != nil && h.holder.Free(now) > 0 && !w.avoid[c.Engine] {
			open = append(open, c)
		}
	}
	if i, err := s.placer.Place(now, w.request, open); err == nil {
		return open[i].Engine, true
	}
	return "", false
}

// requestSlots requests slots of the engines that can serve the waiting requests.
func (s *dispatcher) requestSlots() {
	for _, h := range s.held {
		h.holder.SetDemand(0)
	}
	if len(s.waiting) == 0 {
		return
	}
	s.requestAccountSlots()
	now := s.entry.Clock.Now()
	for _, w := range s.waiting {
		s.candidates = s.tracker.Candidates(now, w.request, s.candidates[:0])
		each := serving.Slots((len(s.waiting) + len(s.candidates) - 1) / max(1, len(s.candidates)))
		for _, c := range s.candidates {
			h := s.holderOf(c.Engine)
			h.holder.SetDemand(each)
			s.request(c.Engine, h)
		}
		break // One request suffices: the requests of an entry mostly have the same candidates.
	}
}
