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

// sequenceBits is the number of low bits of a fencing number that count the orders
// of one epoch. The higher bits are the ledger index. Up to index 2^33 the number
// stays below 2^53 and is exact in JSON decoders that use float64.
const sequenceBits = 20

// maxRetryFactor limits the exponential backoff of an order that has no effect.
const maxRetryFactor = 8

// Config holds the settings of a reconciler.
type Config struct {
	// Rate and Burst limit loads from the weight store for the whole system. Rate is
	// in loads per second and Burst in loads; both must be positive.
	Rate  float64
	Burst int
	// MaxFlight is the maximum time from the Reconcile call that issued an order until
	// the order has arrived or is lost. The sender must not send an order after that
	// time.
	MaxFlight time.Duration
	// QuietPeriod is how long a new leader sends no orders to engines that do not
	// check fencing numbers. It must be longer than MaxFlight.
	QuietPeriod time.Duration
	// OrderTimeout is the time after which an order without effect is issued again. It
	// doubles each time the same order is issued again, up to maxRetryFactor times
	// this value.
	OrderTimeout time.Duration
}

// Reconciler compares the desired state with the reported state of the engines and
// issues orders. It is not safe for concurrent use.
type Reconciler struct {
	cfg     Config
	defects defects

	leading     bool
	epoch       uint64
	sequence    uint64
	leaderSince time.Duration
	limiter     *rate.Limiter
	pending     map[serving.EngineID]*pendingOrder
	// replaced has the models of leaving engines for which a replacement was
	// requested.
	replaced map[leavingModel]bool
	// minCarriers has the raised number of engines that should carry a model while
	// engines that carry it leave.
	minCarriers map[serving.ModelID]int
	// rolloutSizes has, for each model whose versions are shifting, the number of
	// engines that carried it before. It rises if more engines are needed.
	rolloutSizes map[serving.ModelID]int
	shortfall    map[serving.ModelID]int
}

// defects makes the reconciler violate a rule. Tests set its field to verify that
// their checks detect the violation.
type defects struct{ noQuietPeriod bool }

// pendingOrder is an order whose effect no report has shown yet, or that can still
// arrive.
type pendingOrder struct {
	order Order
	// attempts is the number of times that the same order was issued before and timed
	// out, at most maxRetryFactor.
	attempts int
	// done is true once the effect was reported, or the engine is gone or restarted.
	done bool
}

// deadline returns the time after which the order may be issued again.
func (p *pendingOrder) deadline(timeout time.Duration) time.Duration {
	return p.order.IssuedAt + timeout*time.Duration(min(maxRetryFactor, 1<<p.attempts))
}

type leavingModel struct {
	engine      serving.EngineID
	incarnation serving.Incarnation
	model       serving.ModelID
}

// New returns a reconciler that issues no orders until StartEpoch is called.
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

// StartEpoch starts an epoch after this replica became leader or used up its
// fencing numbers. The index is that of a ledger entry that the replica has committed
// since then. A new epoch of the same leader keeps the orders in flight and the rate
// limit.
func (r *Reconciler) StartEpoch(now time.Duration, index uint64) {
	if index <= r.epoch {
		return
	}
	r.epoch, r.sequence = index, 0
	if r.leading {
		return
	}
	r.leading, r.leaderSince = true, now
	r.pending = map[serving.EngineID]*pendingOrder{}
	r.replaced = map[leavingModel]bool{}
	r.minCarriers = map[serving.ModelID]int{}
	r.rolloutSizes = map[serving.ModelID]int{}
	r.limiter = rate.NewLimiter(rate.Limit(r.cfg.Rate), r.cfg.Burst)
	// The previous leader may have just used the burst, so it is taken from the limiter.
	r.limiter.AllowN(limiterTime(now), r.cfg.Burst)
}

// StepDown ends leadership: no further order is issued or passes Check.
func (r *Reconciler) StepDown() { r.leading = false }

// NeedsEpoch reports whether the fencing numbers of the epoch are used up. The
// leader then commits a ledger entry and calls StartEpoch with its index.
func (r *Reconciler) NeedsEpoch() bool { return r.leading && r.sequence >= 1<<sequenceBits-1 }

// Reconcile returns the orders to send now, in order of priority. Engines that are
// not in the list are treated as gone.
func (r *Reconciler) Reconcile(now time.Duration, want Want, engines []Engine) []Order {
	if !r.leading {
		return nil
	}
	r.shortfall = map[serving.ModelID]int{}
	p := newPlan(want, engines)
	r.completePending(now, p)
	p.addPending(now, r)
	p.build(r)
	slices.SortStableFunc(p.proposals, func(a, b proposal) int { return cmp.Compare(a.priority, b.priority) })
	var orders []Order
	for _, candidate := range p.proposals {
		if o, ok := r.issue(now, p.engines[candidate.order.Engine].Engine, candidate.order); ok {
			orders = append(orders, o)
		}
	}
	return orders
}

// Shortfall returns how many engines each model lacked in the last Reconcile call
// because no engine was free. Models that lacked none are omitted.
func (r *Reconciler) Shortfall() map[serving.ModelID]int { return r.shortfall }

// completePending marks orders as done if their effect is reported, or if their
// engine is gone or was restarted. The effect may come from an earlier order, so an
// engine that does not check fencing numbers gets the next order only when this one
// can no longer arrive.
func (r *Reconciler) completePending(now time.Duration, p *plan) {
	for id, pend := range r.pending {
		e := p.engines[id]
		pend.done = pend.done || e == nil || e.Incarnation != pend.order.Incarnation ||
			e.ReportRequestedAt > pend.order.IssuedAt && pend.order.appliedOn(e.Engine)
		if pend.done && (e != nil && e.ChecksFencing || now >= pend.order.IssuedAt+r.cfg.MaxFlight) {
			delete(r.pending, id)
		}
	}
}

// issue assigns a fencing number to an order if it may be sent now.
func (r *Reconciler) issue(now time.Duration, e *Engine, o Order) (Order, bool) {
	if r.NeedsEpoch() || r.inQuietPeriod(now, e) {
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
	if (o.Command == LoadModel || o.Command == LoadAdapter) && !r.limiter.AllowN(limiterTime(now), 1) {
		return o, false
	}
	r.sequence++
	o.Fencing = r.epoch<<sequenceBits | r.sequence
	o.Incarnation, o.IssuedAt = e.Incarnation, now
	r.pending[e.ID] = &pendingOrder{order: o, attempts: attempts}
	return o, true
}

// inQuietPeriod reports whether an order of an earlier leader could still arrive at
// an engine that would not reject it.
func (r *Reconciler) inQuietPeriod(now time.Duration, e *Engine) bool {
	return !e.ChecksFencing && !r.defects.noQuietPeriod && now < r.leaderSince+r.cfg.QuietPeriod
}

// Check returns an error if an order must not be sent. It must be called with a new
// report immediately before sending. The sender then has until IssuedAt + MaxFlight.
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

// limiterTime converts a time since the clock's origin for the rate limiter.
func limiterTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
