package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Owner grants the slots of one engine to all entries together. A new Owner is
// made at each change of ownership, at each restart of its process, and also when
// its process has missed an epoch, in which another entry may have been owner.
type Owner struct {
	cfg         SlotConfig
	engine      serving.EngineID
	term        OwnerTerm
	grantsFrom  time.Duration
	confirmedAt time.Duration
	limit       serving.Slots
	noNewWork   bool
	incarnation serving.Incarnation
	nextSlot    uint64
	slots       map[serving.SlotID]*ownedSlot
	entries     map[serving.HostID]*ownerEntry
	// ordered holds the same entries in order of arrival, for reproducible sums.
	ordered []*ownerEntry
	reports []slotReport
	// inherited counts generations that were started under an earlier owner;
	// it is unknown until a report was made after all of its slots expired.
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
	lapsed  bool
	// The current use is known to have run from since until until.
	uses         uint32
	running      bool
	since, until time.Duration
}

type ownerEntry struct {
	id      EntryID
	seq     uint64
	replies [2]struct {
		seq uint64
		at  time.Duration
	}
	lacking   bool
	forecast  serving.MemoryForecast
	heardFrom time.Duration
}

type slotReport struct {
	at      time.Duration
	running serving.Slots
}

// Handover is the state that an owner passes to the next one.
type Handover struct {
	Slots     []HandedSlot
	Inherited serving.Slots
}

// HandedSlot is a slot in a Handover.
type HandedSlot struct {
	ID    serving.SlotID
	Entry EntryID
	// Left is the time until it expires.
	Left   time.Duration
	Lapsed bool
}

// NewOwner returns the owner of an engine from now on. Without a handover it
// grants nothing until all slots of earlier owners have expired: these grant
// for at most the view lease after the change, and their slots last for TTL.
func NewOwner(cfg SlotConfig, engine serving.EngineID, term OwnerTerm, now time.Duration, from *Handover) *Owner {
	cfg = cfg.withDefaults()
	o := &Owner{
		cfg: cfg, engine: engine, term: term, confirmedAt: now - cfg.ViewLease,
		slots: map[serving.SlotID]*ownedSlot{}, entries: map[serving.HostID]*ownerEntry{},
	}
	if from == nil {
		o.grantsFrom = now + time.Duration(float64(cfg.ViewLease+cfg.TTL)*(1+cfg.MaxDrift))
		return o
	}
	o.grantsFrom, o.inheritedKnown = now, true
	o.inherited, o.inheritedAt = from.Inherited, now
	for _, s := range from.Slots {
		left := time.Duration(float64(s.Left) * (1 + cfg.MaxDrift))
		o.slots[s.ID] = &ownedSlot{entry: s.Entry, expires: now + left, lapsed: s.Lapsed}
	}
	return o
}

// Term returns the owner's term.
func (o *Owner) Term() OwnerTerm { return o.term }

// Handover ends this ownership and returns its state. The owner grants nothing
// afterwards. It returns nil while the owner itself does not know everything.
func (o *Owner) Handover(now time.Duration) *Handover {
	o.expire(now)
	o.closed = true
	if !o.inheritedKnown {
		return nil
	}
	h := &Handover{Inherited: o.inherited}
	for id, s := range o.slots {
		h.Slots = append(h.Slots, HandedSlot{ID: id, Entry: s.entry, Left: s.expires - now, Lapsed: s.lapsed})
	}
	slices.SortFunc(h.Slots, func(a, b HandedSlot) int { return cmp.Compare(a.ID, b.ID) })
	return h
}

// ViewConfirmed records that the configuration view, which names this owner, was
// confirmed by a request sent at the given time.
func (o *Owner) ViewConfirmed(sentAt time.Duration) { o.confirmedAt = max(o.confirmedAt, sentAt) }

// SetLimit sets the engine's limit, as the ramp says.
func (o *Owner) SetLimit(limit serving.Slots) { o.limit = limit }

// SetMemory makes the grants depend on the engine's memory: the quantile is the
// probability that it suffices, typical the forecast of one new generation. The
// entries decide with views of different age, so that without this check several
// of them would fill the same free memory.
func (o *Owner) SetMemory(memory serving.Tokens, quantile float64, typical serving.MemoryForecast) {
	o.memory, o.quantile, o.typical = memory, quantile, typical
}

// SetNoNewWork stops grants to an engine that is leaving or out of service.
func (o *Owner) SetNoNewWork(stop bool) { o.noNewWork = stop }

// Report takes in the load that the engine reports. A new incarnation has lost
// the generations of the previous one.
func (o *Owner) Report(now time.Duration, incarnation serving.Incarnation, l serving.Load) {
	if incarnation < o.incarnation {
		return
	}
	if incarnation > o.incarnation {
		if o.incarnation != 0 {
			o.dropLapsed()
		}
		o.incarnation = incarnation
	}
	if len(o.reports) >= 8 {
		o.reports = slices.Delete(o.reports, 0, 1)
	}
	running := l.Running + l.Queued
	o.reports = append(o.reports, slotReport{at: now, running: running})
	if !o.inheritedKnown && now >= o.grantsFrom+o.cfg.MaxReportLag {
		o.inheritedKnown, o.inherited, o.inheritedAt = true, running, now
	}
}

func (o *Owner) dropLapsed() {
	o.reports = nil
	o.inherited = 0
	for id, s := range o.slots {
		if s.lapsed {
			delete(o.slots, id)
		}
	}
}

// Grant answers a request. It returns false when there is no answer: the request
// is an old one or this owner may not grant at all now.
func (o *Owner) Grant(now time.Duration, q SlotRequest) (SlotReply, bool) {
	if q.Engine != o.engine || o.closed || now-o.confirmedAt >= o.cfg.ViewLease {
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
	e.seq, e.heardFrom, e.forecast = q.Seq, now, q.Forecast
	o.expire(now)
	o.settle(now, e, q)

	p := SlotReply{
		Engine: o.engine, Term: o.term, Seq: q.Seq, TTL: o.cfg.TTL,
		Incarnation: o.incarnation, Limit: o.limit,
	}
	o.renew(now, e, q, &p)
	granted := o.grant(now, e, q, &p)
	e.lacking = granted < q.Want
	if e.lacking {
		p.RetryAfter = o.cfg.TTL / 8
		if wait := o.grantsFrom - now; wait > 0 {
			p.RetryAfter = wait
		}
	}
	p.Reclaim = o.othersLack(now, e)
	if o.memory > 0 {
		p.Others = o.forecast(e)
	}

	e.replies[1], e.replies[0].seq, e.replies[0].at = e.replies[0], q.Seq, now
	return p, true
}

// settle brings the entry's slots in line with what it lists.
func (o *Owner) settle(now time.Duration, e *ownerEntry, q SlotRequest) {
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
			// Started under an earlier owner, or counted as ended too early.
			s = &ownedSlot{entry: e.id}
			o.slots[h.ID] = s
		}
		if s == nil {
			continue
		}
		if !h.Running || !s.running || s.uses != h.Uses {
			s.since = now
		}
		s.uses, s.running = h.Uses, h.Running
		// The holder sent this request after it had the reply that it acknowledges.
		s.until = ackAt
	}
	for id, s := range o.slots {
		if s.entry == e.id && !held[id] {
			delete(o.slots, id)
		}
	}
}

// renew extends the entry's slots. Under a reduced limit or when others lack
// slots, those in use are retired and those not in use are left to expire.
func (o *Owner) renew(now time.Duration, e *ownerEntry, q SlotRequest, p *SlotReply) {
	keep := o.mayKeep(now, e)
	idle := o.idleRoom()

	for _, s := range o.slots {
		if s.entry != e.id && !s.lapsed && !s.running {
			idle--
		}
	}
	for _, h := range q.Held {
		s := o.slots[h.ID]
		if s == nil {
			continue
		}
		switch {
		case keep > 0 && !s.lapsed && (h.Running || idle > 0):
			keep--
			if !h.Running {
				idle--
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

// mayKeep returns how many of its slots an entry may go on using.
func (o *Owner) mayKeep(now time.Duration, e *ownerEntry) serving.Slots {
	// Above the limit no slot may be used again: each of its generations that
	// ends would be replaced by a start above the limit.
	if !o.mayGrant(now) || o.usage(now) > o.limit {
		return 0
	}
	keep := o.countOf(e)
	if o.othersLack(now, e) {
		keep = min(keep, o.fairShare(now))
	}
	return keep
}

func (o *Owner) countOf(e *ownerEntry) serving.Slots {
	var n serving.Slots
	for _, s := range o.slots {
		if s.entry == e.id {
			n++
		}
	}
	return n
}

func (o *Owner) grant(now time.Duration, e *ownerEntry, q SlotRequest, p *SlotReply) serving.Slots {
	if !o.mayGrant(now) {
		return 0
	}
	n := min(q.Want, o.limit-o.usage(now))
	if o.othersLack(now, e) {
		n = min(n, o.fairShare(now)-serving.Slots(len(p.Slots)+len(p.Retired)))
	}
	idle := o.idleRoom()
	for _, s := range o.slots {
		if !s.lapsed && !s.running {
			idle--
		}
	}
	n = max(0, min(n, idle))
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

// othersLack tells whether another entry lacks slots and has less than its fair
// share. Once all have their share, what is left goes to any entry that asks.
func (o *Owner) othersLack(now time.Duration, e *ownerEntry) bool {
	share := o.fairShare(now)
	for _, x := range o.entries {
		if x != e && x.lacking && now-x.heardFrom < o.cfg.TTL && o.countOf(x) < share {
			return true
		}
	}
	return false
}

func (o *Owner) fairShare(now time.Duration) serving.Slots {
	active := serving.Slots(0)
	for _, x := range o.entries {
		if now-x.heardFrom < o.cfg.TTL {
			active++
		}
	}
	return max(1, o.limit/max(1, active))
}

// forecast returns the memory of what the entries other than e run or may start.
// A lapsed slot counts by its entry's last forecast.
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

// idleRoom returns how many slots that are not in use the memory permits.
func (o *Owner) idleRoom() serving.Slots {
	if o.memory == 0 {
		return math.MaxInt32
	}
	var running serving.MemoryForecast
	for _, x := range o.ordered {
		running.Merge(&x.forecast, 1)
	}
	if running.Generations == 0 {
		// An idle engine takes at least one generation, whatever its length.
		return max(1, o.fitting(&running))
	}
	return o.fitting(&running)
}

func (o *Owner) fitting(running *serving.MemoryForecast) serving.Slots {
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
		// An entry that is silent for so long is taken as dead; the engine ends
		// what nobody resumes.
		if now-x.heardFrom > 10*o.cfg.TTL {
			x.forecast = serving.MemoryForecast{}
		}
	}
	for id, s := range o.slots {
		if now >= s.expires {
			s.lapsed = true
		}
		if now >= s.expires+o.cfg.LapseHold {
			delete(o.slots, id)
		}
	}
}

// Usage returns the number of generations that run or may start now.
func (o *Owner) Usage(now time.Duration) serving.Slots {
	o.expire(now)
	return o.usage(now)
}

// usage returns the larger of two counts: the outstanding slots plus the
// generations that run without one, and what the engine reports. A generation
// goes on running when its slot was not renewed, so that the maximum of
// outstanding slots and reported running generations alone would grant its
// place a second time.
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
	without := lapsed + o.inherited
	var reported serving.Slots
	for _, r := range o.reports {
		reported = r.running
		if without > 0 && r.at >= lapsedAt+o.cfg.MaxReportLag {
			without = min(without, max(0, r.running-o.runningAt(r.at)))
		}
	}
	if lapsed == 0 {
		o.inherited = min(o.inherited, without)
	}
	return max(outstanding+without, reported)
}

// runningAt returns how many generations were certainly running under
// outstanding slots when a report that arrived at the given time was made.
func (o *Owner) runningAt(at time.Duration) serving.Slots {
	var n serving.Slots
	for _, s := range o.slots {
		if !s.lapsed && s.running && s.since <= at-o.cfg.MaxReportLag && s.until >= at {
			n++
		}
	}
	return n
}
