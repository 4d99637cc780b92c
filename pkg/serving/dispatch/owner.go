package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Owner grants the slots of one engine to all entries. A new Owner is created whenever
// ownership changes, its process restarts, or its process has missed an epoch (see
// [OwnerTerm]), because another entry may have been the owner in that epoch.
type Owner struct {
	cfg    SlotConfig
	engine serving.EngineID
	term   OwnerTerm
	// grantsFrom is the time from which this owner grants slots. Those of earlier owners
	// have expired by then.
	grantsFrom      time.Duration
	viewConfirmedAt time.Duration
	limit           serving.Slots
	noNewWork       bool
	incarnation     serving.Incarnation
	nextSlot        uint64
	slots           map[serving.SlotID]*ownedSlot
	entries         map[serving.HostID]*ownerEntry
	// ordered holds the values of entries in order of arrival, for reproducible sums.
	ordered []*ownerEntry
	reports []loadReport
	// inherited counts generations started under an earlier owner. It is unknown until
	// a load report has been made after all slots of that owner expired.
	inherited      serving.Slots
	inheritedAt    time.Duration
	inheritedKnown bool
	closed         bool
	// A slot is granted only if the memory forecast, with a typical generation
	// for each slot not in use, stays within memory at the quantile.
	memory   serving.Tokens
	quantile float64
	typical  serving.MemoryForecast
}

type ownedSlot struct {
	entry   EntryID
	expires time.Duration
	// lapsed is true once the slot has expired; its generation may still be running.
	lapsed bool
	// lastUse and running are from the latest request that lists the slot. The current
	// generation is known to have run from runningSince to runningUntil.
	lastUse                    uint32
	running                    bool
	runningSince, runningUntil time.Duration
}

type ownerEntry struct {
	id  EntryID
	seq uint64
	// replies holds the last two replies, the latest first. The entry's next request
	// acknowledges the older one if the latest was lost.
	replies [2]struct {
		seq uint64
		at  time.Duration
	}
	// wantsMore is true if the last request was granted fewer slots than it wanted.
	wantsMore     bool
	forecast      serving.MemoryForecast
	lastRequestAt time.Duration
}

type loadReport struct {
	at      time.Duration
	running serving.Slots
}

// Handover is the state that an owner passes to its successor.
type Handover struct {
	Slots     []HandoverSlot
	Inherited serving.Slots
}

// HandoverSlot is a slot that is outstanding or lapsed at the time of a [Handover].
type HandoverSlot struct {
	ID    serving.SlotID
	Entry EntryID
	// Remaining is the time until the slot expires; it is 0 or negative for a lapsed slot.
	Remaining time.Duration
	Lapsed    bool
}

// NewOwner returns an owner whose term starts now. Without a handover it grants nothing
// until all slots of earlier owners have expired: an earlier owner grants slots for at
// most ViewLease after the change, and they last for TTL.
func NewOwner(cfg SlotConfig, engine serving.EngineID, term OwnerTerm, now time.Duration, from *Handover) *Owner {
	cfg = cfg.withDefaults()
	o := &Owner{
		cfg: cfg, engine: engine, term: term, viewConfirmedAt: now - cfg.ViewLease,
		slots: map[serving.SlotID]*ownedSlot{}, entries: map[serving.HostID]*ownerEntry{},
	}
	if from == nil {
		o.grantsFrom = now + time.Duration(float64(cfg.ViewLease+cfg.TTL)*(1+cfg.MaxDrift))
		return o
	}
	o.grantsFrom, o.inheritedKnown = now, true
	o.inherited, o.inheritedAt = from.Inherited, now
	for _, s := range from.Slots {
		remaining := time.Duration(float64(s.Remaining) * (1 + cfg.MaxDrift))
		o.slots[s.ID] = &ownedSlot{entry: s.Entry, expires: now + remaining, lapsed: s.Lapsed}
	}
	return o
}

// Term returns the term under which this owner grants slots.
func (o *Owner) Term() OwnerTerm { return o.term }

// Handover ends this ownership and returns its state. The owner grants nothing
// afterwards. The result is nil if the number of inherited generations is not known yet.
func (o *Owner) Handover(now time.Duration) *Handover {
	o.expire(now)
	o.closed = true
	if !o.inheritedKnown {
		return nil
	}
	h := &Handover{Inherited: o.inherited}
	for id, s := range o.slots {
		h.Slots = append(h.Slots, HandoverSlot{ID: id, Entry: s.entry, Remaining: s.expires - now, Lapsed: s.lapsed})
	}
	slices.SortFunc(h.Slots, func(a, b HandoverSlot) int { return cmp.Compare(a.ID, b.ID) })
	return h
}

// ViewConfirmed records that the configuration view that names this owner was confirmed
// by a request sent at sentAt.
func (o *Owner) ViewConfirmed(sentAt time.Duration) {
	o.viewConfirmedAt = max(o.viewConfirmedAt, sentAt)
}

// SetLimit sets the engine's limit, which its [Ramp] determines.
func (o *Owner) SetLimit(limit serving.Slots) { o.limit = limit }

// SetMemory limits grants by the engine's memory. The quantile is the probability that
// the memory suffices, and typical is the forecast of one new generation. Entries
// decide on load information of different ages, so without this check several of them
// would fill the same free memory.
func (o *Owner) SetMemory(memory serving.Tokens, quantile float64, typical serving.MemoryForecast) {
	o.memory, o.quantile, o.typical = memory, quantile, typical
}

// SetNoNewWork stops grants while the engine is leaving or out of service.
func (o *Owner) SetNoNewWork(stop bool) { o.noNewWork = stop }

// Report records a load report of the engine. A restart of the engine ends the
// generations of earlier incarnations.
func (o *Owner) Report(now time.Duration, incarnation serving.Incarnation, l serving.Load) {
	if incarnation < o.incarnation {
		return
	}
	if incarnation > o.incarnation {
		if o.incarnation != 0 {
			o.dropEarlierGenerations()
		}
		o.incarnation = incarnation
	}
	if len(o.reports) >= 8 {
		o.reports = slices.Delete(o.reports, 0, 1)
	}
	running := l.Running + l.Queued
	o.reports = append(o.reports, loadReport{at: now, running: running})
	if !o.inheritedKnown && now >= o.grantsFrom+o.cfg.MaxReportLag {
		o.inheritedKnown, o.inherited, o.inheritedAt = true, running, now
	}
}

// dropEarlierGenerations drops the state that counts generations of earlier incarnations
// of the engine: load reports, inherited generations and lapsed slots.
func (o *Owner) dropEarlierGenerations() {
	o.reports = nil
	o.inherited = 0
	for id, s := range o.slots {
		if s.lapsed {
			delete(o.slots, id)
		}
	}
}

// Grant processes a slot request. It returns false if there is no reply: the request is
// outdated or for another engine, the ownership was handed over, or the owner's
// configuration view has expired.
func (o *Owner) Grant(now time.Duration, q SlotRequest) (SlotReply, bool) {
	if q.Engine != o.engine || o.closed || now-o.viewConfirmedAt >= o.cfg.ViewLease {
		return SlotReply{}, false
	}
	e := o.entries[q.Entry.Host]
	if e == nil || q.Entry.Incarnation > e.id.Incarnation {
		old := e
		e = &ownerEntry{id: q.Entry}
		o.entries[q.Entry.Host] = e
		o.ordered = append(slices.DeleteFunc(o.ordered, func(x *ownerEntry) bool { return x == old }), e)
	}
	if q.Entry.Incarnation < e.id.Incarnation || q.Seq <= e.seq {
		return SlotReply{}, false
	}
	e.seq, e.lastRequestAt, e.forecast = q.Seq, now, q.Forecast
	o.expire(now)
	o.reconcile(now, e, q)

	p := SlotReply{
		Engine: o.engine, Term: o.term, Seq: q.Seq, TTL: o.cfg.TTL,
		Incarnation: o.incarnation, Limit: o.limit,
	}
	o.renew(now, e, q, &p)
	granted := o.grant(now, e, q, &p)
	e.wantsMore = granted < q.Want
	if e.wantsMore {
		p.RetryAfter = o.cfg.TTL / 8
		if wait := o.grantsFrom - now; wait > 0 {
			p.RetryAfter = wait
		}
	}
	p.Reclaim = o.othersUnderserved(now, e)
	if o.memory > 0 {
		p.Others = o.forecast(e)
	}

	e.replies[1], e.replies[0].seq, e.replies[0].at = e.replies[0], q.Seq, now
	return p, true
}

// reconcile updates the entry's slots to those that its request lists.
func (o *Owner) reconcile(now time.Duration, e *ownerEntry, q SlotRequest) {
	held := make(map[serving.SlotID]bool, len(q.Held))
	var ackAt time.Duration
	for _, r := range e.replies {
		if r.seq == q.Ack {
			ackAt = r.at
		}
	}
	for _, h := range q.Held {
		held[h.ID] = true
		s := o.slots[h.ID]
		if s == nil && h.Running {
			// The generation started under an earlier owner, or was counted as ended too early.
			s = &ownedSlot{entry: e.id}
			o.slots[h.ID] = s
		}
		if s == nil {
			continue
		}
		if !h.Running || !s.running || s.lastUse != h.LastUse {
			s.runningSince = now
		}
		s.lastUse, s.running = h.LastUse, h.Running
		// The request describes a time after ackAt, because the holder sent it after
		// it received the reply that it acknowledges.
		s.runningUntil = ackAt
	}
	for id, s := range o.slots {
		if s.entry == e.id && !held[id] {
			delete(o.slots, id)
		}
	}
}

// renew extends the entry's slots. If the limit was reduced or other entries lack
// slots, the excess slots are retired when in use and left to expire when free.
func (o *Owner) renew(now time.Duration, e *ownerEntry, q SlotRequest, p *SlotReply) {
	renewals := o.maxRenewals(now, e)
	idleAllowance := o.maxIdleSlots()

	for _, s := range o.slots {
		if s.entry != e.id && !s.lapsed && !s.running {
			idleAllowance--
		}
	}
	for _, h := range q.Held {
		s := o.slots[h.ID]
		if s == nil {
			continue
		}
		switch {
		case renewals > 0 && !s.lapsed && (h.Running || idleAllowance > 0):
			renewals--
			if !h.Running {
				idleAllowance--
			}
			p.Slots = append(p.Slots, h.ID)
		case h.Running:
			p.Retired = append(p.Retired, h.ID)
		default:
			continue
		}
		s.expires, s.lapsed = now+o.cfg.TTL, false
	}
}

// maxRenewals returns how many of its slots an entry may renew.
func (o *Owner) maxRenewals(now time.Duration, e *ownerEntry) serving.Slots {
	// Above the limit no slot may be reused: each generation that ends would be
	// replaced by one above the limit.
	if !o.mayGrant(now) || o.usage(now) > o.limit {
		return 0
	}
	renewals := o.slotCount(e)
	if o.othersUnderserved(now, e) {
		renewals = min(renewals, o.fairShare(now))
	}
	return renewals
}

func (o *Owner) slotCount(e *ownerEntry) serving.Slots {
	var n serving.Slots
	for _, s := range o.slots {
		if s.entry == e.id {
			n++
		}
	}
	return n
}

// grant adds new slots to the reply and returns their number.
func (o *Owner) grant(now time.Duration, e *ownerEntry, q SlotRequest, p *SlotReply) serving.Slots {
	if !o.mayGrant(now) {
		return 0
	}
	n := min(q.Want, o.limit-o.usage(now))
	if o.othersUnderserved(now, e) {
		n = min(n, o.fairShare(now)-serving.Slots(len(p.Slots)+len(p.Retired)))
	}
	idleAllowance := o.maxIdleSlots()
	for _, s := range o.slots {
		if !s.lapsed && !s.running {
			idleAllowance--
		}
	}
	n = max(0, min(n, idleAllowance))
	for range n {
		o.nextSlot++
		id := serving.SlotID(fmt.Sprintf("%s/%d/%d/%d", o.term.Owner.Host, o.term.Owner.Incarnation, o.term.Epoch, o.nextSlot))
		o.slots[id] = &ownedSlot{entry: e.id, expires: now + o.cfg.TTL}
		p.Slots = append(p.Slots, id)
	}
	return n
}

func (o *Owner) mayGrant(now time.Duration) bool {
	return now >= o.grantsFrom && o.inheritedKnown && !o.noNewWork && o.limit > 0
}

// othersUnderserved reports whether another entry lacks slots and has less than its
// fair share. Once all entries have their fair share, the remaining slots go to any
// entry that requests them.
func (o *Owner) othersUnderserved(now time.Duration, e *ownerEntry) bool {
	share := o.fairShare(now)
	for _, x := range o.entries {
		if x != e && x.wantsMore && now-x.lastRequestAt < o.cfg.TTL && o.slotCount(x) < share {
			return true
		}
	}
	return false
}

// fairShare returns the limit divided by the number of active entries.
func (o *Owner) fairShare(now time.Duration) serving.Slots {
	active := serving.Slots(0)
	for _, x := range o.entries {
		if now-x.lastRequestAt < o.cfg.TTL {
			active++
		}
	}
	return max(1, o.limit/max(1, active))
}

// forecast returns the memory forecast of the generations that the entries other than e
// run or may start. A generation under a lapsed slot is part of its entry's last forecast.
func (o *Owner) forecast(e *ownerEntry) serving.MemoryForecast {
	var f serving.MemoryForecast
	for _, x := range o.ordered {
		if x != e {
			f.Merge(&x.forecast, 1)
		}
	}
	var idle serving.Slots
	for _, s := range o.slots {
		if !s.lapsed && !s.running && (e == nil || s.entry != e.id) {
			idle++
		}
	}
	f.Merge(&o.typical, idle)
	return f
}

// maxIdleSlots returns how many slots without a running generation fit in memory.
func (o *Owner) maxIdleSlots() serving.Slots {
	if o.memory == 0 {
		return math.MaxInt32
	}
	var running serving.MemoryForecast
	for _, x := range o.ordered {
		running.Merge(&x.forecast, 1)
	}
	if running.Generations == 0 {
		// An idle engine accepts at least one generation, whatever its length.
		return max(1, o.fittingSlots(&running))
	}
	return o.fittingSlots(&running)
}

// fittingSlots returns how many typical generations fit in memory beside the
// running ones.
func (o *Owner) fittingSlots(running *serving.MemoryForecast) serving.Slots {
	low, high := serving.Slots(0), o.limit
	for low < high {
		mid := (low + high + 1) / 2
		f := *running
		f.Merge(&o.typical, mid)
		if excess(&f, o.quantile, float64(o.memory)) <= 0 {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low
}

func (o *Owner) expire(now time.Duration) {
	for _, x := range o.entries {
		// An entry that has sent no request for this long is considered failed; the
		// engine ends generations that no entry resumes.
		if now-x.lastRequestAt > 10*o.cfg.TTL {
			x.forecast = serving.MemoryForecast{}
		}
	}
	for id, s := range o.slots {
		if now >= s.expires {
			s.lapsed = true
		}
		if now >= s.expires+o.cfg.LapsedRetention {
			delete(o.slots, id)
		}
	}
}

// Usage returns the number of generations that run or may start now.
func (o *Owner) Usage(now time.Duration) serving.Slots {
	o.expire(now)
	return o.usage(now)
}

// usage returns the larger of two counts: the outstanding slots plus the generations
// that run without one, and the generations that the engine reports. A generation keeps
// running when its slot is not renewed. If the first count did not include it, its
// capacity would be granted a second time.
func (o *Owner) usage(now time.Duration) serving.Slots {
	var outstanding, lapsed serving.Slots
	lapsedAt := o.inheritedAt
	for _, s := range o.slots {
		if s.lapsed {
			lapsed++
			lapsedAt = max(lapsedAt, s.expires)
		} else {
			outstanding++
		}
	}
	withoutSlot := lapsed + o.inherited
	var reported serving.Slots
	for _, r := range o.reports {
		reported = r.running
		if withoutSlot > 0 && r.at >= lapsedAt+o.cfg.MaxReportLag {
			withoutSlot = min(withoutSlot, max(0, r.running-o.runningAt(r.at)))
		}
	}
	if lapsed == 0 {
		o.inherited = min(o.inherited, withoutSlot)
	}
	return max(outstanding+withoutSlot, reported)
}

// runningAt returns how many generations are known to have run under outstanding slots
// when a report that arrived at the given time was made.
func (o *Owner) runningAt(at time.Duration) serving.Slots {
	var n serving.Slots
	for _, s := range o.slots {
		if !s.lapsed && s.running && s.runningSince <= at-o.cfg.MaxReportLag && s.runningUntil >= at {
			n++
		}
	}
	return n
}
