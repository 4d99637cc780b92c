package shedding_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving/shedding"
)

var limits = shedding.Limits{Header: 3 * time.Second, Idle: 12 * time.Second, Quiet: 2 * time.Second}

// Guards against closing the connection of an ordinary client while one of a crowd is there, which
// sends nothing, stops partway, or holds more for longer. Each connection is closed before the
// next one.
func TestOrder(t *testing.T) {
	const kib, second = 1 << 10, time.Second
	order := []struct {
		name string
		shedding.Holding
		class shedding.Class
	}{
		{"refused", shedding.Holding{Phase: shedding.Refused, Bytes: 24 * kib}, shedding.Done},
		{"large body one byte short", shedding.Holding{Phase: shedding.Body, Bytes: 4096 * kib, Age: 5 * second, Quiet: 4 * second}, shedding.Stalled},
		{"unread answer", shedding.Holding{Phase: shedding.Writing, Bytes: 200 * kib, Age: 5 * second, Quiet: 5 * second}, shedding.Stalled},
		{"silent from the start", shedding.Holding{Phase: shedding.Opening, Bytes: 24 * kib, Age: 8 * second, Quiet: 8 * second}, shedding.Stalled},
		{"slow header", shedding.Holding{Phase: shedding.Header, Bytes: 24 * kib, Age: 4 * second}, shedding.Stalled},
		{"idle beyond the limit", shedding.Holding{Phase: shedding.Idle, Valid: true, Bytes: 24 * kib, Age: 13 * second}, shedding.Unused},
		{"idle without a valid request", shedding.Holding{Phase: shedding.Idle, Bytes: 24 * kib, Age: second}, shedding.Unused},
		{"body in progress", shedding.Holding{Phase: shedding.Body, Bytes: 1024 * kib, Age: 2 * second}, shedding.Slow},
		{"just opened", shedding.Holding{Phase: shedding.Opening, Bytes: 24 * kib, Age: second}, shedding.Slow},
		{"idle after a valid request", shedding.Holding{Phase: shedding.Idle, Valid: true, Bytes: 24 * kib, Age: 11 * second}, shedding.Known},
		{"long stream", shedding.Holding{Phase: shedding.Serving, Bytes: 300 * kib, Age: 39 * second, Quiet: 39 * second}, shedding.Busy},
		{"answer that is being read", shedding.Holding{Phase: shedding.Writing, Bytes: 24 * kib, Age: second, Quiet: second}, shedding.Busy},
	}
	for i, h := range order {
		assert.Equal(t, h.Class(limits), h.class, h.name)
		for _, later := range order[i+1:] {
			assert.Assert(t, h.Before(later.Holding, limits), "%s is closed after %s", h.name, later.name)
			assert.Assert(t, !later.Before(h.Holding, limits), "%s is closed before %s", later.name, h.name)
		}
	}
}

// Guards against comparisons that allocate or take long: an entry compares all its connections
// when one above the bound is opened.
func TestComparisonAllocatesNothing(t *testing.T) {
	a, b := shedding.Holding{Phase: shedding.Body, Bytes: 1}, shedding.Holding{Phase: shedding.Idle, Bytes: 2}
	assert.Equal(t, testing.AllocsPerRun(100, func() { _ = a.Before(b, limits) }), 0.0)
}
