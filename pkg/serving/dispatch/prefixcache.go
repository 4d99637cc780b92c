package dispatch

import (
	"math"
	"sort"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Op is "add", "evict" or "clear".
	Op string `json:"op"`
	// Prefix is the hash of the prefix, as in [serving.Request.PrefixHashes].
	Prefix uint64 `json:"prefix"`
}

// prefixCache estimates which prompt prefixes an engine has cached, from its cache
// events and from the requests that this entry sent to it.
type prefixCache struct {
	limit    int
	halfLife time.Duration
	nextSeq  uint64
	lastSeen map[uint64]time.Duration
}

func newPrefixCache(limit int, halfLife time.Duration) prefixCache {
	return prefixCache{limit: limit, halfLife: halfLife, lastSeen: map[uint64]time.Duration{}}
}

func (c *prefixCache) reset() { clear(c.lastSeen) }

// apply processes cache events. A gap in the sequence may hide evictions, so all
// earlier state is dropped. Old and repeated events are ignored.
func (c *prefixCache) apply(now time.Duration, events []CacheEvent) {
	for _, e := range events {
		if e.Seq < c.nextSeq {
			continue
		}
		if e.Seq > c.nextSeq {
			c.reset()
		}
		c.nextSeq = e.Seq + 1
		switch e.Op {
		case "add":
			c.add(now, e.Prefix)
		case "evict":
			delete(c.lastSeen, e.Prefix)
		case "clear":
			c.reset()
		}
	}
}

func (c *prefixCache) add(now time.Duration, prefix uint64) {
	if _, ok := c.lastSeen[prefix]; !ok && len(c.lastSeen) >= c.limit {
		c.evictOne()
	}
	c.lastSeen[prefix] = now
}

// evictOne removes the oldest of a few prefixes, which approximates LRU.
func (c *prefixCache) evictOne() {
	var victim uint64
	oldest, n := time.Duration(math.MaxInt64), 0
	for p, at := range c.lastSeen {
		if at < oldest {
			victim, oldest = p, at
		}
		if n++; n == 8 {
			break
		}
	}
	delete(c.lastSeen, victim)
}

// cached returns the expected number of cached prompt tokens: the length of the longest
// known prefix, discounted by its age.
func (c *prefixCache) cached(now time.Duration, prefixes []uint64, blockTokens serving.Tokens) serving.Tokens {
	n := len(prefixes)
	if n == 0 || len(c.lastSeen) == 0 {
		return 0
	}
	at, ok := c.lastSeen[prefixes[n-1]]
	if !ok {
		// A cached prefix implies that all shorter ones are cached, so a binary search
		// finds the longest.
		n = sort.Search(n, func(i int) bool { _, ok := c.lastSeen[prefixes[i]]; return !ok })
		if n == 0 {
			return 0
		}
		at = c.lastSeen[prefixes[n-1]]
	}
	weight := math.Exp2(-float64(now-at) / float64(c.halfLife))
	return serving.Tokens(weight * float64(serving.Tokens(n)*blockTokens))
}
