package gateway

import (
	"errors"
	"io"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bodies that are cut, or held without being counted, and against a stated length
// that ends the entry with a panic or takes the memory of others.
func TestHoldRead(t *testing.T) {
	const limit, longest = 512 << 10, 1 << 20
	for _, tc := range []struct {
		name   string
		length int
		stated int64
		free   int64
		// other is what other calls hold.
		other int64
		want  int
		end   error
	}{
		{"empty", 0, 0, 0, 0, 0, io.EOF},
		{"empty, no length", 0, -1, 0, 0, 0, io.EOF},
		{"short", 100, 100, 0, 0, 100, io.EOF},
		{"short, no length", 100, -1, 0, 0, 100, io.EOF},
		{"steps, no length", 9000, -1, 0, 0, 9000, io.EOF},
		{"as long as the limit", limit, -1, 0, 0, limit, nil},
		{"longer than the limit", limit + 1, -1, 0, 0, limit, nil},
		{"longer than its stated length", 200, 100, 0, 0, 101, nil},
		{"absurd length", 100, math.MaxInt64, 0, 0, 100, io.EOF},
		{"no room", 100, 100, 0, longest, 0, nil},
		{"no room, no length", 100, -1, 0, longest, 0, nil},
		{"no room, but short enough", 100, 100, 200, longest, 100, io.EOF},
		{"room for a part, no length", 9000, -1, 0, longest - 10<<10, 8 << 10, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			all := newHeldBodies(0)
			all.max = longest
			assert.Assert(t, all.reserve(tc.other))
			h := hold{of: all, free: tc.free}
			b, err := h.read(strings.NewReader(strings.Repeat("x", tc.length)), tc.stated, limit)
			assert.Equal(t, len(b), tc.want)
			assert.Assert(t, errors.Is(err, tc.end) && (err == nil) == (tc.end == nil), "%v", err)
			assert.Assert(t, h.bytes+h.free >= int64(len(b)), "%d bytes are counted", h.bytes)
			h.end()
			assert.Equal(t, all.total.Load(), tc.other)
		})
	}
}
