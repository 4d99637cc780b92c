package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Default values of Config.
const (
	DefaultMaxFlight    = 5 * time.Second
	DefaultQuietPeriod  = 10 * time.Second
	DefaultOrderTimeout = 2 * time.Minute
)

// sequenceBits is the part of a fencing number that counts the orders of one
// epoch. The rest is the ledger index; up to index 2^33 the number stays below
// 2^53, so that JSON decoders that read numbers as float64 keep it exact.
const sequenceBits = 20

// maxRetryFactor bounds the growth of the time-out of an order that has no effect.
const maxRetryFactor = 8

// Config holds the settings of a reconciler.
type Config struct {
	// Rate and Burst limit loads from the weight store, in loads a second and in
	// loads, for the whole system.
	Rate  float64
	Burst int
	// MaxFlight is the longest time from Reconcile until the order has arrived or
	// is lost; the sender gives up after it.
	MaxFlight time.Duration
	// QuietPeriod is how long a new leader sends nothing to engines that do not
	// check fencing numbers. It must be longer than MaxFlight.
	QuietPeriod time.Duration
	// OrderTimeout is the time after which an order without effect is issued again.
	OrderTimeout time.Duration
}

// Reconciler compares the wanted state with what engines report.
type Reconciler struct {
	cfg   Config
	hooks hooks

	leading  bool
	epoch    uint64
	sequence uint64
	leadAt   time.Duration
	limiter  *rate.Limiter
	pending  map[serving.EngineID]*pending
	// moved has the models of leaving engines for which a replacement was asked.
	moved map[move]bool
	// floors are the numbers of carriers that a model keeps while engines leave.
	floors map[serving.ModelID]int
	// rollouts are the numbers of carriers before versions began to shift.
	rollouts  map[serving.ModelID]int
	shortfall map[serving.ModelID]int
}

// hooks break a rule on purpose, so that tests show that their checks notice.
type hooks struct{ noQuietPeriod bool }

// pending is an order whose effect no report has shown yet.
type pending struct {
	order    Order
	attempts int
	// done is true once the effect was reported or no longer matters.
	done bool
}

// deadline is the time after which the order may be issued again.
func (p *pending) deadline(timeout time.Duration) time.Duration {
	return p.order.IssuedAt + timeout*time.Duration(min(maxRetryFactor, 1<<p.attempts))
}

type move struct {
	engine      serving.EngineID
	incarnation serving.Incarnation
	model       serving.ModelID
}

// New returns a reconciler that does not lead.
func New(cfg Config) (*Reconciler, error) {
	cfg.MaxFlight = cmp.Or(cfg.MaxFlight, DefaultMaxFlight)
	cfg.QuietPeriod = cmp.Or(cfg.QuietPeriod, DefaultQuietPeriod)
	cfg.OrderTimeout = cmp.Or(cfg.OrderTimeout, DefaultOrderTimeout)
	switch {
	case !(cfg.Rate > 0) || cfg.Burst < 1:
		return nil, serving.NewError(serving.KindInvalid, "the rate and the burst of the weight store must be positive")
	case cfg.MaxFlight < 0 || cfg.QuietPeriod <= cfg.MaxFlight:
		return nil, serving.NewError(serving.KindInvalid,
			fmt.Sprintf("the quiet period %v must be longer than an order can be in flight, %v", cfg.QuietPeriod, cfg.MaxFlight))
	case cfg.OrderTimeout <= cfg.MaxFlight:
		return nil, serving.NewError(serving.KindInvalid,
			fmt.Sprintf("the order time-out %v must be longer than an order can be in flight, %v", cfg.OrderTimeout, cfg.MaxFlight))
	}
	return &Reconciler{cfg: cfg}, nil
}

// Lead starts an epoch: this replica became leader, or needs further fencing
// numbers, and the ledger index is that of an entry it committed since. A new
// epoch of the same leader keeps its orders in flight and its rate.
func (r *Reconciler) Lead(now time.Duration, index uint64) {
	if index <= r.epoch {
		return
	}
	r.epoch, r.sequence = index, 0
	if r.leading {
		return
	}
	r.leading, r.leadAt = true, now
	r.pending = map[serving.EngineID]*pending{}
	r.moved = map[move]bool{}
	r.floors = map[serving.ModelID]int{}
	r.rollouts = map[serving.ModelID]int{}
	r.limiter = rate.NewLimiter(rate.Limit(r.cfg.Rate), r.cfg.Burst)
	r.limiter.AllowN(wall(now), r.cfg.Burst)
}

// Follow ends leadership: no order is issued or passes Check any more.
func (r *Reconciler) Follow() { r.leading = false }

// NeedsEpoch reports whether the fencing numbers of the epoch are used up; the
// leader then commits an entry and calls Lead with its index.
func (r *Reconciler) NeedsEpoch() bool { return r.leading && r.sequence >= 1<<sequenceBits-1 }

// Reconcile returns the orders to send now, the most urgent first. Engines that
// are not in the list are gone.
func (r *Reconciler) Reconcile(now time.Duration, want Want, engines []Engine) []Order {
	if !r.leading {
		return nil
	}
	r.shortfall = map[serving.ModelID]int{}
	p := newPlan(want, engines)
	r.readBack(now, p)
	p.addPending(now, r)
	p.build(r)
	slices.SortStableFunc(p.wishes, func(a, b wish) int { return cmp.Compare(a.urgency, b.urgency) })
	var orders []Order
	for _, w := range p.wishes {
		if o, ok := r.issue(now, p.engines[w.order.Engine].Engine, w.order); ok {
			orders = append(orders, o)
		}
	}
	return orders
}

// Shortfall returns how many engines with room each model lacked in the last
// Reconcile call.
func (r *Reconciler) Shortfall() map[serving.ModelID]int { return r.shortfall }

// readBack ends orders whose effect is reported, and those of engines that are
// gone or were restarted. The effect may come from an earlier order, so that an
// engine that does not check fencing numbers gets the next order only when this
// one can no longer arrive.
func (r *Reconciler) readBack(now time.Duration, p *plan) {
	for id, pend := range r.pending {
		n := p.engines[id]
		pend.done = pend.done || n == nil || n.Incarnation != pend.order.Incarnation ||
			n.ReadAt > pend.order.IssuedAt && pend.order.visible(n.Engine)
		if pend.done && (n != nil && n.ChecksFencing || now >= pend.order.IssuedAt+r.cfg.MaxFlight) {
			delete(r.pending, id)
		}
	}
}

// issue gives an order its fencing number if it may be sent now.
func (r *Reconciler) issue(now time.Duration, e *Engine, o Order) (Order, bool) {
	if r.NeedsEpoch() || r.quiet(now, e) {
		return o, false
	}
	attempts := 0
	if p := r.pending[e.ID]; p != nil {
		if now < p.deadline(r.cfg.OrderTimeout) {
			return o, false
		}
		if sameOrder(p.order, o) {
			attempts = min(p.attempts+1, maxRetryFactor)
		}
	}
	if (o.Command == LoadModel || o.Command == LoadAdapter) && !r.limiter.AllowN(wall(now), 1) {
		return o, false
	}
	r.sequence++
	o.Fencing = r.epoch<<sequenceBits | r.sequence
	o.Incarnation, o.IssuedAt = e.Incarnation, now
	r.pending[e.ID] = &pending{order: o, attempts: attempts}
	return o, true
}

// quiet reports whether an order of an earlier leader could still arrive at an
// engine that would not reject it.
func (r *Reconciler) quiet(now time.Duration, e *Engine) bool {
	return !e.ChecksFencing && !r.hooks.noQuietPeriod && now < r.leadAt+r.cfg.QuietPeriod
}

// Check decides right before an order is sent, from a fresh report, whether it
// may go out. The sender then has until IssuedAt + MaxFlight.
func (r *Reconciler) Check(now time.Duration, o Order, leaseValid bool, e *Engine) error {
	switch p := r.pending[o.Engine]; {
	case !r.leading || !leaseValid:
		return serving.NewError(serving.KindNotLeader, "this replica no longer holds the lease for orders")
	case p == nil || p.done || p.order.Fencing != o.Fencing:
		return serving.NewError(serving.KindExpired, "the order was replaced or is done")
	case now >= o.IssuedAt+r.cfg.MaxFlight:
		return serving.NewError(serving.KindDeadline, "the order waited too long to be sent")
	case e == nil || e.Incarnation != o.Incarnation || e.State == Leaving:
		return serving.NewError(serving.KindNoEngine, "engine "+string(o.Engine)+" is gone, leaving or was restarted")
	}
	return nil
}

func sameOrder(a, b Order) bool {
	return a.Command == b.Command && a.Model == b.Model && a.Adapter == b.Adapter && a.Role == b.Role
}

// wall turns the time since the origin into one that the limiter counts with.
func wall(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
