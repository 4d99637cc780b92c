package account

import (
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Divide splits a limit over demands by max-min fairness. The part of the limit
// that exceeds the sum of the demands is split evenly, so that a demand can rise
// before the next division.
func Divide(limit float64, demands []float64) []float64 {
	n := len(demands)
	shares := make([]float64, n)
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case demands[a] < demands[b]:
			return -1
		case demands[a] > demands[b]:
			return 1
		default:
			return 0
		}
	})
	remaining := limit
	for k, i := range order {
		shares[i] = min(demands[i], remaining/float64(n-k))
		remaining -= shares[i]
	}
	for i := range shares {
		shares[i] += remaining / float64(n)
	}
	return shares
}

// ShareConfig configures the division of a limit. The owner and all holders must use
// the same values. Zero values mean the defaults.
type ShareConfig struct {
	// TTL is how long the owner counts a granted share as in use (default 3 s).
	TTL time.Duration
	// MaxDrift bounds the relative drift of two monotonic clocks (default 0.05).
	MaxDrift float64
	// Floor is the fraction of the limit that is always split evenly over all
	// entries, so that an entry that can't reach the owner still serves requests
	// (default 0.1).
	Floor float64
}

func (c ShareConfig) withDefaults() ShareConfig {
	if c.TTL == 0 {
		c.TTL = 3 * time.Second
	}
	if c.MaxDrift == 0 {
		c.MaxDrift = 0.05
	}
	if c.Floor == 0 {
		c.Floor = 0.1
	}
	return c
}

// ShareRequest reports an entry's demand to the owner of a limit. Seq numbers the
// requests of an incarnation, and Ack is the Seq of the last grant received.
type ShareRequest struct {
	Entry       serving.HostID
	Incarnation serving.Incarnation
	Seq, Ack    uint64
	// Demand is the rate in tokens per second that the entry would use without a limit.
	Demand float64
}

// ShareReply grants Share tokens per second for TTL from the time at which the
// request was sent. A Share of 0 means that nothing is granted.
type ShareReply struct {
	Seq   uint64
	Share float64
	TTL   time.Duration
}

// ShareOwner divides one account's limit over the entries. The sum of all unexpired
// shares never exceeds the limit minus its floor. The exception is the time after the
// limit was lowered, until the shares granted before have expired.
type ShareOwner struct {
	cfg ShareConfig
	// grantsFrom is the time before which nothing is granted.
	grantsFrom time.Duration
	// pool is the part of the limit that is divided by demand, in tokens per second.
	pool    float64
	entries map[serving.HostID]*shareEntry
}

// shareEntry is the owner's record of one entry.
type shareEntry struct {
	incarnation serving.Incarnation
	seq         uint64
	demand      float64
	requestedAt time.Duration
	grants      []shareGrant
}

type shareGrant struct {
	seq     uint64
	share   float64
	expires time.Duration
}

// NewShareOwner returns an entry's state as the new owner of a limit. It grants
// nothing until all shares of the previous owner have expired. The previous owner
// can grant shares for at most viewLease after now.
func NewShareOwner(cfg ShareConfig, limit float64, now, viewLease time.Duration) *ShareOwner {
	cfg = cfg.withDefaults()
	wait := time.Duration(float64(viewLease+cfg.TTL) * (1 + cfg.MaxDrift))
	return &ShareOwner{cfg: cfg, grantsFrom: now + wait, pool: limit * (1 - cfg.Floor), entries: map[serving.HostID]*shareEntry{}}
}

// SetLimit changes the limit. A lower limit takes full effect once the shares
// granted under the previous limit have expired.
func (o *ShareOwner) SetLimit(limit float64) { o.pool = limit * (1 - o.cfg.Floor) }

// Grant returns the reply to a request. It returns false for a repeated or outdated
// request, which needs no reply.
func (o *ShareOwner) Grant(now time.Duration, q ShareRequest) (ShareReply, bool) {
	e := o.entries[q.Entry]
	if e == nil {
		e = &shareEntry{}
		o.entries[q.Entry] = e
	}
	if q.Incarnation > e.incarnation {
		// Grants to the previous incarnation count until they expire; the largest
		// sequence number keeps an acknowledgement from removing them.
		e.incarnation, e.seq = q.Incarnation, 0
		for i := range e.grants {
			e.grants[i].seq = ^uint64(0)
		}
	}
	if q.Incarnation < e.incarnation || q.Seq <= e.seq {
		return ShareReply{}, false
	}
	e.seq, e.demand, e.requestedAt = q.Seq, q.Demand, now
	// A holder that has acknowledged a grant no longer uses earlier ones.
	e.grants = slices.DeleteFunc(e.grants, func(g shareGrant) bool { return now >= g.expires || g.seq < q.Ack })
	if now < o.grantsFrom {
		return ShareReply{Seq: q.Seq}, true
	}
	var demands []float64
	ownIndex := 0
	othersOutstanding := 0.0
	for host, x := range o.entries {
		if now-x.requestedAt >= o.cfg.TTL {
			othersOutstanding += x.outstanding(now)
			continue
		}
		if host == q.Entry {
			ownIndex = len(demands)
		} else {
			othersOutstanding += x.outstanding(now)
		}
		demands = append(demands, x.demand)
	}
	share := max(0, min(Divide(o.pool, demands)[ownIndex], o.pool-othersOutstanding))
	e.grants = append(e.grants, shareGrant{seq: q.Seq, share: share, expires: now + o.cfg.TTL})
	return ShareReply{Seq: q.Seq, Share: share, TTL: o.cfg.TTL}, true
}

// outstanding returns the largest unexpired share of the entry, which uses only one of
// its shares at a time.
func (e *shareEntry) outstanding(now time.Duration) float64 {
	largest := 0.0
	for _, g := range e.grants {
		if now < g.expires {
			largest = max(largest, g.share)
		}
	}
	return largest
}

// ShareHolder is an entry's state for a limit that an owner divides.
type ShareHolder struct {
	cfg         ShareConfig
	entry       serving.HostID
	incarnation serving.Incarnation
	limit       float64
	entries     int
	// seq is the number of the latest request, which was sent at sentAt. ack is the
	// number of the last reply that was applied.
	seq, ack uint64
	sentAt   time.Duration
	share    float64
	expires  time.Duration
}

// NewShareHolder returns a holder without a granted share. Its rate is 0 until
// SetLimit is called.
func NewShareHolder(cfg ShareConfig, entry serving.HostID, incarnation serving.Incarnation) *ShareHolder {
	return &ShareHolder{cfg: cfg.withDefaults(), entry: entry, incarnation: incarnation, entries: 1}
}

// SetLimit sets the limit and the number of entries from the configuration.
func (h *ShareHolder) SetLimit(limit float64, entries int) {
	h.limit, h.entries = limit, max(1, entries)
}

// Request returns a request to the owner with the current demand. The caller must
// send one at least every third of TTL.
func (h *ShareHolder) Request(now time.Duration, demand float64) ShareRequest {
	h.seq++
	h.sentAt = now
	return ShareRequest{Entry: h.entry, Incarnation: h.incarnation, Seq: h.seq, Ack: h.ack, Demand: demand}
}

// HandleReply processes the owner's reply. Only a reply to the latest request is applied.
func (h *ShareHolder) HandleReply(p ShareReply) {
	if p.Seq != h.seq || p.Seq == h.ack {
		return
	}
	h.ack, h.share = p.Seq, p.Share
	h.expires = h.sentAt + time.Duration(float64(p.TTL)*(1-h.cfg.MaxDrift))
}

// Rate returns the rate in tokens per second that this entry may use now: its part
// of the floor plus an unexpired share.
func (h *ShareHolder) Rate(now time.Duration) float64 {
	rate := h.limit * h.cfg.Floor / float64(h.entries)
	if now < h.expires {
		rate += h.share
	}
	return rate
}
