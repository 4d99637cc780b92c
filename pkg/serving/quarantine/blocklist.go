package quarantine

import (
	"slices"
	"strconv"
	"strings"
)

// Block is a set of parts, sorted. A prompt that has all of them is blocked.
type Block []Part

// NewBlock returns the block of a set of parts.
func NewBlock(parts []Part) Block {
	b := slices.Clone(parts)
	slices.Sort(b)
	return slices.Compact(b)
}

// String returns the hash in hexadecimal; that of a prompt part as callers send it.
func (p Part) String() string {
	if p.isCall() {
		return "call:" + strconv.FormatUint(uint64(p&^callBit), 16)
	}
	return strconv.FormatUint(uint64(p), 16)
}

// String returns the parts in hexadecimal.
func (b Block) String() string {
	out := make([]string, len(b))
	for i, part := range b {
		out[i] = part.String()
	}
	return strings.Join(out, "+")
}

// within reports whether parts include all parts of the block.
func (b Block) within(parts []Part) bool {
	for _, part := range b {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return len(b) > 0
}

// Blocklist is an immutable set of blocks. The nil list is empty.
type Blocklist struct {
	blocks []Block
	// byPart holds the blocks by their first part.
	byPart map[Part][]Block
}

// NewBlocklist returns a list of blocks.
func NewBlocklist(blocks []Block) *Blocklist {
	l := &Blocklist{blocks: blocks, byPart: map[Part][]Block{}}
	for _, b := range blocks {
		if len(b) > 0 {
			l.byPart[b[0]] = append(l.byPart[b[0]], b)
		}
	}
	return l
}

// Blocks returns the blocks of the list, which must not be modified.
func (l *Blocklist) Blocks() []Block {
	if l == nil {
		return nil
	}
	return l.blocks
}

// Match returns a block whose parts are all among the shareable parts of a prompt, or nil
// if there is none.
func (l *Blocklist) Match(parts []Part) Block {
	if l == nil || len(l.blocks) == 0 {
		return nil
	}
	for _, part := range parts {
		for _, b := range l.byPart[part] {
			if b.within(parts) {
				return b
			}
		}
	}
	return nil
}
