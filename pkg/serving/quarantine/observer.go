package quarantine

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// SoundEvents is the number of events after which an answer has begun. The engine may
	// have buffered the first ones before it crashed.
	SoundEvents = 4
	// reportFor is how long a lost call is reported. Reports repeat it, so a lost report
	// does no harm.
	reportFor = 10 * time.Second
	// maxReported bounds the lost calls that an entry reports at the same time.
	maxReported = 64
	// maxParts bounds the parts of one call that are recorded. The last ones are kept,
	// because fewer prompts share them.
	maxParts = 128
	// soundGeneration bounds the sound parts that an entry records before it drops the
	// older half.
	soundGeneration = 4096
)

// Part is the hash of a prompt part, as the caller assigned it.
type Part uint64

// Shareable returns the parts of a prompt that other prompts may share, which are all but
// the last one.
func Shareable(parts []serving.PromptPart) []Part {
	if len(parts) < 2 {
		return nil
	}
	parts = parts[:len(parts)-1]
	if len(parts) > maxParts {
		parts = parts[len(parts)-maxParts:]
	}
	out := make([]Part, len(parts))
	for i, part := range parts {
		out[i] = Part(part.Hash)
	}
	return out
}

// LostCall is a call whose engine ended the connection before the answer had begun.
type LostCall struct {
	Request serving.RequestID
	Engine  serving.EngineID
	// EngineStarted is the start time of the engine's process in Unix milliseconds.
	EngineStarted int64
	// Parts are the shareable parts of the prompt. An Evidence sorts them.
	Parts []Part
	// At is the time of the loss.
	At time.Duration
}

// SoundPart is a part with which an answer began at a time.
type SoundPart struct {
	Part Part
	At   time.Duration
}

// Observer records the outcomes of one entry's calls. The zero value is ready to use.
// It is not safe for concurrent use.
type Observer struct {
	lost []LostCall
	// sound holds the time at which an answer last began with each part; older is the
	// generation before.
	sound, older map[Part]time.Duration
}

// Lost records a lost call. Calls without shareable parts are ignored.
func (o *Observer) Lost(now time.Duration, c LostCall) {
	if len(c.Parts) == 0 {
		return
	}
	c.At = now
	o.expire(now)
	if len(o.lost) >= maxReported {
		o.lost = o.lost[1:]
	}
	o.lost = append(o.lost, c)
}

// Sound records that an answer has begun with parts.
func (o *Observer) Sound(now time.Duration, parts []Part) {
	if o.sound == nil || len(o.sound) >= soundGeneration {
		o.older, o.sound = o.sound, map[Part]time.Duration{}
	}
	for _, part := range parts {
		o.sound[part] = now
	}
}

// Report returns the lost calls to report. The result must not be modified.
func (o *Observer) Report(now time.Duration) []LostCall {
	o.expire(now)
	return o.lost
}

// SoundAmong returns those suspects with which an answer has begun.
func (o *Observer) SoundAmong(suspects []Part) []SoundPart {
	var out []SoundPart
	for _, part := range suspects {
		at, ok := o.sound[part]
		if !ok {
			at, ok = o.older[part]
		}
		if ok {
			out = append(out, SoundPart{part, at})
		}
	}
	return out
}

func (o *Observer) expire(now time.Duration) {
	n := 0
	for n < len(o.lost) && now-o.lost[n].At > reportFor {
		n++
	}
	o.lost = o.lost[n:]
}
