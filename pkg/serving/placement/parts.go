package placement

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// maxParts is the number of prompt parts per engine above which add removes parts.
	maxParts = 512
	// partTTL is how long a part is assumed to stay in an engine's cache after this
	// entry last used it.
	partTTL = 20 * time.Second
)

// sentParts maps the hashes of the prompt parts that this entry sent to an engine to
// the times when it last did so.
type sentParts map[uint64]time.Duration

// cachedTokens returns the number of prompt tokens that the engine has probably
// cached: the sum of all parts before the first one that is missing or expired.
func (m sentParts) cachedTokens(now time.Duration, parts []serving.PromptPart) serving.Tokens {
	n := serving.Tokens(0)
	for _, part := range parts {
		at, ok := m[part.Hash]
		if !ok || now-at > partTTL {
			break
		}
		n += part.Tokens
	}
	return n
}

// add records the parts of a prompt that is sent to the engine. If there are more
// than maxParts, it removes parts that were last used more than a quarter of partTTL
// ago. Above twice maxParts, it removes parts of any age.
func (m sentParts) add(now time.Duration, parts []serving.PromptPart) {
	for _, part := range parts {
		m[part.Hash] = now
	}
	for hash, at := range m {
		if len(m) <= maxParts {
			break
		}
		if now-at > partTTL/4 || len(m) > 2*maxParts {
			delete(m, hash)
		}
	}
}
