package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/account"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

const (
	// shareInterval is the time between reports of demand.
	shareInterval = time.Second
	// shareTTL is the time for which a share lasts; two lost reports do not end it.
	shareTTL = 3 * time.Second
	// demandIdle is the time without requests after which an account has no demand.
	demandIdle = 10 * time.Second
	// accountKey marks the owner key of an account's limits.
	accountKey = "account/"
)

// limits keeps client accounts within their limits in tokens, over all entries
// together: the owner of an account divides its limit by demand, and every entry
// has a small part of its own. The dispatcher's goroutine owns it.
type limits struct {
	s      *dispatcher
	tokens *account.TokenLimiter
	held   map[serving.ClientAccountID]*heldShare
	owned  map[serving.ClientAccountID]*account.ShareOwner
	// ownership settles only after the shares of an earlier owner have expired,
	// which last longer than slots.
	ownership engine.Ownership
	sentAt    time.Duration
}

// heldShare is this entry's part of an account's limit.
type heldShare struct {
	holder *account.ShareHolder
	// asked counts the tokens that were asked for since the last report.
	asked  serving.Tokens
	usedAt time.Duration
}

func newLimits(s *dispatcher) *limits {
	settle := time.Duration(float64(s.cfg.ViewLease+shareTTL) * (1 + slotDrift))
	return &limits{
		ownership: engine.Ownership{Self: s.self.Host, SettleTime: settle},
		s:         s, tokens: account.NewTokenLimiter(),
		held:  map[serving.ClientAccountID]*heldShare{},
		owned: map[serving.ClientAccountID]*account.ShareOwner{},
	}
}

// take asks to spend tokens of an account; a refusal tells when to retry.
func (l *limits) take(now time.Duration, id serving.ClientAccountID, n serving.Tokens) error {
	limit, burst := l.limitOf(id)
	if limit == 0 {
		delete(l.held, id)
		l.tokens.SetRate(now, id, account.Rate{})
		return nil
	}
	h := l.held[id]
	if h == nil {
		h = &heldShare{holder: account.NewShareHolder(account.ShareConfig{TTL: shareTTL}, l.s.self.Host, l.s.self.Incarnation)}
		l.held[id] = h
		// The first report does not wait, since the own part of a limit is small.
		l.report(now, id, h, float64(n))
	}
	h.asked += n
	h.usedAt = now
	l.setRate(now, id, h, limit, burst)
	if wait, ok := l.tokens.Take(now, id, n); !ok {
		return serving.NewError(serving.KindRateLimited, "client account "+string(id)+" has spent its tokens").WithRetryAfter(wait)
	}
	return nil
}

// setRate gives the limiter this entry's present part of the limit, and the same
// part of the burst.
func (l *limits) setRate(now time.Duration, id serving.ClientAccountID, h *heldShare, limit, burst float64) {
	entries := 1
	if b := l.s.entry.board.load(); b.Owners != nil {
		entries = len(b.Owners.Entries)
	}
	h.holder.SetLimit(limit, entries)
	rate := h.holder.Rate(now)
	l.tokens.SetRate(now, id, account.Rate{PerSecond: rate, Burst: serving.Tokens(burst * rate / limit)})
}

// limitOf returns the limit in tokens a second and the burst in tokens; 0 means none.
func (l *limits) limitOf(id serving.ClientAccountID) (limit, burst float64) {
	b := l.s.entry.board.load()
	if b.View == nil {
		return 0, 0
	}
	_, a, ok := b.View.Account(string(id))
	if !ok {
		return 0, 0
	}
	limit = float64(a.GetTokensPerSecond())
	return limit, max(float64(a.GetBurstTokens()), limit)
}

// tick reports the demand of the accounts in use to their owners.
func (l *limits) tick(now time.Duration) {
	if now-l.sentAt < shareInterval {
		return
	}
	span := (now - l.sentAt).Seconds()
	l.sentAt = now
	byOwner := map[engine.Entry][]*schema.ShareDemand{}
	for id, h := range l.held {
		if now-h.usedAt > demandIdle {
			delete(l.held, id)
			continue
		}
		if owner, ok := l.ownerOf(id); ok {
			byOwner[owner] = append(byOwner[owner], l.demandOf(now, id, h, float64(h.asked)/span))
			h.asked = 0
		}
	}
	for owner, demands := range byOwner {
		l.send(now, owner, demands)
	}
}

// report tells the owner of one account its demand.
func (l *limits) report(now time.Duration, id serving.ClientAccountID, h *heldShare, demand float64) {
	if owner, ok := l.ownerOf(id); ok {
		l.send(now, owner, []*schema.ShareDemand{l.demandOf(now, id, h, demand)})
	}
}

func (l *limits) demandOf(now time.Duration, id serving.ClientAccountID, h *heldShare, demand float64) *schema.ShareDemand {
	q := h.holder.Request(now, demand)
	return &schema.ShareDemand{ClientAccount: string(id), Seq: q.Seq, Ack: q.Ack, Demand: q.Demand}
}

func (l *limits) send(now time.Duration, owner engine.Entry, demands []*schema.ShareDemand) {
	r := &schema.ShareRequest{Entry: string(l.s.self.Host), Incarnation: uint64(l.s.self.Incarnation), Demands: demands}
	if owner.Host == l.s.self.Host {
		l.takeShares(l.divide(now, r))
		return
	}
	go l.ask(owner.Address, r)
}

func (l *limits) ownerOf(id serving.ClientAccountID) (engine.Entry, bool) {
	return l.ownership.Owner(accountSlots(id), "", "")
}

func (l *limits) ask(address string, r *schema.ShareRequest) {
	ctx, cancel := context.WithTimeout(l.s.ctx, shareInterval)
	defer cancel()
	res, err := schema.NewSharesProtobufClient("http://"+address, l.s.entry.cluster).Divide(ctx, r)
	if err != nil {
		klog.V(2).InfoS("Share request failed", "owner", address, "err", err)
		return
	}
	l.s.do(ctx, func() { l.takeShares(res) })
}

func (l *limits) takeShares(res *schema.ShareResult) {
	for _, g := range res.GetGrants() {
		if h := l.held[serving.ClientAccountID(g.GetClientAccount())]; h != nil {
			h.holder.Reply(account.ShareReply{Seq: g.GetSeq(), Share: g.GetShare(), TTL: time.Duration(g.GetTtlMs()) * time.Millisecond})
		}
	}
}

// divide answers a request for the accounts that this entry owns. It grants
// nothing under a view that may be out of date.
func (l *limits) divide(now time.Duration, r *schema.ShareRequest) *schema.ShareResult {
	res := &schema.ShareResult{}
	e := l.s.entry
	b := e.board.load()
	if b.View == nil || e.viewAge(b) > e.Settings.Entry.ViewLease.Duration {
		return res
	}
	for _, d := range r.GetDemands() {
		id := serving.ClientAccountID(d.GetClientAccount())
		owner, ok := l.ownerOf(id)
		limit, _ := l.limitOf(id)
		if !ok || owner.Host != l.s.self.Host || limit == 0 {
			continue
		}
		o := l.owned[id]
		if o == nil {
			o = l.newOwner(now, id, limit)
			l.owned[id] = o
		}
		o.SetLimit(limit)
		p, ok := o.Grant(now, account.ShareRequest{
			Entry: serving.HostID(r.GetEntry()), Incarnation: serving.Incarnation(r.GetIncarnation()),
			Seq: d.GetSeq(), Ack: d.GetAck(), Demand: d.GetDemand(),
		})
		if ok {
			res.Grants = append(res.Grants, &schema.ShareGrant{ClientAccount: d.GetClientAccount(), Seq: p.Seq, Share: p.Share, TtlMs: p.TTL.Milliseconds()})
		}
	}
	return res
}

// newOwner returns the owner of an account's limit. It waits until the shares of
// an earlier owner have expired, unless there cannot be any.
func (l *limits) newOwner(now time.Duration, id serving.ClientAccountID, limit float64) *account.ShareOwner {
	lease := l.s.entry.Settings.Entry.ViewLease.Duration
	if l.ownership.Settled(now, accountSlots(id), "", "") {
		lease = -shareTTL
	}
	return account.NewShareOwner(account.ShareConfig{TTL: shareTTL}, limit, now, lease)
}

// follow takes over the entry list and forgets the accounts that this entry no
// longer owns. When lists were missed, another entry may have granted meanwhile,
// and all begin anew.
func (l *limits) follow(now time.Duration, epoch uint64, entries []engine.Entry) {
	if epoch == l.ownership.Epoch() {
		return
	}
	complete := l.ownership.Update(now, epoch, entries)
	for id := range l.owned {
		if owner, ok := l.ownerOf(id); !complete || !ok || owner.Host != l.s.self.Host {
			delete(l.owned, id)
		}
	}
}

// Divide answers another entry's report of demand.
func (s *dispatcher) Divide(ctx context.Context, r *schema.ShareRequest) (*schema.ShareResult, error) {
	reply := make(chan *schema.ShareResult, 1)
	if !s.do(ctx, func() { reply <- s.limits.divide(s.entry.Clock.Now(), r) }) {
		return nil, ctx.Err()
	}
	select {
	case res := <-reply:
		return res, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
