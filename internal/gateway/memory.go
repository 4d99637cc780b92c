package gateway

import (
	"bytes"
	"expvar"
	"io"
	"sync/atomic"

	"turmericdrum.org/turmericdrum/internal/ingress"
)

const (
	// maxHeldAnswers bounds the bytes of answers that an entry holds for all calls together. It
	// is an eighth of the memory of the smallest hosts, and room for the ordinary answers of
	// thousands of calls.
	maxHeldAnswers = 16 << 20
	// maxHeldBodies bounds the bytes of the bodies of all calls. It is room for six of the
	// largest size that configurations allow.
	maxHeldBodies = 24 << 20
	// freeBody is the part of a body that doesn't count.
	freeBody = 32 << 10
	// minHeldStep is the size in bytes of the first part of a body that is held. Each
	// further part is as long as all before it.
	minHeldStep = int64(4 << 10)
	// firstStated is the size of the first part of a body with a stated length. A caller that
	// states a length and sends nothing takes no more.
	// Each further part is up to statedGrowth times as long as what was received, which copies
	// less than doubling does.
	firstStated  = int64(64 << 10)
	statedGrowth = 4
	// heldShare is the part of the process's budget that bodies, or answers, may take.
	heldShare = 2
)

var (
	answerBytesHeld    = expvar.NewInt("answer_bytes_held")
	answerHoldsRefused = expvar.NewInt("answer_holds_refused")
	bodyBytesHeld      = expvar.NewInt("body_bytes_held")
	bodyHoldsRefused   = expvar.NewInt("body_holds_refused")
)

// heldBytes counts the bytes of answers, or of callers' bodies, that are held for all calls of
// an entry. Many of them may be long at once, and a process that holds them all runs out of
// memory.
type heldBytes struct {
	max   int64
	total atomic.Int64
	// held and refused are the metrics.
	held, refused *expvar.Int
}

// newHeldAnswers and newHeldBodies return the bounds of a process with a budget for what its
// clients use; 0 means no bound.
func newHeldAnswers(budget int64) *heldBytes {
	return &heldBytes{max: boundHeld(maxHeldAnswers, budget), held: answerBytesHeld, refused: answerHoldsRefused}
}

func newHeldBodies(budget int64) *heldBytes {
	return &heldBytes{max: boundHeld(maxHeldBodies, budget), held: bodyBytesHeld, refused: bodyHoldsRefused}
}

func boundHeld(most, budget int64) int64 {
	if budget <= 0 {
		return most
	}
	return min(most, budget/heldShare)
}

// reserve reports whether n more bytes may be held.
func (h *heldBytes) reserve(n int64) bool {
	if h.total.Add(n) > h.max {
		h.total.Add(-n)
		h.refused.Add(1)
		return false
	}
	h.held.Add(n)
	return true
}

// fits reports whether n more bytes could be held now.
func (h *heldBytes) fits(n int64) bool {
	if n <= 0 || h.total.Load()+n <= h.max {
		return true
	}
	h.refused.Add(1)
	return false
}

func (h *heldBytes) release(n int64) {
	h.total.Add(-n)
	h.held.Add(-n)
}

// hold is the part of heldBytes of one call.
type hold struct {
	of *heldBytes
	// free is the number of bytes that don't count, so that calls with short bodies are never
	// refused because of those with long ones.
	free  int64
	bytes int64
	// conn is the caller's connection, to which all bytes are charged, and reserve one of its
	// methods. charged is what is charged so far. conn is nil if the bytes aren't charged.
	conn    *ingress.Conn
	reserve func(n int64) bool
	charged int64
}

// extend reports whether the call may hold n bytes in all.
func (h *hold) extend(n int64) bool {
	if h.conn != nil && n > max(h.charged, ingress.FreeBytes) {
		if !h.reserve(n - h.charged) {
			h.of.refused.Add(1)
			return false
		}
		h.charged = n
	}
	if n -= h.free; n <= h.bytes {
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
	if h.charged > 0 {
		h.conn.Release(h.charged)
		h.charged = 0
	}
}

// read reads up to limit bytes of a body, or fewer if no more may be held. length is the stated
// length of the body, negative if it has none; a body that is too long to be held as a whole is
// not begun. What is held grows with what has been received, also if the length is stated. The
// error is that of the body, nil if there may be more of it.
func (h *hold) read(body io.Reader, length, limit int64) ([]byte, error) {
	size, growth := minHeldStep, int64(2)
	if length >= 0 && length < limit {
		// One more byte finds the end.
		limit = length + 1
		growth = statedGrowth
		if size = min(limit, firstStated); !h.of.fits(limit - h.free) {
			return nil, nil
		}
	}
	var b bytes.Buffer
	for ; h.extend(size); size = min(growth*size, limit) {
		b.Grow(int(size) - b.Len() + bytes.MinRead)
		if _, err := io.CopyN(&b, body, size-int64(b.Len())); err != nil || size == limit {
			return b.Bytes(), err
		}
	}
	return b.Bytes(), nil
}
