package engine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

func announcement(incarnation serving.Incarnation, seq uint64, phase engine.Phase) *engine.Announcement {
	return &engine.Announcement{Engine: "e1", Address: "127.0.0.1:1", DataCentre: "dc-a", Incarnation: incarnation, Seq: seq, State: phase}
}

func member(id string, version uint64, lastSeen time.Duration) engine.Member {
	return engine.Member{ID: id, Kind: engine.MemberEntry, Version: version, LastSeen: lastSeen}
}

// Guards against an older announcement that replaces a newer one, and against a
// leaving incarnation whose Leaving flag is reset by a later announcement.
func TestAnnounceKeepsTheNewest(t *testing.T) {
	tests := []struct {
		name     string
		second   *engine.Announcement
		accepted bool
		leaving  bool
	}{
		{"older sequence", announcement(2, 4, engine.PhaseReady), false, true},
		{"older incarnation", announcement(1, 99, engine.PhaseReady), false, true},
		{"same incarnation", announcement(2, 6, engine.PhaseReady), true, true},
		{"new incarnation", announcement(3, 1, engine.PhaseReady), true, false},
	}
	for _, tt := range tests {
		d := engine.NewDirectory(engine.Config{Self: member("self", 0, 0)})
		assert.Assert(t, d.Announce(0, announcement(2, 5, engine.PhaseLeaving), ""))
		assert.Equal(t, d.Announce(0, tt.second, ""), tt.accepted, tt.name)
		assert.Equal(t, d.Members(engine.MemberEngine)[0].Leaving, tt.leaving, tt.name)
	}
}

// Guards against a load report that is merged into an announcement it does not
// belong to, and against announcements that are forwarded again although only the
// load changed.
func TestMergeLoadReportRequiresMatchingDescription(t *testing.T) {
	d := engine.NewDirectory(engine.Config{Self: member("self", 0, 0)})
	a := announcement(1, 5, engine.PhaseReady)
	d.Announce(0, a, "")
	later := *a
	later.Seq, later.Load.Running = 6, 3
	d.Announce(0, &later, "")
	assert.Equal(t, d.Digest()["e1"], engine.Digest{Incarnation: 1, Version: 6, DescriptionVersion: 5}, "only the load changed")
	changed := later
	changed.Seq, changed.Models = 7, []engine.ModelRef{{Model: "m"}}
	d.Announce(0, &changed, "")
	assert.Equal(t, d.Digest()["e1"].DescriptionVersion, uint64(7))

	report := func(incarnation serving.Incarnation, version, descriptionVersion uint64) bool {
		m := engine.Member{ID: "e1", Incarnation: incarnation, Version: version, DescriptionVersion: descriptionVersion, LastSeen: time.Second}
		return d.MergeLoadReport(time.Second, m, serving.Load{Running: 9}, nil)
	}
	assert.Assert(t, !report(1, 8, 5), "another announcement")
	assert.Assert(t, !report(2, 8, 7), "another incarnation")
	assert.Assert(t, !report(1, 7, 7), "an old report")
	assert.Assert(t, report(1, 8, 7))
	m := d.Members(engine.MemberEngine)[0]
	assert.Equal(t, m.Announcement.Load.Running, serving.Slots(9))
	assert.Equal(t, m.Announcement.Models[0].Model, serving.ModelID("m"))
	assert.Equal(t, m.LastSeen, time.Second)
}

// Guards against an unreachable member that is classified as dead, and a dead one
// that is classified as unreachable.
func TestStateDistinguishesUnreachableFromDead(t *testing.T) {
	tests := []struct {
		name         string
		lastSeen     time.Duration
		contactFails bool
		want         engine.State
	}{
		{"recent and reachable", 9 * time.Second, false, engine.StateAlive},
		{"recent through other entries only", 9 * time.Second, true, engine.StateUnreachable},
		{"no update for 2 s", 8 * time.Second, true, engine.StateSuspect},
		{"no update for 6 s", 4 * time.Second, true, engine.StateDead},
	}
	for _, tt := range tests {
		now := 10 * time.Second
		d := engine.NewDirectory(engine.Config{Self: member("self", 0, 0)})
		d.Merge(now, []engine.Member{member("peer", 1, tt.lastSeen)})
		d.RecordContact(now, "peer", !tt.contactFails)
		assert.Equal(t, d.State(now, "peer"), tt.want, tt.name)
	}
}

// Guards against membership views that do not converge when messages are lost: 30 %
// of the exchanges fail.
func TestExchangesConvergeUnderLoss(t *testing.T) {
	const entries = 9
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		var all []*engine.Directory
		for i := range entries {
			d := engine.NewDirectory(engine.Config{Self: member(fmt.Sprint("entry-", i), 0, 0)})
			d.Heartbeat(0, false)
			all = append(all, d)
		}
		all[0].Announce(0, announcement(1, 1, engine.PhaseReady), "")
		for round := range 40 {
			now := time.Duration(round) * 10 * time.Millisecond
			for _, d := range all {
				peer := all[r.IntN(entries)]
				if r.Float64() < 0.3 {
					continue
				}
				d.Merge(now, peer.Newer(d.Digest()))
			}
		}
		for i, d := range all {
			assert.Equal(t, len(d.Digest()), entries+1, "seed %d, entry %d", seed, i)
		}
	}
}

// Guards against a change of owner for engines that the removed entry did not own.
func TestOwnerChangesOnlyForEnginesOfRemovedEntry(t *testing.T) {
	var entries []engine.Entry
	for i := range 7 {
		entries = append(entries, engine.Entry{Host: serving.HostID(fmt.Sprint("h", i)), DataCentre: serving.DataCentreID(fmt.Sprint("dc-", i%3)), Region: serving.RegionID(fmt.Sprint("r-", i%3))})
	}
	for i := range 200 {
		id := serving.EngineID(fmt.Sprint("engine-", i))
		dc := serving.DataCentreID(fmt.Sprint("dc-", i%3))
		before, ok := engine.Owner(id, dc, "", entries)
		assert.Assert(t, ok)
		assert.Equal(t, before.DataCentre, dc)
		after, _ := engine.Owner(id, dc, "", entries[1:])
		if before.Host != "h0" {
			assert.Equal(t, after, before)
		}
	}
	_, ok := engine.Owner("e", "dc-0", "", nil)
	assert.Assert(t, !ok)
}

// Guards against a panic on malformed announcements from the network.
func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add([]byte(`{"engine":"e1","address":"127.0.0.1:1","data_centre":"dc-a","models":[{"model":"m"}]}`))
	f.Add([]byte(`{"engine":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := engine.DecodeAnnouncement(b)
		if err == nil {
			assert.Assert(t, a.Engine != "")
		}
	})
}

func ExampleDirectory() {
	d := engine.NewDirectory(engine.Config{Self: engine.Member{ID: "entry-1"}})
	d.Announce(0, &engine.Announcement{Engine: "engine-1", Address: "127.0.0.1:9000", DataCentre: "leon", Seq: 1}, "leon")
	fmt.Println(d.State(time.Second, "engine-1"), d.State(time.Minute, "engine-1"))
	// Output: alive dead
}

// Guards against an announced address that can't be called.
func TestAnnouncedAddress(t *testing.T) {
	for _, tc := range []struct {
		address string
		valid   bool
	}{
		{"10.0.0.9:8080", true},
		{"engine-1.example:65535", true},
		{"[::1]:80", true},
		{"10.0.0.9", false},
		{"10.0.0.9:", false},
		{"10.0.0.9:0", false},
		{"10.0.0.9:65536", false},
		{"10.0.0.9:-1", false},
		{"10.0.0.9:http", false},
	} {
		t.Run(tc.address, func(t *testing.T) {
			_, err := engine.DecodeAnnouncement([]byte(`{"engine":"e-1","address":"` + tc.address + `","data_centre":"dc-1"}`))
			assert.Equal(t, err == nil, tc.valid, "%v", err)
		})
	}
}
