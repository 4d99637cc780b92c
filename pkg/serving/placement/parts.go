package placement

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// maxParts bounds the parts of prompts remembered for one engine.
	maxParts = 512
	// partLife is how long a part is believed to stay in an engine's cache after its
	// last use by this entry.
	partLife = 20 * time.Second
)

// partMemory remembers which parts of prompts this entry sent to an engine.
type partMemory map[uint64]time.Duration

// cached returns the number of prompt tokens that the engine probably holds: all
// parts up to the first one that it lacks.
func (m partMemory) cached(now time.Duration, parts []serving.PromptPart) serving.Tokens {
	n := serving.Tokens(0)
	for _, part := range parts {
		at, ok := m[part.Hash]
		if !ok || now-at > partLife {
			break
		}
		n += part.Tokens
	}
	return n
}

// add records that a prompt is read by the engine.
func (m partMemory) add(now time.Duration, parts []serving.PromptPart) {
	for _, part := range parts {
		m[part.Hash] = now
	}
	for hash, at := range m {
		if len(m) <= maxParts {
			break
		}
		if now-at > partLife/4 || len(m) > 2*maxParts {
			delete(m, hash)
		}
	}
}
