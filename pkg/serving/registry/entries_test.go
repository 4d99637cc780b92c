package registry

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

// Guards against a deposed leader that overwrites a newer entry list, and against
// a list that is missing after a restore.
func TestSetEntriesNeedsTheCurrentEpoch(t *testing.T) {
	m, err := New(Config{Schemes: []string{"catalogue"}})
	assert.NilError(t, err)
	set := func(epoch uint64, hosts ...string) schema.Outcome {
		c := &schema.SetEntries{ExpectedEpoch: epoch}
		for _, h := range hosts {
			c.Entries = append(c.Entries, &schema.ListedEntry{Host: h, Address: "10.0.0.1:1"})
		}
		return m.applyEntries(c).GetOutcome()
	}
	assert.Equal(t, set(0, "b", "a"), schema.Outcome_OUTCOME_ACCEPTED)
	assert.Equal(t, set(0, "c"), schema.Outcome_OUTCOME_CONFLICT)
	assert.Equal(t, set(1, "a", "a"), schema.Outcome_OUTCOME_INVALID)
	b, err := m.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, m.Restore(b))
	assert.Equal(t, m.Entries().GetEpoch(), uint64(1))
	assert.Equal(t, m.Entries().GetEntries()[0].GetHost(), "a")
}
