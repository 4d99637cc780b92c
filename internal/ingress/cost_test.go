package ingress

import (
	"bufio"
	"fmt"
	"maps"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// shortFields returns n header lines of which no two have the same name.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// Guards against a header that takes more memory than is charged for it: an entry holds the
// parsed header, the copy of the call, and the copy for the engine.
func TestHeaderTakesNoMoreThanItsCharge(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fields string
	}{
		{"short fields", shortFields(2500)},
		{"few long fields", strings.Repeat("X-Long: "+strings.Repeat("x", 4<<10)+"\r\n", 4)},
		{"one name", strings.Repeat("x:\r\n", 4000)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const requests = 20
			raw := "GET / HTTP/1.1\r\nHost: a\r\n" + tc.fields + "\r\n"
			var held [requests][3]http.Header
			var charge int64
			before := heap()
			for i := range held {
				r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
				assert.NilError(t, err)
				charge = headerCost(r.Header)
				held[i] = [3]http.Header{r.Header, r.Header.Clone(), maps.Clone(r.Header)}
			}
			cost := (heap() - before) / requests
			runtime.KeepAlive(held)
			t.Logf("%d bytes, %d held, %d charged", len(raw), cost, charge)
			assert.Assert(t, cost <= charge, "%d bytes are held and %d charged", cost, charge)
		})
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) //nolint:gosec // A heap is smaller than that.
}
