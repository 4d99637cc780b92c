package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

func poll(host string) *schema.ViewRequest {
	return &schema.ViewRequest{Entry: host, Address: "10.0.0.1:1", DataCentre: "leon"}
}

func listOf(hosts ...string) *schema.EntryList {
	l := &schema.EntryList{Epoch: 1}
	for _, h := range hosts {
		l.Entries = append(l.Entries, &schema.ListedEntry{Host: h, Address: "10.0.0.1:1", DataCentre: "leon"})
	}
	return l
}

// Guards against a new leader that takes entries off the list which it could not
// have heard yet, and against a silent or draining entry that stays on it.
func TestWantedEntries(t *testing.T) {
	var p entryPolls
	assert.Assert(t, p.wanted(0, false, listOf("a")) == nil, "a follower decides nothing")
	assert.Assert(t, p.wanted(time.Second, true, listOf("a", "b")) == nil, "a new leader waits")
	p.heard(2*time.Second, poll("a"))
	p.heard(2*time.Second, poll("c"))
	assert.Equal(t, len(p.wanted(2*time.Second, true, listOf("a", "b"))), 3, "a new entry joins at once")
	assert.Equal(t, len(p.wanted(4500*time.Millisecond, true, listOf("a", "b", "c"))), 2, "b stayed silent")
	assert.Assert(t, p.wanted(4500*time.Millisecond, true, listOf("a", "c")) == nil)
	leaving := poll("c")
	leaving.Leaving = true
	p.heard(4600*time.Millisecond, leaving)
	assert.Equal(t, len(p.wanted(4700*time.Millisecond, true, listOf("a", "c"))), 1, "c drains")
	assert.Equal(t, len(p.wanted(10*time.Second, true, listOf("a"))), 0, "all are silent")
}
