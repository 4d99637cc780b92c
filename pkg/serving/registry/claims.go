package registry

import (
	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

// Short names of the states of a claim.
const (
	granted    = schema.ClaimState_CLAIM_STATE_GRANTED
	inProgress = schema.ClaimState_CLAIM_STATE_IN_PROGRESS
	done       = schema.ClaimState_CLAIM_STATE_DONE
	unknown    = schema.ClaimState_CLAIM_STATE_UNKNOWN
	keyReused  = schema.ClaimState_CLAIM_STATE_KEY_REUSED
	expiredKey = schema.ClaimState_CLAIM_STATE_EXPIRED_KEY
	notRun     = schema.ClaimState_CLAIM_STATE_NOT_RUN
	notFound   = schema.ClaimState_CLAIM_STATE_NOT_FOUND
)

// claim is the claim of one order. Its state is inProgress, done, unknown or notRun.
type claim struct {
	key         claimKey
	contentHash string
	// holder is the entry, with its incarnation, to which the claim was last granted.
	holder string
	// attempt is the id of the holder's attempt.
	attempt       string
	state         schema.ClaimState
	grantedMS     int64
	grantNumber   int
	answer        *schema.Answer
	otherAttempts []attempt
}

type claimKey struct{ account, service, key string }

// attempt records an attempt that does not hold the claim and the state that was
// returned to it.
type attempt struct {
	holder, id string
	state      schema.ClaimState
}

// applyClaim grants the right to send a call if no other attempt may have sent it.
func (m *Machine) applyClaim(r *schema.ClaimRequest) *schema.ClaimResult {
	key := m.claimKey(r.GetKey())
	if msg := checkClaim(key, r); msg != "" {
		return &schema.ClaimResult{Message: msg}
	}
	c := m.claims.byKey[key]
	if c == nil {
		if m.claims.expired(key) || m.pastRetention(r.GetKeyMadeAtMs()) {
			return &schema.ClaimResult{State: expiredKey}
		}
		m.grant(&claim{key: key, contentHash: string(r.GetContentHash())}, r)
		return &schema.ClaimResult{State: granted}
	}
	if c.contentHash != string(r.GetContentHash()) {
		return &schema.ClaimResult{State: keyReused}
	}
	state := c.stateFor(r.GetHolder(), r.GetAttemptId(), m.effectiveState(c, m.nowMS))
	switch state {
	case granted:
		// The holder resends its claim, or another attempt takes over a claim that was
		// settled as not run.
		if c.attempt != r.GetAttemptId() || c.holder != r.GetHolder() {
			c.recordAttempt(c.holder, c.attempt, notRun)
			m.grant(c, r)
		}
	case inProgress, unknown:
		if c.attempt == r.GetAttemptId() && c.holder == r.GetHolder() {
			break
		}
		c.recordAttempt(r.GetHolder(), r.GetAttemptId(), state)
	}
	return c.result(state)
}

// stateFor returns the state to return to an attempt, given the effective state of
// the claim.
func (c *claim) stateFor(holder, id string, effective schema.ClaimState) schema.ClaimState {
	if c.attempt == id && c.holder == holder {
		if c.state != inProgress {
			return c.state
		}
		// No other attempt was granted the claim, so its holder may still send the
		// call, even after the time-out.
		return granted
	}
	for _, a := range c.otherAttempts {
		if a.id == id && a.holder == holder {
			return a.state
		}
	}
	if effective == notRun {
		return granted
	}
	return effective
}

// recordAttempt stores the state that was returned to an attempt. Otherwise a
// delayed duplicate of its request could be granted the claim, although the attempt
// has ended and will neither send the call nor settle the claim.
func (c *claim) recordAttempt(holder, id string, state schema.ClaimState) {
	for _, a := range c.otherAttempts {
		if a.id == id && a.holder == holder {
			return
		}
	}
	c.otherAttempts = append(c.otherAttempts, attempt{holder, id, state})
	if n := len(c.otherAttempts) - maxAttempts; n > 0 {
		c.otherAttempts = append([]attempt(nil), c.otherAttempts[n:]...)
	}
}

func (c *claim) result(state schema.ClaimState) *schema.ClaimResult {
	res := &schema.ClaimResult{State: state}
	if state == done {
		res.Answer = c.answer
	}
	return res
}

func (m *Machine) grant(c *claim, r *schema.ClaimRequest) {
	c.holder, c.attempt = r.GetHolder(), r.GetAttemptId()
	c.state, c.grantedMS, c.answer = inProgress, m.nowMS, nil
	m.claims.add(c)
}

// effectiveState returns the state of a claim at nowMS. A holder that did not
// settle the claim in time may still send the call, so the claim counts as unknown
// and never as not run.
func (m *Machine) effectiveState(c *claim, nowMS int64) schema.ClaimState {
	if c.state != inProgress || nowMS < c.grantedMS+m.cfg.ClaimTimeout.Milliseconds() {
		return c.state
	}
	if m.defects.timeoutIsNotRun {
		return notRun
	}
	return unknown
}

// applySettle records the outcome of a claimed call.
func (m *Machine) applySettle(r *schema.SettleRequest) *schema.ClaimResult {
	key := m.claimKey(r.GetKey())
	c := m.claims.byKey[key]
	if c == nil {
		return m.missingClaim(key)
	}
	if msg := m.checkSettle(c, r); msg != "" {
		res := c.result(m.effectiveState(c, m.nowMS))
		res.Message = msg
		return res
	}
	c.state = r.GetState()
	if c.state == done {
		c.answer = proto.CloneOf(r.GetAnswer())
	}
	return c.result(c.state)
}

// checkSettle returns why a settlement is refused, or "" if it is valid.
func (m *Machine) checkSettle(c *claim, r *schema.SettleRequest) string {
	state := r.GetState()
	if state != done && state != notRun && state != unknown {
		return "a claim is settled as done, not_run or unknown"
	}
	if len(r.GetAnswer().GetBody()) > m.cfg.MaxAnswer {
		return "the answer is larger than the limit; settle it without its body"
	}
	if c.state == done {
		return "the claim is settled as done already"
	}
	if r.GetByLookup() {
		// A lookup asks the service whether it has a record of the key. A service that
		// has none may still receive the call from the holder, so a lookup can only
		// prove that the call ran.
		if state == done {
			return ""
		}
		return "a lookup can settle a claim only as done"
	}
	if c.holder != r.GetHolder() || c.attempt != r.GetAttemptId() {
		return "the claim is held by another attempt"
	}
	if c.state == notRun {
		return "the claim is settled as not_run already"
	}
	if c.state == unknown && state == notRun {
		return "the holder settled the claim as unknown, which only done can replace"
	}
	return ""
}

// Lookup returns the state of a claim at a Unix time in milliseconds.
func (m *Machine) Lookup(k *schema.ClaimKey, nowMS int64) *schema.ClaimResult {
	m.mu.RLock()
	defer m.mu.RUnlock()
	key := m.claimKey(k)
	c := m.claims.byKey[key]
	if c == nil {
		return m.missingClaim(key)
	}
	res := c.result(m.effectiveState(c, max(m.nowMS, nowMS)))
	res.Answer = proto.CloneOf(res.GetAnswer())
	return res
}

func (m *Machine) missingClaim(key claimKey) *schema.ClaimResult {
	if m.claims.expired(key) {
		return &schema.ClaimResult{State: expiredKey}
	}
	return &schema.ClaimResult{State: notFound}
}

// claimKey replaces the names of the account and the service with canonical ids,
// so that a key identifies the same order under every alias.
func (m *Machine) claimKey(k *schema.ClaimKey) claimKey {
	key := claimKey{k.GetClientAccount(), k.GetService(), k.GetKey()}
	if id, ok := m.resolve(schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, key.account); ok {
		key.account = id
	}
	if id, ok := m.resolve(schema.ObjectKind_OBJECT_KIND_SERVICE, key.service); ok {
		key.service = id
	}
	return key
}

func checkClaim(key claimKey, r *schema.ClaimRequest) string {
	for _, f := range []struct{ field, value string }{
		{"client account", key.account}, {"service", key.service}, {"idempotency key", key.key},
		{"holder", r.GetHolder()}, {"attempt id", r.GetAttemptId()},
	} {
		if msg := checkText(f.field, f.value); msg != "" {
			return msg
		}
	}
	if n := len(r.GetContentHash()); n == 0 || n > sha256Bytes {
		return "content_hash must have 1 to 32 bytes"
	}
	return ""
}

// pastRetention reports whether a key was created longer ago than the claim
// retention, so that its claim may have been removed. createdMS is 0 if the time is
// unknown.
func (m *Machine) pastRetention(createdMS int64) bool {
	return createdMS > 0 && createdMS < m.nowMS-m.cfg.ClaimRetention.Milliseconds()
}
