package gateway

import (
	"bytes"
	"expvar"
	"io"
	"sync/atomic"
)

const (
	// maxHeldBytes bounds the bytes of answers that an entry holds for all calls together. It
	// is an eighth of the memory of the smallest hosts, and room for the ordinary answers of
	// thousands of calls.
	maxHeldBytes = 16 << 20
	// minHeldStep is the size in bytes of the first part of an answer that is held. Each
	// further part is as long as all before it.
	minHeldStep = 4 << 10
)

var (
	answerBytesHeld    = expvar.NewInt("answer_bytes_held")
	answerHoldsRefused = expvar.NewInt("answer_holds_refused")
)

// heldBytes counts the bytes of answers that are held until they can be forwarded, for all
// calls of an entry. Faulty engines may send long answers for many calls at once, and a
// process that holds them all runs out of memory.
type heldBytes struct{ total atomic.Int64 }

// reserve reports whether n more bytes may be held.
func (h *heldBytes) reserve(n int64) bool {
	if h.total.Add(n) > maxHeldBytes {
		h.total.Add(-n)
		answerHoldsRefused.Add(1)
		return false
	}
	answerBytesHeld.Add(n)
	return true
}

func (h *heldBytes) release(n int64) {
	h.total.Add(-n)
	answerBytesHeld.Add(-n)
}

// hold is the part of heldBytes of one call.
type hold struct {
	of    *heldBytes
	bytes int64
}

// extend reports whether the call may hold n bytes in all.
func (h *hold) extend(n int64) bool {
	if n <= h.bytes {
		return true
	}
	if !h.of.reserve(n - h.bytes) {
		return false
	}
	h.bytes = n
	return true
}

// end releases all that the call holds.
func (h *hold) end() {
	if h.bytes > 0 {
		h.of.release(h.bytes)
		h.bytes = 0
	}
}

// read reads up to limit bytes of a body, or fewer if no more may be held. The error is that of
// the body, nil if there may be more of it.
func (h *hold) read(body io.Reader, limit int64) ([]byte, error) {
	var b bytes.Buffer
	for size := int64(minHeldStep); h.extend(size); size = min(2*size, limit) {
		b.Grow(int(size) - b.Len() + bytes.MinRead)
		if _, err := io.CopyN(&b, body, size-int64(b.Len())); err != nil || size == limit {
			return b.Bytes(), err
		}
	}
	return b.Bytes(), nil
}
