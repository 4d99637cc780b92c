package gateway

import (
	"context"
	"strconv"
	"time"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/completion"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
)

const (
	// blockedRetryAfter is the Retry-After of a call that is blocked. It is longer than the
	// timeouts of current callers, because a block lasts for minutes.
	blockedRetryAfter = time.Minute
	// lossCheckTimeout bounds the look for the process of an engine that lost a call. Without
	// a result, the heartbeats tell later whether it crashed.
	lossCheckTimeout = 200 * time.Millisecond
	// maxCrashes is the number of engines that may crash while they have the same call before
	// it is not sent to another one.
	maxCrashes = 2
)

// checkBlocked returns an error if the current view blocks the call.
func (j *job) checkBlocked() error {
	b := j.g.board.view.Load().blocks.Match(j.parts)
	if b == nil {
		return nil
	}
	return serving.NewError(serving.KindPromptBlocked, "engines crashed with the call or prompt parts "+b.String()).WithRetryAfter(blockedRetryAfter)
}

// hasBegun reports whether an answer of a number of events has begun, as the outcomes of
// calls count it.
func hasBegun(events int64) bool { return events >= quarantine.SoundEvents }

// recordSound records that an answer to the call has begun. The caller holds mu of the
// blackboard.
func (j *job) recordSound() {
	j.g.board.outcomes.Sound(j.g.Clock.Now(), j.parts)
}

// recordLost records that the engine ended the connection before the answer had begun. cause is the
// error with which it ended. An engine that lives and answered malformed bytes has not lost the call.
func (j *job) recordLost(t *placement.Ticket, cause error) {
	lostAt := j.g.Clock.Now()
	ctx, cancel := context.WithTimeout(j.ctx, lossCheckTimeout)
	defer cancel()
	process := j.g.upstream.CheckProcess(ctx, t.Address, t.MaxIdleConns)
	if answer.IsMalformed(cause) && process != completion.Ended {
		return
	}
	if process == completion.Ended {
		j.crashes++
	}
	lostBeforeAnswer.Add(1)
	j.log("Engine ended before the answer began", "engine_started", t.Started, "process", process, "crashes", j.crashes,
		"call", j.parts[len(j.parts)-1].String(), "parts", partNames(j.Parts))
	j.g.board.mu.Lock()
	defer j.g.board.mu.Unlock()
	j.g.board.outcomes.Lost(lostAt, quarantine.LostCall{Request: j.ID, Engine: t.Engine, EngineStarted: t.Started, Parts: j.parts, Process: process})
}

// partNames returns the hashes of prompt parts in hexadecimal, as callers send them.
func partNames(parts []serving.PromptPart) []string {
	out := make([]string, len(parts))
	for i, part := range parts {
		out[i] = strconv.FormatUint(part.Hash, 16)
	}
	return out
}
