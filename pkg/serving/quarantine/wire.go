package quarantine

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/completion"
)

// ToWire converts the block to its protobuf message.
func (b Block) ToWire() *schema.PromptBlock {
	return &schema.PromptBlock{Parts: toNumbers(b)}
}

// BlocksFromWire converts protobuf messages to a list of blocks.
func BlocksFromWire(in []*schema.PromptBlock) *Blocklist {
	blocks := make([]Block, len(in))
	for i, m := range in {
		blocks[i] = NewBlock(PartsFromWire(m.GetParts()))
	}
	return NewBlocklist(blocks)
}

// PartsToWire converts parts to their numbers.
func PartsToWire(parts []Part) []uint64 { return toNumbers(parts) }

// PartsFromWire converts numbers to parts.
func PartsFromWire(in []uint64) []Part {
	out := make([]Part, len(in))
	for i, n := range in {
		out[i] = Part(n)
	}
	return out
}

func toNumbers(parts []Part) []uint64 {
	out := make([]uint64, len(parts))
	for i, part := range parts {
		out[i] = uint64(part)
	}
	return out
}

// LostToWire converts lost calls to protobuf messages. Times become ages at now, because
// the clocks of processes differ.
func LostToWire(now time.Duration, lost []LostCall) []*schema.LostCall {
	out := make([]*schema.LostCall, len(lost))
	for i, c := range lost {
		out[i] = &schema.LostCall{Request: string(c.Request), Engine: string(c.Engine), EngineStartedMs: c.EngineStarted,
			Parts: toNumbers(c.Parts), AgeMs: max(0, now-c.At).Milliseconds(), Process: string(c.Process)}
	}
	return out
}

// LostFromWire converts protobuf messages that arrived at now to lost calls.
func LostFromWire(now time.Duration, in []*schema.LostCall) []LostCall {
	out := make([]LostCall, len(in))
	for i, m := range in {
		out[i] = LostCall{Request: serving.RequestID(m.GetRequest()), Engine: serving.EngineID(m.GetEngine()), EngineStarted: m.GetEngineStartedMs(),
			Parts: PartsFromWire(m.GetParts()), At: now - time.Duration(m.GetAgeMs())*time.Millisecond, Process: completion.Process(m.GetProcess())}
	}
	return out
}

// SoundToWire converts sound parts to protobuf messages, as LostToWire does.
func SoundToWire(now time.Duration, sound []SoundPart) []*schema.SoundPart {
	out := make([]*schema.SoundPart, len(sound))
	for i, p := range sound {
		out[i] = &schema.SoundPart{Part: uint64(p.Part), AgeMs: max(0, now-p.At).Milliseconds()}
	}
	return out
}

// SoundFromWire converts protobuf messages that arrived at now to sound parts.
func SoundFromWire(now time.Duration, in []*schema.SoundPart) []SoundPart {
	out := make([]SoundPart, len(in))
	for i, m := range in {
		out[i] = SoundPart{Part: Part(m.GetPart()), At: now - time.Duration(m.GetAgeMs())*time.Millisecond}
	}
	return out
}
