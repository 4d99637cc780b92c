package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/completion"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
)

const (
	// promptCheckInterval is the interval at which evidence is evaluated.
	promptCheckInterval = 100 * time.Millisecond
	// promptBlockTTL is how long a prompt is blocked.
	promptBlockTTL = 10 * time.Minute
	// promptRetryAfter is the Retry-After of a request whose prompt is blocked.
	promptRetryAfter = time.Minute
	// lossCheckTimeout bounds the look for the process of an engine that lost a call.
	lossCheckTimeout = 200 * time.Millisecond
	// maxPromptBlocks bounds the blocks of an entry.
	maxPromptBlocks = 64
)

// prompts finds calls and prompts that crash engines and blocks them. Its parts of a prompt
// are the prefix hashes of the request. Entries exchange evidence and blocks with their membership
// records, so that a part that crashed engines at one entry is known to all.
type prompts struct {
	clock serving.Clock
	list  atomic.Pointer[quarantine.Blocklist]

	mu       sync.Mutex
	outcomes quarantine.Observer
	evidence quarantine.Evidence
	blocks   []timedBlock
}

type timedBlock struct {
	quarantine.Block
	until time.Duration
}

// requestParts returns the prompt parts of a request and the hash of its call.
func requestParts(r *serving.Request) []quarantine.Part {
	parts := quarantine.FromHashes(r.PrefixHashes)
	if r.CallHash != 0 {
		parts = append(parts, quarantine.Part(r.CallHash))
	}
	return parts
}

// parts returns the hash of the call.
func (c *serviceCall) parts() []quarantine.Part {
	method := http.MethodPost
	if c.idempotent {
		method = http.MethodGet
	}
	return []quarantine.Part{quarantine.HashCall(c.account, method, string(c.service), c.path+"?"+c.query, c.body)}
}

// check returns an error if a call with the given parts is blocked.
func (p *prompts) check(parts []quarantine.Part) error {
	blocks := p.list.Load()
	if len(blocks.Blocks()) == 0 {
		return nil
	}
	b := blocks.Match(parts)
	if b == nil {
		return nil
	}
	return serving.NewError(serving.KindPromptBlocked, "engines crashed with the call or prompt prefix "+b.String()).WithRetryAfter(promptRetryAfter)
}

// recordSound records that an answer to a call with the given parts has begun.
func (p *prompts) recordSound(parts []quarantine.Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes.Sound(p.clock.Now(), parts)
}

// recordLostAttempt records that an attempt lost its engine before the answer had begun. It
// reports whether the request may be sent to another engine.
func (e *Entry) recordLostAttempt(ctx context.Context, a *attempt, cause error) (mayRestart bool) {
	at := e.prompts.clock.Now()
	if a.failing {
		at = a.failedAt
	}
	return e.recordLost(ctx, a.request.ID, a.engine, requestParts(a.request), at, cause)
}

// recordLost records that a call lost its engine at a time, before the answer had begun. cause is the
// error with which it ended. An engine that lives and answered malformed bytes has not lost the call.
// It reports whether the call may be sent to another engine.
func (e *Entry) recordLost(ctx context.Context, id serving.RequestID, n *Engine, parts []quarantine.Part, at time.Duration, cause error) (mayRetry bool) {
	ctx, cancel := context.WithTimeout(ctx, lossCheckTimeout)
	defer cancel()
	process := e.enginePool.CheckProcess(ctx, n.Address, maxIdlePerHost)
	if answer.IsMalformed(cause) && process != completion.Ended {
		return true
	}
	klog.InfoS("Engine ended before the answer began", "request", id, "engine", n.Engine, "engine_started", uint64(n.Incarnation), "process", process)
	return e.prompts.recordLost(quarantine.LostCall{Request: id, Engine: n.Engine, EngineStarted: int64(n.Incarnation), Parts: parts, At: at, Process: process})
}

func (p *prompts) recordLost(c quarantine.LostCall) (mayRetry bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evidence.Lost(now, c, true)
	p.addOwnSound(now)
	return !p.evidence.Repeated(c.Parts)
}

// addOwnSound adds what this entry knows of the suspects to the evidence. The caller holds
// mu.
func (p *prompts) addOwnSound(now time.Duration) {
	for _, s := range p.outcomes.SoundAmong(p.evidence.Suspects(now, p.list.Load())) {
		p.evidence.Sound(s, true)
	}
}

// run evaluates the evidence until ctx ends.
func (p *prompts) run(ctx context.Context, engines func() map[serving.EngineID]*Engine) {
	t := time.NewTicker(promptCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.evaluate(engines())
		}
	}
}

func (p *prompts) evaluate(engines map[serving.EngineID]*Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for id, n := range engines {
		p.evidence.Alive(id, int64(n.Incarnation), n.ReceivedAt)
	}
	p.addOwnSound(now)
	kept := p.blocks[:0:0]
	for _, b := range p.blocks {
		if now < b.until {
			kept = append(kept, b)
		}
	}
	if f, ok := p.evidence.Find(now, p.list.Load()); ok {
		klog.InfoS("Prompt blocked", "parts", f.Block.String(), "losses", f.Losses, "engines", f.Engines, "calls", f.Calls)
		kept = append(kept, timedBlock{f.Block, now + promptBlockTTL})
	}
	p.setBlocks(kept)
}

// setBlocks replaces the blocks. The caller holds mu.
func (p *prompts) setBlocks(blocks []timedBlock) {
	blocks = blocks[max(0, len(blocks)-maxPromptBlocks):]
	changed := len(blocks) != len(p.blocks)
	for i := 0; i < len(blocks) && !changed; i++ {
		changed = blocks[i].String() != p.blocks[i].String()
	}
	p.blocks = blocks
	if !changed {
		return
	}
	list := make([]quarantine.Block, len(blocks))
	for i, b := range blocks {
		list[i] = b.Block
	}
	p.list.Store(quarantine.NewBlocklist(list))
}

// encode adds the evidence and the blocks to a message to another entry.
func (p *prompts) encode(out *schema.MemberExchange) *schema.MemberExchange {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	lost, sound, _ := p.evidence.Direct(now, 0)
	out.LostCalls, out.SoundParts = quarantine.LostToWire(now, lost), quarantine.SoundToWire(now, sound)
	for _, b := range p.blocks {
		m := b.ToWire()
		m.RemainingMs = (b.until - now).Milliseconds()
		out.Blocks = append(out.Blocks, m)
	}
	return out
}

// merge adds the evidence and the blocks of a message from another entry.
func (p *prompts) merge(in *schema.MemberExchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, c := range quarantine.LostFromWire(now, in.GetLostCalls()) {
		p.evidence.Lost(now, c, true)
	}
	for _, s := range quarantine.SoundFromWire(now, in.GetSoundParts()) {
		p.evidence.Sound(s, true)
	}
	known := map[string]bool{}
	for _, b := range p.blocks {
		known[b.String()] = true
	}
	blocks := p.blocks
	for _, m := range in.GetBlocks() {
		b := quarantine.NewBlock(quarantine.PartsFromWire(m.GetParts()))
		remaining := min(time.Duration(m.GetRemainingMs())*time.Millisecond, promptBlockTTL)
		// A block that is about to end is not passed on any more, because its remaining time
		// would grow by the time of the message with each pass.
		if len(b) > 0 && remaining > 2*exchangeInterval && !known[b.String()] {
			known[b.String()] = true
			blocks = append(blocks[:len(blocks):len(blocks)], timedBlock{b, now + remaining})
		}
	}
	p.setBlocks(blocks)
}
