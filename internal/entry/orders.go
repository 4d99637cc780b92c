package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// claimTimeout bounds calls to the claims service for one request.
	claimTimeout = 5 * time.Second
	// outcomeTimeout bounds the time for which a resent order waits for the outcome of
	// the first one.
	outcomeTimeout = 5 * time.Second
	// outcomePollInterval is the interval between lookups of a claim in progress.
	outcomePollInterval = 100 * time.Millisecond
	// lookupTimeout bounds the lookups of one key at a service.
	lookupTimeout = 2 * time.Second
	// lookupPollInterval is the interval between lookups of a call that is still in
	// progress at its service.
	lookupPollInterval = 200 * time.Millisecond
	// serviceRetryAfter is the Retry-After of calls that a service refused.
	serviceRetryAfter = time.Second
)

// orderAttempt is one attempt at an order.
type orderAttempt struct {
	call      *serviceCall
	key       *schema.ClaimKey
	attemptID string
}

// runOrder runs a call that is not idempotent. The second result reports whether the
// answer is that of an earlier run with the same key.
func (e *Entry) runOrder(ctx context.Context, c *serviceCall) (*schema.Answer, bool, error) {
	key := &schema.ClaimKey{ClientAccount: string(c.account), Service: string(c.service), Key: c.key}
	var res *schema.ClaimResult
	for range maxAttempts {
		// Without a usable engine, the order fails before it is claimed.
		if _, err := e.placeCall(e.board.load(), c.service, nil); err != nil {
			return nil, false, err
		}
		o := &orderAttempt{call: c, key: key, attemptID: newID()}
		if !e.settler.reserve() {
			return nil, false, serving.NewError(serving.KindOverloaded, "too many orders are not settled yet").WithRetryAfter(time.Second)
		}
		var err error
		if res, err = e.claim(ctx, o); err != nil {
			return nil, false, err
		}
		if res.State == schema.ClaimState_CLAIM_STATE_GRANTED {
			answer, err := e.sendOrder(ctx, o)
			return answer, false, err
		}
		e.settler.release()
		if res.State == schema.ClaimState_CLAIM_STATE_IN_PROGRESS {
			if res, err = e.awaitOutcome(ctx, key); err != nil {
				return nil, false, err
			}
		}
		if res.State != schema.ClaimState_CLAIM_STATE_NOT_RUN {
			break
		}
	}
	answer, err := e.answerOfClaim(ctx, key, c.spec, res)
	return answer, true, err
}

// claim requests the right to send an order. If the answer is lost, the claim may have
// been granted although the order is not sent, so it is settled as not run.
func (e *Entry) claim(ctx context.Context, o *orderAttempt) (*schema.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	hash := contentHash(o.call)
	res, err := e.claims.Claim(ctx, &schema.ClaimRequest{Key: o.key, ContentHash: hash[:], Holder: e.holder, AttemptId: o.attemptID})
	if err == nil {
		return res, nil
	}
	if t := serving.AsError(err); t.Ran == serving.NotRun {
		e.settler.release()
	} else {
		e.settle(o, schema.ClaimState_CLAIM_STATE_NOT_RUN, nil)
	}
	t := serving.WrapError(err, serving.KindNoQuorum, "claim the order")
	return nil, t.WithRetryAfter(time.Second)
}

// contentHash hashes all parts of a call that the service receives.
func contentHash(c *serviceCall) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{c.path, c.query, c.contentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(c.body)
	return [sha256.Size]byte(h.Sum(nil))
}

// sendOrder sends a claimed call once and settles the claim. It continues when the
// caller leaves, so that the outcome is recorded. It tries another engine only if no
// byte was sent.
func (e *Entry) sendOrder(ctx context.Context, o *orderAttempt) (*schema.Answer, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.call.timeout)
	defer cancel()
	tried := map[serving.EngineID]bool{}
	var res *callResult
	for range maxAttempts {
		b := e.board.load()
		err := e.mayDispatch(b) // The view may have expired during the claim.
		var n *Engine
		if err == nil {
			err = e.prompts.check(o.call.parts())
		}
		if err == nil {
			n, err = e.placeCall(b, o.call.service, tried)
		}
		if err != nil {
			e.settle(o, schema.ClaimState_CLAIM_STATE_NOT_RUN, nil)
			return nil, err
		}
		tried[n.Engine] = true
		if res = e.sendCall(ctx, e.orderUpstream, n, o.call); res.sent {
			break
		}
	}
	switch {
	case res.definite():
		e.settle(o, schema.ClaimState_CLAIM_STATE_DONE, res.answer)
		return res.answer, nil
	case !res.sent || res.refused:
		e.settle(o, schema.ClaimState_CLAIM_STATE_NOT_RUN, nil)
		return nil, withRan(res.failure(), serving.NotRun)
	}
	e.settle(o, schema.ClaimState_CLAIM_STATE_UNKNOWN, nil)
	if answer := e.lookUpOutcome(ctx, o.key, o.call.spec); answer != nil {
		return answer, nil
	}
	return nil, unknownOutcomeError(res.failure())
}

// unknownOutcomeError returns the error for an order that was sent but has no definite
// answer.
func unknownOutcomeError(cause error) error {
	return serving.WrapError(cause, serving.KindOutcomeUnknown, "the service did not answer whether the order ran").WithRan(serving.RanUnknown)
}

// awaitOutcome waits up to outcomeTimeout for the outcome of an order that another
// attempt has sent.
func (e *Entry) awaitOutcome(ctx context.Context, key *schema.ClaimKey) (*schema.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	inProgress := &schema.ClaimResult{State: schema.ClaimState_CLAIM_STATE_IN_PROGRESS}
	ticker := time.NewTicker(outcomePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return inProgress, nil
		case <-ticker.C:
		}
		res, err := e.claims.Lookup(ctx, &schema.LookupRequest{Key: key})
		if ctx.Err() != nil {
			return inProgress, nil
		}
		if err != nil {
			return nil, withRan(err, serving.RanUnknown)
		}
		if res.State != schema.ClaimState_CLAIM_STATE_IN_PROGRESS {
			return res, nil
		}
	}
}

// answerOfClaim returns the answer, or the error, for a claim that this call was not
// granted.
func (e *Entry) answerOfClaim(ctx context.Context, key *schema.ClaimKey, s *schema.Service, res *schema.ClaimResult) (*schema.Answer, error) {
	switch res.State {
	case schema.ClaimState_CLAIM_STATE_DONE:
		return res.Answer, nil
	case schema.ClaimState_CLAIM_STATE_UNKNOWN:
		if answer := e.lookUpOutcome(ctx, key, s); answer != nil {
			return answer, nil
		}
		return nil, serving.NewError(serving.KindOutcomeUnknown, "it is not known whether the order ran").WithRan(serving.RanUnknown)
	case schema.ClaimState_CLAIM_STATE_IN_PROGRESS:
		return nil, serving.NewError(serving.KindInProgress, "an order with this key is in progress").WithRan(serving.RanUnknown).WithRetryAfter(time.Second)
	case schema.ClaimState_CLAIM_STATE_KEY_REUSED:
		return nil, serving.NewError(serving.KindKeyReused, "the key was used before with other content")
	case schema.ClaimState_CLAIM_STATE_EXPIRED_KEY:
		return nil, serving.NewError(serving.KindExpired, "the outcome of the key is no longer kept").WithRan(serving.RanUnknown)
	case schema.ClaimState_CLAIM_STATE_NOT_RUN:
		return nil, serving.NewError(serving.KindOverloaded, "the order did not run").WithRetryAfter(time.Second)
	case schema.ClaimState_CLAIM_STATE_NOT_FOUND:
		return nil, serving.NewError(serving.KindNotFound, "no order has this key")
	}
	return nil, serving.NewError(serving.KindInternal, "control gave no known state of the order").WithRan(serving.RanUnknown)
}

// lookUpOutcome looks an order up at its service. It returns the service's answer if
// the order ran, and nil if that is still unknown after lookupTimeout.
func (e *Entry) lookUpOutcome(ctx context.Context, key *schema.ClaimKey, s *schema.Service) *schema.Answer {
	if s.GetLookupPath() == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	tried := map[serving.EngineID]bool{}
	for ctx.Err() == nil {
		n, err := e.placeCall(e.board.load(), serving.ServiceID(key.Service), tried)
		if err != nil || tried[n.Engine] {
			return nil
		}
		status, found, err := e.lookUpAt(ctx, n, s.LookupPath, serviceKey(serving.ClientAccountID(key.ClientAccount), key.Key))
		if answer.IsMalformed(err) {
			klog.InfoS("Malformed answer", "service", key.Service, "key", key.Key, "engine", n.Engine, "err", err)
		}
		switch status {
		case lookupRan:
			e.settleByLookup(key, found)
			return found
		case lookupInProgress:
			select {
			case <-ctx.Done():
			case <-time.After(lookupPollInterval):
			}
		default:
			tried[n.Engine] = true
		}
	}
	return nil
}

// orderAnswer is the body of GET /v1/orders/{service}/{key}.
type orderAnswer struct {
	Service serving.ServiceID `json:"service"`
	Key     string            `json:"key"`
	State   string            `json:"state"`
	Status  int32             `json:"status,omitempty"`
	Type    string            `json:"content_type,omitempty"`
	Body    string            `json:"body,omitempty"`
}

// getOrder handles GET /v1/orders/{service}/{key}. The caller's account is part of the
// claim's key, so an order of another account is not found.
func (e *Entry) getOrder(r *restful.Request, w *restful.Response) {
	a, err := e.orderState(r)
	if err != nil {
		e.refuse(w, err)
		return
	}
	writeJSON(w, http.StatusOK, a)
}

// orderState returns the state of the order that a request names.
func (e *Entry) orderState(r *restful.Request) (*orderAnswer, error) {
	b := e.board.load()
	account, err := e.authenticate(b, r.Request)
	if err != nil {
		return nil, err
	}
	id, spec, ok := b.View.Service(r.PathParameter("service"))
	if !ok {
		return nil, serving.NewError(serving.KindNotFound, "no service "+r.PathParameter("service")+" is configured")
	}
	key := &schema.ClaimKey{ClientAccount: string(account), Service: string(id), Key: r.PathParameter("key")}
	ctx, cancel := context.WithTimeout(r.Request.Context(), claimTimeout)
	defer cancel()
	res, err := e.claims.Lookup(ctx, &schema.LookupRequest{Key: key})
	if err != nil {
		return nil, withRan(err, serving.RanUnknown)
	}
	a := &orderAnswer{Service: id, Key: key.Key}
	switch res.State {
	case schema.ClaimState_CLAIM_STATE_IN_PROGRESS, schema.ClaimState_CLAIM_STATE_GRANTED:
		a.State = "in_progress"
	case schema.ClaimState_CLAIM_STATE_NOT_RUN:
		a.State = string(serving.NotRun)
	case schema.ClaimState_CLAIM_STATE_UNKNOWN, schema.ClaimState_CLAIM_STATE_DONE:
		answer, err := e.answerOfClaim(ctx, key, spec, res)
		if err != nil {
			a.State = string(serving.RanUnknown)
			break
		}
		a.State, a.Status, a.Type, a.Body = string(serving.DidRun), answer.GetStatus(), answer.GetContentType(), string(answer.GetBody())
	default:
		_, err := e.answerOfClaim(ctx, key, spec, res)
		return nil, err
	}
	return a, nil
}
