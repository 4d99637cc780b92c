package standin

import (
	"slices"
	"strconv"
)

// prefixCache keeps the most recently used prompt blocks, the oldest first.
type prefixCache struct {
	limit  int
	blocks []uint64
	event  func(op, prefix string)
}

// lookup returns how many leading blocks are cached.
func (c *prefixCache) lookup(hashes []uint64) int {
	for i, h := range hashes {
		if !c.touch(h) {
			return i
		}
	}
	return len(hashes)
}

// touch moves a block to the end and tells whether it was there.
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
			c.event("add", strconv.FormatUint(h, 16))
		}
	}
	for len(c.blocks) > max(0, c.limit) {
		c.event("remove", strconv.FormatUint(c.blocks[0], 16))
		c.blocks = c.blocks[1:]
	}
}
