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
	// dispatchTick is the time between looks at reports, deadlines and due requests.
	dispatchTick = 50 * time.Millisecond
	// firstTokenLead is the time from a start to a first token that a deadline must leave.
	firstTokenLead = 400 * time.Millisecond
	// memoryRisk is the share of load reports that may show a preemption.
	memoryRisk = 0.005
	// reservedSlots are kept free for accounts below their share from accounts that
	// have waited without a break for reserveAfter.
	reservedSlots = 2
	reserveAfter  = 5 * time.Second
	// queueCredit is the service in tokens per weight that an account which had
	// less than its share may catch up on.
	queueCredit = 10_000
	// affinityBound is the largest ratio to the mean load that affinity accepts.
	affinityBound = 1.25
	// One-way delays that placement assumes between places.
	sameRegionDelay  = time.Millisecond
	otherRegionDelay = 10 * time.Millisecond
)

// dispatcher decides which request starts when and where. It keeps the requests
// that wait, grants the slots of the engines that this entry owns and holds slots
// of those that it uses. One goroutine owns its state.
type dispatcher struct {
	entry  *Entry
	cfg    dispatch.SlotConfig
	self   dispatch.EntryID
	events chan func()
	// ctx ends with the goroutine.
	ctx  context.Context
	stop context.CancelFunc

	ownership engine.Ownership
	owned     map[serving.EngineID]*ownedEngine
	held      map[serving.EngineID]*heldEngine
	wasOut    map[serving.DataCentreID]bool
	// outRevision is the revision of the view that wasOut was read from.
	outRevision serving.Revision

	tracker     *dispatch.Tracker
	lengths     *dispatch.Lengths
	calibration *dispatch.Calibration
	placer      serving.Placer
	queue       *account.Queue
	limits      *limits
	waiting     map[serving.RequestID]*waiter
	reports     map[serving.EngineID]report
	candidates  []serving.Candidate
	pumping     bool
}

// waiter is a request that waits for an engine.
type waiter struct {
	request *serving.Request
	// avoid has the engines that failed it; they are taken only when no other is left.
	avoid   map[serving.EngineID]bool
	weight  float64
	started chan start
	// cost is the number of tokens that the account was charged in advance.
	cost serving.Tokens
}

// start is the outcome of waiting.
type start struct {
	engine     serving.EngineID
	slot       dispatch.Slot
	generation serving.GenerationID
	// account is a slot of the account, if its requests in progress are limited.
	account dispatch.Slot
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
	settle := time.Duration(float64(cfg.ViewLease+cfg.TTL) * (1 + slotDrift))
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &dispatcher{
		entry:       e,
		cfg:         cfg,
		self:        dispatch.EntryID{Host: e.Settings.Host, Incarnation: incarnation},
		events:      make(chan func(), 1024),
		ownership:   engine.Ownership{Self: e.Settings.Host, SettleTime: settle},
		owned:       map[serving.EngineID]*ownedEngine{},
		held:        map[serving.EngineID]*heldEngine{},
		wasOut:      map[serving.DataCentreID]bool{},
		lengths:     dispatch.NewLengths(dispatch.LengthsConfig{}),
		calibration: dispatch.NewCalibration(memoryRisk),
		queue:       account.NewQueue(account.QueueConfig{TimeToFirstToken: firstTokenLead, Credit: queueCredit}),
		waiting:     map[serving.RequestID]*waiter{},
		reports:     map[serving.EngineID]report{},
	}
	s.limits = newLimits(s)
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.tracker = dispatch.NewTracker(dispatch.TrackerConfig{
		Lengths: s.lengths, Random: random,
		Distance: s.distance, InService: s.inService,
		StaleAfter: engine.DefaultSuspectAfter,
		Breaker:    dispatch.BreakerConfig{Random: random},
	})
	s.placer = newPlacer(e.Settings.Entry.Placement, s, random)
	return s
}

// newPlacer returns the placement policy of the settings.
func newPlacer(name string, s *dispatcher, random serving.Random) serving.Placer {
	switch name {
	case "round_robin":
		return &dispatch.RoundRobin{}
	case "least_in_flight":
		return &dispatch.LeastInFlight{}
	}
	admitter := &dispatch.MemoryAdmitter{Lengths: s.lengths, Calibration: s.calibration}
	p := dispatch.NewAffinity(&dispatch.CostPlacer{Lengths: s.lengths, Random: random, Admitter: admitter}, affinityBound)
	p.Admitter = admitter
	return p
}

// run is the goroutine that owns the state.
func (s *dispatcher) run(ctx context.Context) {
	defer s.stop()
	ticker := time.NewTicker(dispatchTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.events:
			f()
		case <-ticker.C:
			s.tick()
		}
	}
}

func (s *dispatcher) tick() {
	b := s.entry.board.load()
	s.takeReports(b)
	s.updateOwned(b)
	for _, it := range s.queue.Expired(s.entry.Clock.Now()) {
		s.refuse(it.Request.ID, serving.NewError(serving.KindDeadline, "no engine had room before the deadline").WithRetryAfter(time.Second))
	}
	s.pump()
	s.updateHeld(b)
	s.limits.tick(s.entry.Clock.Now())
}

// do runs f on the goroutine that owns the state.
func (s *dispatcher) do(ctx context.Context, f func()) bool {
	select {
	case s.events <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// wait queues a request until an engine has room for it, and returns where it
// starts. The slot must be released when the generation has ended.
func (s *dispatcher) wait(ctx context.Context, w *waiter) start {
	w.started = make(chan start, 1)
	if !s.do(ctx, func() { s.push(w) }) {
		return start{err: errCallerGone}
	}
	select {
	case st := <-w.started:
		return st
	case <-ctx.Done():
	}
	s.do(s.ctx, func() { s.withdraw(w) })
	return start{err: errCallerGone}
}

func (s *dispatcher) push(w *waiter) {
	r := w.request
	now := s.entry.Clock.Now()
	w.cost = r.PromptTokens + s.lengths.Remaining(serving.LengthKey{Service: r.Service, Model: r.Model, Account: r.Account}, 0, 0.5)
	if r.MaxTokens > 0 {
		w.cost = min(w.cost, r.PromptTokens+r.MaxTokens)
	}
	if err := s.limits.take(now, r.Account, w.cost); err != nil {
		w.started <- start{err: err}
		return
	}
	evicted, err := s.queue.Push(now, account.Item{Request: r, Cost: w.cost, Weight: w.weight})
	if evicted != nil {
		s.refuse(evicted.Request.ID, s.queue.EvictionError(evicted))
	}
	if err != nil {
		s.limits.tokens.Charge(now, r.Account, -w.cost)
		w.started <- start{err: err}
		return
	}
	s.waiting[r.ID] = w
	s.pump()
}

// withdraw ends the waiting of a caller that has left.
func (s *dispatcher) withdraw(w *waiter) {
	select {
	case st := <-w.started:
		if st.err == nil {
			s.tracker.Done(s.entry.Clock.Now(), st.engine, st.generation, dispatch.OutcomeCanceled)
			s.giveBack(st.slot)
			s.giveBack(st.account)
			s.limits.tokens.Charge(s.entry.Clock.Now(), w.request.Account, -w.cost)
		}
	default:
		s.queue.Remove(w.request.ID)
		delete(s.waiting, w.request.ID)
		s.limits.tokens.Charge(s.entry.Clock.Now(), w.request.Account, -w.cost)
	}
	s.pump()
}

func (s *dispatcher) refuse(id serving.RequestID, err error) {
	if w := s.waiting[id]; w != nil {
		delete(s.waiting, id)
		s.limits.tokens.Charge(s.entry.Clock.Now(), w.request.Account, -w.cost)
		w.started <- start{err: err}
	}
}

// pump starts as many waiting requests as placement and slots permit.
func (s *dispatcher) pump() {
	if s.pumping {
		return
	}
	s.pumping = true
	defer func() { s.pumping = false }()
	for s.queue.Len() > 0 {
		var chosen serving.EngineID
		now := s.entry.Clock.Now()
		it, ok := s.queue.Pop(now, func(it *account.Item) account.Verdict {
			if !s.hasAccountSlot(now, it.Request.Account) || s.reserved(now, it.Request.Account) {
				return account.Reserved
			}
			var ok bool
			if chosen, ok = s.choose(now, s.waiting[it.Request.ID]); !ok {
				return account.NoRoom
			}
			return account.Start
		})
		if !ok {
			break
		}
		s.begin(now, s.waiting[it.Request.ID], chosen)
	}
	s.wantSlots()
}

// reserved tells whether the last free slots of the region are kept from an
// account that has had its share for long.
func (s *dispatcher) reserved(now time.Duration, id serving.ClientAccountID) bool {
	if !s.queue.Backlogged(now, id, reserveAfter) {
		return false
	}
	var free serving.Slots
	for engineID, h := range s.held {
		if n := s.entry.board.load().Engines[engineID]; n != nil && n.Region == s.entry.Settings.Region {
			free += h.holder.Free(now)
		}
	}
	return free <= reservedSlots
}

// begin gives a waiting request the slot of the chosen engine.
func (s *dispatcher) begin(now time.Duration, w *waiter, id serving.EngineID) {
	st := start{engine: id, generation: serving.GenerationID(newID()), cost: w.cost}
	var ok bool
	if st.slot, ok = s.holderOf(id).holder.Acquire(now); !ok {
		st.err = serving.NewError(serving.KindOverloaded, "engine "+string(id)+" has no free slot").WithRetryAfter(time.Second)
	} else {
		st.account = s.takeAccountSlot(now, w.request.Account)
		s.tracker.Sent(now, id, st.generation, w.request)
	}
	delete(s.waiting, w.request.ID)
	w.started <- st
}

// choose returns the engine for a request among those with a free slot.
func (s *dispatcher) choose(now time.Duration, w *waiter) (serving.EngineID, bool) {
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

// wantSlots asks for slots of the engines that could take what waits.
func (s *dispatcher) wantSlots() {
	for _, h := range s.held {
		h.holder.SetDemand(0)
	}
	if len(s.waiting) == 0 {
		return
	}
	s.wantAccountSlots()
	now := s.entry.Clock.Now()
	for _, w := range s.waiting {
		s.candidates = s.tracker.Candidates(now, w.request, s.candidates[:0])
		each := serving.Slots((len(s.waiting) + len(s.candidates) - 1) / max(1, len(s.candidates)))
		for _, c := range s.candidates {
			h := s.holderOf(c.Engine)
			h.holder.SetDemand(each)
			s.request(c.Engine, h)
		}
		break // The requests of one entry mostly ask for the same engines.
	}
}
