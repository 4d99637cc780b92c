package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/completion"
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

// Part is the hash of a prompt part, as the caller assigned it, or with callBit the hash of
// a whole call.
type Part uint64

// callBit is set in the hash of a call and cleared in that of a prompt part, so that a
// caller can't choose a prompt part that equals another caller's call.
const callBit Part = 1 << 63

// isCall reports whether the hash is that of a whole call.
func (p Part) isCall() bool { return p&callBit != 0 }

// HashCall returns the hash of a call. Two calls have the same hash if they come from the
// same account and have the same method, host, target and body.
func HashCall(account serving.ClientAccountID, method, host, target string, body []byte) Part {
	h := sha256.New()
	var length [8]byte
	for _, field := range [][]byte{[]byte(account), []byte(method), []byte(host), []byte(target), body} {
		// The length keeps two fields from being read as one.
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write(field)
	}
	return Part(binary.BigEndian.Uint64(h.Sum(nil))) | callBit
}

// FromHashes returns the parts of a prompt with the given hashes.
func FromHashes(hashes []uint64) []Part {
	out := make([]Part, len(hashes))
	for i, n := range hashes {
		out[i] = Part(n) &^ callBit
	}
	return out
}

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
		out[i] = Part(part.Hash) &^ callBit
	}
	return out
}

// LostCall is a call whose engine ended the connection before the answer had begun.
type LostCall struct {
	Request serving.RequestID
	Engine  serving.EngineID
	// EngineStarted is the start time of the engine's process in Unix milliseconds.
	EngineStarted int64
	// Parts are the hash of the call and the shareable parts of its prompt. An Evidence
	// sorts them.
	Parts []Part
	// Process is the state of the engine's process just after the loss.
	Process completion.Process
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
	// prompts holds the sound parts of prompts, and calls the sound calls.
	prompts, calls soundSet
}

// soundSet holds the time at which an answer last began with each part. It drops the older
// half when it is full.
type soundSet struct {
	recent, older map[Part]time.Duration
}

func (s *soundSet) add(now time.Duration, part Part) {
	if s.recent == nil || len(s.recent) >= soundGeneration {
		s.older, s.recent = s.recent, map[Part]time.Duration{}
	}
	s.recent[part] = now
}

func (s *soundSet) lookUp(part Part) (time.Duration, bool) {
	at, ok := s.recent[part]
	if !ok {
		at, ok = s.older[part]
	}
	return at, ok
}

// soundSet returns the set that holds a part.
func (o *Observer) soundSet(part Part) *soundSet {
	if part.isCall() {
		return &o.calls
	}
	return &o.prompts
}

// Lost records a lost call. Calls without parts are ignored.
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
	for _, part := range parts {
		o.soundSet(part).add(now, part)
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
		if at, ok := o.soundSet(part).lookUp(part); ok {
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
