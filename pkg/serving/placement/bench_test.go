package placement_test

import (
	"fmt"
	"testing"

	"turmericdrum.org/turmericdrum/pkg/serving/placement"
)

// Guards against decisions that take more than a hub of two years can afford: 20 µs at 100
// engines.
func BenchmarkPlaceUneven(b *testing.B) {
	p := newUnevenPool(1, streams(4), streams(1))
	for i := range 56 {
		p.SetEngine(engine(fmt.Sprint("more-", i), "model", "a-1"))
	}
	n := unevenLong()
	b.ReportAllocs()
	for b.Loop() {
		t, err := p.Place(1, n)
		if err != nil {
			b.Fatal(err)
		}
		t.End(1, placement.Abandoned, 0)
	}
}
