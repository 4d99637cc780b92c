package entry

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// maxUnsettled bounds the orders of this entry that are not settled. Beyond it
	// no order is taken, since memory would grow while control is away.
	maxUnsettled = 1024
	// settleWait is the time in which an answer waits for its claim to be settled,
	// so that a caller who asks right after the answer finds the outcome.
	settleWait = 500 * time.Millisecond
	// settleWindow bounds the tries to settle one claim. A claim that is never
	// settled becomes unknown after the claim timeout of control.
	settleWindow = 10 * time.Minute
	// settlePause is the time between two tries, each of which itself retries.
	settlePause = time.Second
	// drainSettle is the same bound while the entry shuts down.
	drainSettle = 30 * time.Second
	// maxStoredAnswer is the largest body that control stores with a claim.
	maxStoredAnswer = 64 << 10
)

// settler settles claims, also while control is away.
type settler struct {
	unsettled chan struct{}
	ctx       context.Context
	stop      context.CancelFunc
	running   sync.WaitGroup
}

func newSettler() *settler {
	ctx, stop := context.WithCancel(context.Background())
	return &settler{unsettled: make(chan struct{}, maxUnsettled), ctx: ctx, stop: stop}
}

// reserve takes a place for an order that will have to be settled.
func (s *settler) reserve() bool {
	select {
	case s.unsettled <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *settler) release() { <-s.unsettled }

// drain waits for the claims to be settled, for a bounded time.
func (s *settler) drain(bound time.Duration) {
	t := time.AfterFunc(bound, s.stop)
	defer t.Stop()
	s.running.Wait()
	s.stop()
}

// settle records the outcome of an order and releases its place. It returns when
// that is done, or after settleWait while it goes on in the background.
func (e *Entry) settle(o *order, state schema.ClaimState, answer *schema.Answer) {
	req := &schema.SettleRequest{Key: o.key, Holder: e.holder, AttemptId: o.attempt, State: state, Answer: storedAnswer(answer)}
	e.settleReserved(req)
}

// settleReserved settles a claim for which a place is reserved.
func (e *Entry) settleReserved(req *schema.SettleRequest) {
	done := make(chan struct{})
	e.settler.running.Go(func() {
		defer close(done)
		defer e.settler.release()
		e.settleUntilDone(req)
	})
	waitFor(done, settleWait)
}

// settleByLookup records that the service itself says that an order ran.
func (e *Entry) settleByLookup(key *schema.ClaimKey, answer *schema.Answer) {
	req := &schema.SettleRequest{Key: key, Holder: e.holder, AttemptId: newID(), State: schema.ClaimState_CLAIM_STATE_DONE, Answer: storedAnswer(answer), ByLookup: true}
	// Without a place the next lookup settles it.
	if e.settler.reserve() {
		e.settleReserved(req)
	}
}

func waitFor(done <-chan struct{}, bound time.Duration) {
	t := time.NewTimer(bound)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// storedAnswer leaves out a body that control would not store.
func storedAnswer(a *schema.Answer) *schema.Answer {
	if len(a.GetBody()) <= maxStoredAnswer {
		return a
	}
	return &schema.Answer{Status: a.Status, ContentType: a.ContentType}
}

func (e *Entry) settleUntilDone(req *schema.SettleRequest) {
	ctx, cancel := context.WithTimeout(e.settler.ctx, settleWindow)
	defer cancel()
	for {
		res, err := e.claims.Settle(ctx, req)
		if err == nil {
			e.metrics.settled.Add(res.State.String(), 1)
			return
		}
		if kind := serving.KindOf(err); kind == serving.KindInvalid || kind == serving.KindUnauthenticated || kind == serving.KindForbidden {
			klog.ErrorS(err, "Claim cannot be settled", "account", req.Key.ClientAccount, "service", req.Key.Service, "key", req.Key.Key)
			return
		}
		select {
		case <-ctx.Done():
			klog.ErrorS(err, "Claim was not settled", "account", req.Key.ClientAccount, "service", req.Key.Service, "key", req.Key.Key, "state", req.State)
			return
		case <-time.After(settlePause):
		}
	}
}
