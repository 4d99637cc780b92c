package presence_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
)

func record(id string, started, sequence int64, state presence.State) presence.Record {
	return presence.Record{Engine: serving.EngineID(id), Service: "model", Address: "10.0.0.1:80", DataCentre: "a", State: state, Started: started, Sequence: sequence}
}

func withAddress(r presence.Record, address string) presence.Record {
	r.Address = address
	return r
}

// Guards against late heartbeats that revert a change of state, and against
// restarts that are mistaken for late heartbeats.
func TestObserve(t *testing.T) {
	const gone = presence.Gone
	for _, tc := range []struct {
		name    string
		records []presence.Record
		want    presence.State
	}{
		{"drains", []presence.Record{record("e", 5, 1, presence.Ready), record("e", 5, 2, presence.Leaving)}, presence.Leaving},
		{"late heartbeat after draining", []presence.Record{record("e", 5, 3, presence.Leaving), record("e", 5, 2, presence.Ready)}, presence.Leaving},
		{"higher sequence does not revoke leaving", []presence.Record{record("e", 5, 3, presence.Leaving), record("e", 5, 4, presence.Ready)}, presence.Leaving},
		{"restart under the same id", []presence.Record{record("e", 5, 9, presence.Leaving), record("e", 8, 1, presence.Ready)}, presence.Ready},
		{"heartbeat of an earlier start", []presence.Record{record("e", 8, 1, presence.Leaving), record("e", 5, 9, presence.Ready)}, presence.Leaving},
		{"late heartbeat after the shutdown", []presence.Record{record("e", 5, 1, presence.Ready), {Engine: "e", Started: 5, State: gone}, record("e", 5, 2, presence.Ready)}, gone},
		{"restart after the shutdown", []presence.Record{record("e", 5, 1, presence.Ready), {Engine: "e", Started: 5, State: gone}, record("e", 6, 1, presence.Ready)}, presence.Ready},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := presence.NewDirectory()
			for i, r := range tc.records {
				now := time.Duration(i) * time.Second
				if r.State == gone {
					d.MarkGone(now, r.Engine)
					continue
				}
				r.LastHeartbeat = now
				d.Observe(now, r)
			}
			assert.Equal(t, d.Get("e").State, tc.want)
		})
	}
}

// Guards against calls that are sent to a crashed engine whose address was reused:
// the address belongs to the engine that started last, in whichever order the
// heartbeats arrive.
func TestAddressReuse(t *testing.T) {
	for _, tc := range []struct {
		name  string
		order []presence.Record
	}{
		{"in order", []presence.Record{record("old", 5, 9, presence.Ready), record("new", 8, 1, presence.Ready)}},
		{"late heartbeat of the earlier engine", []presence.Record{record("new", 8, 1, presence.Ready), record("old", 5, 9, presence.Ready)}},
		{"late heartbeat of an earlier engine already in the directory", []presence.Record{record("old", 5, 8, presence.Ready), record("new", 8, 1, presence.Ready), record("old", 5, 9, presence.Ready)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := presence.NewDirectory()
			for _, r := range tc.order {
				d.Observe(0, r)
			}
			assert.Assert(t, d.Get("new").Usable())
			assert.Assert(t, !d.Get("old").Usable())
		})
	}
	d := presence.NewDirectory()
	d.Observe(0, record("one", 5, 1, presence.Ready))
	d.Observe(0, withAddress(record("two", 6, 1, presence.Ready), "10.0.0.2:80"))
	assert.Assert(t, d.Get("one").Usable() && d.Get("two").Usable())
}

// Guards against heartbeats that cause an update to every watcher. A heartbeat that
// differs from the previous one only in its time and sequence number is no change,
// but an engine that becomes silent or stops being silent is one.
func TestHeartbeatIsNoChange(t *testing.T) {
	d := presence.NewDirectory()
	assert.Assert(t, d.Observe(0, record("e", 5, 1, presence.Ready)))
	cursor := d.Cursor()
	r := record("e", 5, 2, presence.Ready)
	r.LastHeartbeat = time.Second
	assert.Assert(t, !d.Observe(time.Second, r))
	assert.Equal(t, d.Cursor(), cursor)
	assert.Assert(t, !d.Expire(4*time.Second))
	assert.Assert(t, d.Expire(6*time.Second))
	assert.Assert(t, d.Get("e").Silent)
	engines, _ := d.Since(cursor)
	assert.Equal(t, len(engines), 1)
	r.Sequence, r.LastHeartbeat = 3, 7*time.Second
	assert.Assert(t, d.Observe(7*time.Second, r))
	assert.Assert(t, !d.Get("e").Silent)
	d.Expire(60 * time.Second)
	assert.Assert(t, d.Get("e") == nil)
}

// Guards against processes that disagree on the state of an engine because they
// received the same heartbeats in different order, some of them twice.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []presence.Record
		for started := range int64(3) {
			leaves := rapid.Int64Range(2, 6).Draw(t, "leaves")
			for sequence := int64(1); sequence <= 5; sequence++ {
				state := presence.Ready
				if sequence >= leaves {
					state = presence.Leaving
				}
				records = append(records, record("e", started+1, sequence, state))
			}
		}
		one, two := presence.NewDirectory(), presence.NewDirectory()
		for _, r := range records {
			one.Observe(0, r)
		}
		for _, r := range rapid.Permutation(append(records, records...)).Draw(t, "order") {
			two.Observe(0, r)
		}
		assert.Equal(t, one.Get("e").State, two.Get("e").State)
		assert.Equal(t, one.Get("e").Started, two.Get("e").Started)
	})
}
