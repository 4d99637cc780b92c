package account

import (
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Divide splits a limit over demands by max-min fairness. What exceeds all
// demands is split evenly, so that a rise in demand finds room before the next
// division.
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
	left := limit
	for k, i := range order {
		shares[i] = min(demands[i], left/float64(n-k))
		left -= shares[i]
	}
	for i := range shares {
		shares[i] += left / float64(n)
	}
	return shares
}

// ShareConfig has the settings that the owner and the holders of a limit share.
// Zero values mean the defaults.
type ShareConfig struct {
	// TTL is the time a share lasts at its owner (default 3 s).
	TTL time.Duration
	// MaxDrift bounds the relative drift of two monotonic clocks (default 0.05).
	MaxDrift float64
	// Floor is the part of the limit that is split evenly over all entries and
	// never moves, so that an entry without its owner still serves (default 0.1).
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

// ShareRequest reports an entry's demand to the owner of a limit.
type ShareRequest struct {
	Entry       serving.HostID
	Incarnation serving.Incarnation
	Seq, Ack    uint64
	// Demand is the rate in tokens per second that the entry would use.
	Demand float64
}

// ShareReply grants a part of the limit for TTL from the sending of the request.
type ShareReply struct {
	Seq   uint64
	Share float64
	TTL   time.Duration
}

// ShareOwner divides one account's limit over the entries. All unexpired shares
// together never exceed the limit without its floor.
type ShareOwner struct {
	cfg        ShareConfig
	grantsFrom time.Duration
	pool       float64
	entries    map[serving.HostID]*shareEntry
}

type shareEntry struct {
	incarnation serving.Incarnation
	seq         uint64
	demand      float64
	heardAt     time.Duration
	grants      []shareGrant
}

type shareGrant struct {
	seq     uint64
	share   float64
	expires time.Duration
}

// NewShareOwner returns the owner of a limit from now on. It grants nothing until
// the shares of an earlier owner have expired, which grants for at most viewLease
// after the change.
func NewShareOwner(cfg ShareConfig, limit float64, now, viewLease time.Duration) *ShareOwner {
	cfg = cfg.withDefaults()
	wait := time.Duration(float64(viewLease+cfg.TTL) * (1 + cfg.MaxDrift))
	return &ShareOwner{cfg: cfg, grantsFrom: now + wait, pool: limit * (1 - cfg.Floor), entries: map[serving.HostID]*shareEntry{}}
}

// SetLimit changes the limit; a lower one is in force once the shares expired.
func (o *ShareOwner) SetLimit(limit float64) { o.pool = limit * (1 - o.cfg.Floor) }

// Grant answers a request; false means that it is an old one.
func (o *ShareOwner) Grant(now time.Duration, q ShareRequest) (ShareReply, bool) {
	e := o.entries[q.Entry]
	if e == nil {
		e = &shareEntry{}
		o.entries[q.Entry] = e
	}
	if q.Incarnation > e.incarnation {
		// Grants to the previous process count until they expire.
		e.incarnation, e.seq = q.Incarnation, 0
		for i := range e.grants {
			e.grants[i].seq = ^uint64(0)
		}
	}
	if q.Incarnation < e.incarnation || q.Seq <= e.seq {
		return ShareReply{}, false
	}
	e.seq, e.demand, e.heardAt = q.Seq, q.Demand, now
	// Once a grant is acknowledged the holder no longer uses earlier ones.
	e.grants = slices.DeleteFunc(e.grants, func(g shareGrant) bool { return now >= g.expires || g.seq < q.Ack })
	if now < o.grantsFrom {
		return ShareReply{Seq: q.Seq}, true
	}
	var demands []float64
	own := 0
	others := 0.0
	for host, x := range o.entries {
		if now-x.heardAt >= o.cfg.TTL {
			others += x.outstanding(now)
			continue
		}
		if host == q.Entry {
			own = len(demands)
		} else {
			others += x.outstanding(now)
		}
		demands = append(demands, x.demand)
	}
	share := max(0, min(Divide(o.pool, demands)[own], o.pool-others))
	e.grants = append(e.grants, shareGrant{seq: q.Seq, share: share, expires: now + o.cfg.TTL})
	return ShareReply{Seq: q.Seq, Share: share, TTL: o.cfg.TTL}, true
}

func (e *shareEntry) outstanding(now time.Duration) float64 {
	most := 0.0
	for _, g := range e.grants {
		if now < g.expires {
			most = max(most, g.share)
		}
	}
	return most
}

// ShareHolder is an entry's side of a divided limit.
type ShareHolder struct {
	cfg         ShareConfig
	entry       serving.HostID
	incarnation serving.Incarnation
	limit       float64
	entries     int
	seq, ack    uint64
	sentAt      time.Duration
	share       float64
	expires     time.Duration
}

// NewShareHolder returns a holder that has only its part of the floor.
func NewShareHolder(cfg ShareConfig, entry serving.HostID, incarnation serving.Incarnation) *ShareHolder {
	return &ShareHolder{cfg: cfg.withDefaults(), entry: entry, incarnation: incarnation, entries: 1}
}

// SetLimit sets the limit and the number of entries, as the configuration says.
func (h *ShareHolder) SetLimit(limit float64, entries int) {
	h.limit, h.entries = limit, max(1, entries)
}

// Request returns a request to the owner with the current demand; the caller
// sends one every third of TTL or sooner.
func (h *ShareHolder) Request(now time.Duration, demand float64) ShareRequest {
	h.seq++
	h.sentAt = now
	return ShareRequest{Entry: h.entry, Incarnation: h.incarnation, Seq: h.seq, Ack: h.ack, Demand: demand}
}

// Reply takes in the answer to the latest request; others are ignored.
func (h *ShareHolder) Reply(p ShareReply) {
	if p.Seq != h.seq || p.Seq == h.ack {
		return
	}
	h.ack, h.share = p.Seq, p.Share
	h.expires = h.sentAt + time.Duration(float64(p.TTL)*(1-h.cfg.MaxDrift))
}

// Rate returns the rate that this entry may use now.
func (h *ShareHolder) Rate(now time.Duration) float64 {
	rate := h.limit * h.cfg.Floor / float64(h.entries)
	if now < h.expires {
		rate += h.share
	}
	return rate
}
