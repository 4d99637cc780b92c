package engine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

func testEntries(ids ...string) []engine.Entry {
	var all []engine.Entry
	for _, id := range ids {
		all = append(all, engine.Entry{Host: serving.HostID(id), DataCentre: "dc"})
	}
	return all
}

// Guards against two entries that act as owner of one engine at the same time
// after the list of entries changed, and against a delay when the owner stays the
// same.
func TestSettledWaitsAfterAChangeOfOwner(t *testing.T) {
	const settle = 5 * time.Second
	all := testEntries("a", "b", "c")
	// engineOfB is owned by b, and by a once b is removed from the list.
	var engineOfA, engineOfB serving.EngineID
	for i := range 100 {
		id := serving.EngineID(fmt.Sprint("engine-", i))
		switch owner, _ := engine.Owner(id, "dc", "", all); owner.Host {
		case "a":
			engineOfA = id
		case "b":
			if next, _ := engine.Owner(id, "dc", "", testEntries("a", "c")); next.Host == "a" {
				engineOfB = id
			}
		}
	}
	o := engine.Ownership{Self: "a", SettleTime: settle}
	assert.Assert(t, !o.Settled(0, engineOfA, "dc", ""), "no list yet")
	o.Update(0, 1, all)
	assert.Assert(t, !o.Settled(4*time.Second, engineOfA, "dc", ""), "an earlier list is unknown")
	assert.Assert(t, o.Settled(5*time.Second, engineOfA, "dc", ""))
	assert.Assert(t, !o.Settled(5*time.Second, engineOfB, "dc", ""))

	o.Update(10*time.Second, 2, testEntries("a", "c"))
	assert.Assert(t, o.Settled(10*time.Second, engineOfA, "dc", ""), "the owner stayed the same")
	assert.Assert(t, !o.Settled(14*time.Second, engineOfB, "dc", ""), "slots that b granted may not have expired")
	assert.Assert(t, o.Settled(16*time.Second, engineOfB, "dc", ""))

	o.Update(20*time.Second, 3, all)
	assert.Assert(t, !o.Settled(20*time.Second, engineOfB, "dc", ""), "b owns it again")
	o.Update(21*time.Second, 4, testEntries("a", "c"))
	assert.Assert(t, !o.Settled(25*time.Second, engineOfB, "dc", ""))
	assert.Assert(t, o.Settled(27*time.Second, engineOfB, "dc", ""))

	assert.Assert(t, !o.Update(30*time.Second, 6, all), "list 5 was missed")
	assert.Assert(t, !o.Settled(34*time.Second, engineOfA, "dc", ""), "another entry may have been the owner under list 5")
	assert.Assert(t, o.Settled(35*time.Second, engineOfA, "dc", ""))
}
