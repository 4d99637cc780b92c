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
	// shareInterval is the interval between demand reports, and the timeout of one.
	shareInterval = time.Second
	// shareTTL is the time for which a share is valid. It outlasts two lost reports.
	shareTTL = 3 * time.Second
	// demandIdleTimeout is the time without requests after which an entry drops its
	// share of an account's limit.
	demandIdleTimeout = 10 * time.Second
	// accountKeyPrefix starts the owner key of an account.
	accountKeyPrefix = "account/"
)

// limits enforces the token limits of client accounts over all entries together. The
// owner of an account divides the limit by demand, except for a small fixed part that
// every entry has without a grant. Only the dispatcher's goroutine uses it.
type limits struct {
	dispatcher *dispatcher
	// tokens has a token bucket for each account, with the rate and the burst of this
	// entry's part of the limit.
	tokens *account.TokenLimiter
	held   map[serving.ClientAccountID]*heldShare
	owned  map[serving.ClientAccountID]*account.ShareOwner
	// ownership is separate from the dispatcher's because shares last longer than
	// slots: a new owner must wait longer for the grants of earlier owners to expire.
	ownership engine.Ownership
	// sentAt is when the last regular demand report was sent.
	sentAt time.Duration
}

// heldShare is this entry's part of an account's limit.
type heldShare struct {
	holder *account.ShareHolder
	// requestedTokens counts the tokens that callers requested since the last report.
	requestedTokens serving.Tokens
	usedAt          time.Duration
}

func newLimits(s *dispatcher) *limits {
	settleTime := time.Duration(float64(s.cfg.ViewLease+shareTTL) * (1 + slotDrift))
	return &limits{
		ownership:  engine.Ownership{Self: s.self.Host, SettleTime: settleTime},
		dispatcher: s, tokens: account.NewTokenLimiter(),
		held:  map[serving.ClientAccountID]*heldShare{},
		owned: map[serving.ClientAccountID]*account.ShareOwner{},
	}
}

// take takes n tokens from the account's budget. If too few are left it returns an
// error that says when to retry.
func (l *limits) take(now time.Duration, id serving.ClientAccountID, n serving.Tokens) error {
	limit, burst := l.limitOf(id)
	if limit == 0 {
		delete(l.held, id)
		l.tokens.SetRate(now, id, account.Rate{})
		return nil
	}
	h := l.held[id]
	if h == nil {
		h = &heldShare{holder: account.NewShareHolder(account.ShareConfig{TTL: shareTTL}, l.dispatcher.self.Host, l.dispatcher.self.Incarnation)}
		l.held[id] = h
		// The first report is sent at once, because the part without a grant is small.
		l.reportDemand(now, id, h, float64(n))
	}
	h.requestedTokens += n
	h.usedAt = now
	l.setRate(now, id, h, limit, burst)
	if wait, ok := l.tokens.Take(now, id, n); !ok {
		return serving.NewError(serving.KindRateLimited, "client account "+string(id)+" has spent its tokens").WithRetryAfter(wait)
	}
	return nil
}

// setRate sets the limiter to this entry's current part of the limit, and to the same
// part of the burst.
func (l *limits) setRate(now time.Duration, id serving.ClientAccountID, h *heldShare, limit, burst float64) {
	entries := 1
	if b := l.dispatcher.entry.board.load(); b.OwnerCandidates != nil {
		entries = len(b.OwnerCandidates.Entries)
	}
	h.holder.SetLimit(limit, entries)
	rate := h.holder.Rate(now)
	l.tokens.SetRate(now, id, account.Rate{PerSecond: rate, Burst: serving.Tokens(burst * rate / limit)})
}

// limitOf returns the account's limit in tokens per second and its burst in tokens. A
// limit of 0 means that there is none.
func (l *limits) limitOf(id serving.ClientAccountID) (limit, burst float64) {
	b := l.dispatcher.entry.board.load()
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

// tick reports the demand of the accounts in use to their owners every shareInterval.
func (l *limits) tick(now time.Duration) {
	if now-l.sentAt < shareInterval {
		return
	}
	span := (now - l.sentAt).Seconds()
	l.sentAt = now
	byOwner := map[engine.Entry][]*schema.ShareDemand{}
	for id, h := range l.held {
		if now-h.usedAt > demandIdleTimeout {
			delete(l.held, id)
			continue
		}
		if owner, ok := l.ownerOf(id); ok {
			byOwner[owner] = append(byOwner[owner], l.demandOf(now, id, h, float64(h.requestedTokens)/span))
			h.requestedTokens = 0
		}
	}
	for owner, demands := range byOwner {
		l.sendDemands(now, owner, demands)
	}
}

// reportDemand reports the demand of one account, in tokens per second, to its owner.
func (l *limits) reportDemand(now time.Duration, id serving.ClientAccountID, h *heldShare, demand float64) {
	if owner, ok := l.ownerOf(id); ok {
		l.sendDemands(now, owner, []*schema.ShareDemand{l.demandOf(now, id, h, demand)})
	}
}

func (l *limits) demandOf(now time.Duration, id serving.ClientAccountID, h *heldShare, demand float64) *schema.ShareDemand {
	q := h.holder.Request(now, demand)
	return &schema.ShareDemand{ClientAccount: string(id), Seq: q.Seq, Ack: q.Ack, Demand: q.Demand}
}

func (l *limits) sendDemands(now time.Duration, owner engine.Entry, demands []*schema.ShareDemand) {
	r := &schema.ShareRequest{Entry: string(l.dispatcher.self.Host), Incarnation: uint64(l.dispatcher.self.Incarnation), Demands: demands}
	if owner.Host == l.dispatcher.self.Host {
		l.applyShares(l.divide(now, r))
		return
	}
	go l.requestShares(owner.Address, r)
}

func (l *limits) ownerOf(id serving.ClientAccountID) (engine.Entry, bool) {
	return l.ownership.Owner(accountOwnerKey(id), "", "")
}

func (l *limits) requestShares(address string, r *schema.ShareRequest) {
	ctx, cancel := context.WithTimeout(l.dispatcher.ctx, shareInterval)
	defer cancel()
	res, err := schema.NewSharesProtobufClient("http://"+address, l.dispatcher.entry.cluster).Divide(ctx, r)
	if err != nil {
		klog.V(2).InfoS("Requesting token shares failed", "owner", address, "err", err)
		return
	}
	l.dispatcher.submit(ctx, func() { l.applyShares(res) })
}

func (l *limits) applyShares(res *schema.ShareResult) {
	for _, g := range res.GetGrants() {
		if h := l.held[serving.ClientAccountID(g.GetClientAccount())]; h != nil {
			h.holder.HandleReply(account.ShareReply{Seq: g.GetSeq(), Share: g.GetShare(), TTL: time.Duration(g.GetTtlMs()) * time.Millisecond})
		}
	}
}

// divide grants shares of the accounts that this entry owns. It grants nothing under a
// view that is older than its lease.
func (l *limits) divide(now time.Duration, r *schema.ShareRequest) *schema.ShareResult {
	res := &schema.ShareResult{}
	e := l.dispatcher.entry
	b := e.board.load()
	if b.View == nil || e.viewAge(b) > e.Settings.Entry.ViewLease.Duration {
		return res
	}
	for _, d := range r.GetDemands() {
		id := serving.ClientAccountID(d.GetClientAccount())
		owner, ok := l.ownerOf(id)
		limit, _ := l.limitOf(id)
		if !ok || owner.Host != l.dispatcher.self.Host || limit == 0 {
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

// newOwner returns the owner of an account's limit. The owner grants nothing until the
// shares of an earlier owner have expired, unless there can be none.
func (l *limits) newOwner(now time.Duration, id serving.ClientAccountID, limit float64) *account.ShareOwner {
	lease := l.dispatcher.entry.Settings.Entry.ViewLease.Duration
	if l.ownership.Settled(now, accountOwnerKey(id), "", "") {
		lease = -shareTTL // The wait of a new owner, lease plus TTL, becomes 0.
	}
	return account.NewShareOwner(account.ShareConfig{TTL: shareTTL}, limit, now, lease)
}

// updateEntries applies a new entry list and drops the accounts that this entry no
// longer owns. If lists were missed, another entry may have granted shares in between,
// so all accounts are dropped.
func (l *limits) updateEntries(now time.Duration, epoch uint64, entries []engine.Entry) {
	if epoch == l.ownership.Epoch() {
		return
	}
	complete := l.ownership.Update(now, epoch, entries)
	for id := range l.owned {
		if owner, ok := l.ownerOf(id); !complete || !ok || owner.Host != l.dispatcher.self.Host {
			delete(l.owned, id)
		}
	}
}

// Divide implements schema.Shares. It returns the shares that this entry grants for the
// reported demand.
func (s *dispatcher) Divide(ctx context.Context, r *schema.ShareRequest) (*schema.ShareResult, error) {
	reply := make(chan *schema.ShareResult, 1)
	if !s.submit(ctx, func() { reply <- s.limits.divide(s.entry.Clock.Now(), r) }) {
		return nil, ctx.Err()
	}
	select {
	case res := <-reply:
		return res, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
