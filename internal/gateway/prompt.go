package gateway

import (
	"strconv"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
)

// blockedRetryAfter is the Retry-After of a call whose prompt is blocked. It is longer
// than the timeouts of current callers, because a block lasts for minutes.
const blockedRetryAfter = time.Minute

// checkPrompt returns an error if the current view blocks the prompt of the call.
func (j *job) checkPrompt() error {
	b := j.g.board.view.Load().blocks.Match(j.shared)
	if b == nil {
		return nil
	}
	return serving.NewError(serving.KindPromptBlocked, "engines crashed with the prompt parts "+b.String()).WithRetryAfter(blockedRetryAfter)
}

// hasBegun reports whether an answer of a number of events has begun, as the outcomes of
// prompt parts count it.
func hasBegun(events int64) bool { return events >= quarantine.SoundEvents }

// recordSound records that an answer has begun with the parts of the prompt. The caller
// holds mu of the blackboard.
func (j *job) recordSound() {
	j.g.board.outcomes.Sound(j.g.Clock.Now(), j.shared)
}

// recordLost records that the engine ended the connection before the answer had begun.
func (j *job) recordLost(t *placement.Ticket) {
	lostBeforeAnswer.Add(1)
	j.log("Engine ended before the answer began", "engine_started", t.Started, "parts", partNames(j.Parts))
	j.g.board.mu.Lock()
	defer j.g.board.mu.Unlock()
	j.g.board.outcomes.Lost(j.g.Clock.Now(), quarantine.LostCall{Request: j.ID, Engine: t.Engine, EngineStarted: t.Started, Parts: j.shared})
}

// partNames returns the hashes of prompt parts in hexadecimal, as callers send them.
func partNames(parts []serving.PromptPart) []string {
	out := make([]string, len(parts))
	for i, part := range parts {
		out[i] = strconv.FormatUint(part.Hash, 16)
	}
	return out
}
