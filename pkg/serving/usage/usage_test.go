package usage_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

func TestSums(t *testing.T) {
	table := usage.NewTable(time.Second)
	table.Report(0, "one", []usage.Use{{Engine: "a", Running: 2, Held: 10, Expected: 20, Prefill: 5}, {Engine: "b", Running: 1}})
	table.Report(0, "two", []usage.Use{{Engine: "a", Running: 3, Held: 1}})
	for _, tc := range []struct {
		name      string
		now       time.Duration
		report    []usage.Use
		running   int64
		reporters int
	}{
		{"both", 500 * time.Millisecond, []usage.Use{{Engine: "a", Running: 4}}, 7, 2},
		{"a repeated report replaces the first", 600 * time.Millisecond, []usage.Use{{Engine: "a", Running: 1}}, 4, 2},
		{"a report that is not repeated expires", 1400 * time.Millisecond, []usage.Use{{Engine: "a", Running: 1}}, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table.Report(tc.now, "one", tc.report)
			sums, n := table.Sums(tc.now)
			assert.Equal(t, int64(sums["a"].Running), tc.running)
			assert.Equal(t, n, tc.reporters)
		})
	}
}
