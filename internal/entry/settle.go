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
	// maxUnsettled bounds the orders of this entry whose claims are not settled. Beyond
	// it, orders are refused to bound the memory used while the control plane is
	// unavailable.
	maxUnsettled = 1024
	// settleWait is the time for which an answer waits for its claim to be settled, so
	// that a caller who looks the order up right after the answer finds the outcome.
	settleWait = 500 * time.Millisecond
	// settleRetryWindow bounds the time spent on settling one claim. If a claim is never
	// settled, the control plane sets its outcome to unknown after the claim timeout.
	settleRetryWindow = 10 * time.Minute
	// settleRetryInterval is the pause between calls to settle a claim. The claims client
	// also retries within each call.
	settleRetryInterval = time.Second
	// drainSettleTimeout bounds the time for which a draining entry waits for claims to
	// be settled.
	drainSettleTimeout = 30 * time.Second
	// maxStoredAnswer is the largest body, in bytes, that the control plane stores with
	// a claim.
	maxStoredAnswer = 64 << 10
)

// settler tracks the claims that are not settled yet. Settling continues in the
// background while the control plane is unavailable.
type settler struct {
	// unsettled is a semaphore with one element for each order in progress or
	// unsettled.
	unsettled chan struct{}
	ctx       context.Context
	stop      context.CancelFunc
	// running counts the goroutines that settle claims.
	running sync.WaitGroup
}

func newSettler() *settler {
	ctx, stop := context.WithCancel(context.Background())
	return &settler{unsettled: make(chan struct{}, maxUnsettled), ctx: ctx, stop: stop}
}

// reserve reserves capacity for an order that has to be settled. It returns false if
// maxUnsettled is reached.
func (s *settler) reserve() bool {
	select {
	case s.unsettled <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *settler) release() { <-s.unsettled }

// drain waits up to timeout for all claims to be settled, then stops settling.
func (s *settler) drain(timeout time.Duration) {
	t := time.AfterFunc(timeout, s.stop)
	defer t.Stop()
	s.running.Wait()
	s.stop()
}

// settle records the outcome of an order and then releases the reserved capacity. It
// waits up to settleWait, after which settling continues in the background.
func (e *Entry) settle(o *orderAttempt, state schema.ClaimState, answer *schema.Answer) {
	req := &schema.SettleRequest{Key: o.key, Holder: e.holder, AttemptId: o.attemptID, State: state, Answer: storedAnswer(answer)}
	e.settleReserved(req)
}

// settleReserved settles a claim whose capacity is already reserved.
func (e *Entry) settleReserved(req *schema.SettleRequest) {
	done := make(chan struct{})
	e.settler.running.Go(func() {
		defer close(done)
		defer e.settler.release()
		e.settleUntilDone(req)
	})
	waitFor(done, settleWait)
}

// settleByLookup settles a claim by the service's own statement that the order ran.
func (e *Entry) settleByLookup(key *schema.ClaimKey, answer *schema.Answer) {
	req := &schema.SettleRequest{Key: key, Holder: e.holder, AttemptId: newID(), State: schema.ClaimState_CLAIM_STATE_DONE, Answer: storedAnswer(answer), ByLookup: true}
	// If no capacity is left, the next lookup settles the claim.
	if e.settler.reserve() {
		e.settleReserved(req)
	}
}

func waitFor(done <-chan struct{}, timeout time.Duration) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// storedAnswer returns the answer to store with a claim. It omits a body that the
// control plane would not store.
func storedAnswer(a *schema.Answer) *schema.Answer {
	if len(a.GetBody()) <= maxStoredAnswer {
		return a
	}
	return &schema.Answer{Status: a.Status, ContentType: a.ContentType}
}

// settleUntilDone retries until the claim is settled, the control plane returns an error
// that a retry cannot change, or settleRetryWindow has passed.
func (e *Entry) settleUntilDone(req *schema.SettleRequest) {
	ctx, cancel := context.WithTimeout(e.settler.ctx, settleRetryWindow)
	defer cancel()
	for {
		res, err := e.claims.Settle(ctx, req)
		if err == nil {
			e.metrics.settled.Add(res.State.String(), 1)
			return
		}
		if kind := serving.KindOf(err); kind == serving.KindInvalid || kind == serving.KindUnauthenticated || kind == serving.KindForbidden {
			klog.ErrorS(err, "Settling the claim was rejected; not retrying", "account", req.Key.ClientAccount, "service", req.Key.Service, "key", req.Key.Key)
			return
		}
		select {
		case <-ctx.Done():
			klog.ErrorS(err, "Claim was not settled in time", "account", req.Key.ClientAccount, "service", req.Key.Service, "key", req.Key.Key, "state", req.State)
			return
		case <-time.After(settleRetryInterval):
		}
	}
}
