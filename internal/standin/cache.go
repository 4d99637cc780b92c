package standin

import (
	"container/list"
	"strconv"
)

// prefixCache keeps the most recently used prompt blocks.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	order  *list.List
	event  func(op, prefix string)
}

func newPrefixCache(limit int, event func(op, prefix string)) prefixCache {
	return prefixCache{limit: limit, blocks: map[uint64]*list.Element{}, order: list.New(), event: event}
}

// lookup returns how many leading blocks are cached.
func (c *prefixCache) lookup(hashes []uint64) int {
	for i, h := range hashes {
		e, ok := c.blocks[h]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(hashes)
}

// insert adds blocks and evicts the least recently used ones beyond the limit.
func (c *prefixCache) insert(hashes []uint64) {
	for _, h := range hashes {
		if e, ok := c.blocks[h]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[h] = c.order.PushFront(h)
		c.event("add", strconv.FormatUint(h, 16))
	}
	for c.order.Len() > c.limit {
		h := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, h)
		c.event("remove", strconv.FormatUint(h, 16))
	}
}

// clear drops everything without events, as a restart does.
func (c *prefixCache) clear() {
	c.order.Init()
	clear(c.blocks)
}
