package standin

import (
	"slices"
	"strconv"
)

// prefixCache is an LRU cache of prompt blocks, least recently used first.
type prefixCache struct {
	limit  int
	blocks []uint64
	// onChange is called when a block is added or removed; op is "add" or "remove".
	onChange func(op, prefix string)
}

// lookup returns the number of leading blocks that are cached and marks them as used.
func (c *prefixCache) lookup(hashes []uint64) int {
	for i, h := range hashes {
		if !c.touch(h) {
			return i
		}
	}
	return len(hashes)
}

// touch marks a block as most recently used and reports whether it is cached.
func (c *prefixCache) touch(h uint64) bool {
	i := slices.Index(c.blocks, h)
	if i >= 0 {
		c.blocks = append(slices.Delete(c.blocks, i, i+1), h)
	}
	return i >= 0
}

// insert adds blocks and evicts the least recently used ones beyond the limit.
func (c *prefixCache) insert(hashes []uint64) {
	for _, h := range hashes {
		if !c.touch(h) {
			c.blocks = append(c.blocks, h)
			c.onChange("add", strconv.FormatUint(h, 16))
		}
	}
	for len(c.blocks) > max(0, c.limit) {
		c.onChange("remove", strconv.FormatUint(c.blocks[0], 16))
		c.blocks = c.blocks[1:]
	}
}
