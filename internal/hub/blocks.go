package hub

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving/deployment"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
)

// blockTTL is how long a prompt is blocked, counted by each leader from the moment at
// which it first sees the block.
const blockTTL = 10 * time.Minute

// collect adds reports of lost calls and sound parts to the evidence. direct marks the
// reports of entries that poll this hub. The caller holds mu.
func (h *Hub) collect(now time.Duration, lost []*schema.LostCall, sound []*schema.SoundPart, direct bool) {
	for _, c := range quarantine.LostFromWire(now, lost) {
		h.evidence.Lost(now, c, direct)
	}
	for _, p := range quarantine.SoundFromWire(now, sound) {
		h.evidence.Sound(p, direct)
	}
}

// manageBlocks blocks the prompts that crash engines, and removes blocks after blockTTL,
// while this hub is the leader.
func (h *Hub) manageBlocks(ctx context.Context) {
	firstSeen := map[string]time.Duration{}
	every(ctx, checkInterval, func() {
		h.recordBlocks()
		if !h.replica.current().State().Leading {
			clear(firstSeen)
			return
		}
		now := h.Clock.Now()
		h.mu.Lock()
		blocks := h.blocks.Blocks()
		f, found := h.evidence.Find(now, h.blocks)
		h.mu.Unlock()
		if found {
			h.proposeBlock(ctx, f)
		}
		current := map[string]time.Duration{}
		for _, b := range blocks {
			key := b.String()
			since, ok := firstSeen[key]
			if !ok {
				since = now
			}
			current[key] = since
			if now-since > blockTTL {
				if err := h.proposeCommand(ctx, deployment.UnblockPrompt(b)); err != nil {
					klog.ErrorS(err, "Prompt not unblocked, trying again", "parts", key)
					continue
				}
				klog.InfoS("Prompt unblocked", "parts", key, "blocked_for", now-since)
			}
		}
		firstSeen = current
	})
}

// recordBlocks updates the metrics of blocked prompts.
func (h *Hub) recordBlocks() {
	h.mu.Lock()
	defer h.mu.Unlock()
	blockedPrompts.Set(int64(len(h.blocks.Blocks())))
	suspectParts.Set(int64(len(h.evidence.Suspects(h.Clock.Now(), h.blocks))))
}

func (h *Hub) proposeBlock(ctx context.Context, f quarantine.Finding) {
	start := h.Clock.Now()
	err := h.proposeCommand(ctx, deployment.BlockPrompt(f.Block))
	if err != nil {
		klog.ErrorS(err, "Prompt not blocked, trying again", "parts", f.Block.String(), "took", h.Clock.Now()-start)
		return
	}
	klog.InfoS("Prompt blocked", "parts", f.Block.String(), "losses", f.Losses, "engines", f.Engines, "calls", f.Calls, "took", h.Clock.Now()-start)
}

func (h *Hub) proposeCommand(ctx context.Context, command []byte) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := h.replica.current().Propose(ctx, command)
	return err
}
