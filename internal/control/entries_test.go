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

// Guards against a new leader that removes entries before they could poll it, and
// against an entry that stays on the list after it stopped polling or started
// draining.
func TestUpdatedList(t *testing.T) {
	var p entryPolls
	assert.Assert(t, p.updatedList(0, false, listOf("a")) == nil, "a follower changes no list")
	assert.Assert(t, p.updatedList(time.Second, true, listOf("a", "b")) == nil, "a new leader removes no entry at first")
	p.record(2*time.Second, poll("a"))
	p.record(2*time.Second, poll("c"))
	assert.Equal(t, len(p.updatedList(2*time.Second, true, listOf("a", "b"))), 3, "a new entry joins at once")
	assert.Equal(t, len(p.updatedList(4500*time.Millisecond, true, listOf("a", "b", "c"))), 2, "b has not polled")
	assert.Assert(t, p.updatedList(4500*time.Millisecond, true, listOf("a", "c")) == nil)
	leaving := poll("c")
	leaving.Leaving = true
	p.record(4600*time.Millisecond, leaving)
	assert.Equal(t, len(p.updatedList(4700*time.Millisecond, true, listOf("a", "c"))), 1, "c drains")
	assert.Equal(t, len(p.updatedList(10*time.Second, true, listOf("a"))), 0, "no entry polls any more")
}
