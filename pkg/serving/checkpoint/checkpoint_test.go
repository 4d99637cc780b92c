package checkpoint_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/checkpoint"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
)

var writtenAt = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func stored(t *testing.T, sequence uint64, revision uint64, stateAge time.Duration, engines ...*schema.EngineRecord) []byte {
	t.Helper()
	b, err := checkpoint.Encode(checkpoint.New(sequence, writtenAt, &schema.DeploymentState{Revision: revision}, stateAge, engines))
	assert.NilError(t, err)
	return b
}

// Load pattern: all hosts lose power and callers return a second later, while no leader is
// elected and no engine has sent a heartbeat. Guards against an entry that refuses them
// although its hub knew everything a moment ago, and against one that serves with a state of
// long ago.
func TestCallersReturnWhileNoHubHasALeader(t *testing.T) {
	tests := []struct {
		name     string
		down     time.Duration
		stateAge time.Duration
		waited   time.Duration
		unknown  bool
		want     bool
	}{
		{name: "back after a second", down: time.Second, stateAge: 80 * time.Millisecond, want: true},
		{name: "back after the longest time", down: 4900 * time.Millisecond, stateAge: 90 * time.Millisecond, want: true},
		{name: "clock went back meanwhile", down: -3 * time.Second, stateAge: 80 * time.Millisecond, want: true},
		{name: "back after ten seconds", down: 10 * time.Second},
		{name: "cut off from the leader before", down: time.Second, stateAge: 6 * time.Second},
		{name: "cut off, and no other hub for three seconds", down: time.Second, stateAge: 6 * time.Second, waited: 3 * time.Second, want: true},
		{name: "hub without a checkpoint", unknown: true},
		{name: "hub without a checkpoint for three seconds", unknown: true, waited: 3 * time.Second, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := checkpoint.Known{Waited: tt.waited}
			if !tt.unknown {
				wall := writtenAt.Add(tt.down)
				c := checkpoint.Newest([][]byte{stored(t, 1, 9, tt.stateAge)}, wall)
				assert.Assert(t, c != nil)
				k.Age, k.HasAge = checkpoint.StateAge(c, wall), true
			}
			assert.Equal(t, checkpoint.MayServe(k), tt.want)
		})
	}
}

// Guards against a checkpoint that is torn by the power loss, outdated or of another time.
func TestNewest(t *testing.T) {
	older, newer := stored(t, 7, 10, 0), stored(t, 8, 11, 0)
	damaged := append([]byte(nil), newer...)
	damaged[len(damaged)-1] ^= 1
	tests := []struct {
		name   string
		stored [][]byte
		after  time.Duration
		want   uint64
	}{
		{name: "the newer one", stored: [][]byte{older, newer}, want: 11},
		{name: "in the other order", stored: [][]byte{newer, older}, want: 11},
		{name: "the newer one is torn", stored: [][]byte{older, newer[:len(newer)-2]}, want: 10},
		{name: "the newer one is damaged", stored: [][]byte{damaged, older}, want: 10},
		{name: "empty and missing files", stored: [][]byte{{}, nil, older}, want: 10},
		{name: "none"},
		{name: "too old", stored: [][]byte{newer}, after: checkpoint.MaxAge + time.Millisecond},
		{name: "written far in the future", stored: [][]byte{newer}, after: -checkpoint.MaxClockStep - time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, checkpoint.Newest(tt.stored, writtenAt.Add(tt.after)).GetState().GetRevision(), tt.want)
		})
	}
}

// Guards against a damaged file that ends the process at its start.
func TestDecodeNeverPanics(t *testing.T) {
	whole := stored(t, 3, 4, time.Second, &schema.EngineRecord{Engine: "e", Address: "10.0.0.1:80"})
	rapid.Check(t, func(t *rapid.T) {
		b := append([]byte(nil), whole[:rapid.IntRange(0, len(whole)).Draw(t, "length")]...)
		for range rapid.IntRange(0, 3).Draw(t, "flips") {
			if len(b) > 0 {
				b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= rapid.Byte().Draw(t, "bits")
			}
		}
		c, err := checkpoint.Decode(b)
		assert.Equal(t, c == nil, err != nil)
		if err != nil {
			assert.Equal(t, serving.KindOf(err), serving.KindDamaged)
		}
	})
}

// Guards against engines of a checkpoint that look as if they had just sent a heartbeat,
// against late heartbeats that bring a gone engine back, and against a gone engine that
// takes over the address of the one after it.
func TestEnginesOfRestoredDirectory(t *testing.T) {
	b := stored(t, 1, 1, 0,
		&schema.EngineRecord{Engine: "leaving", Address: "10.0.0.1:80", State: "leaving", Sequence: 6, StartedMs: 1, AgeMs: 100},
		&schema.EngineRecord{Engine: "cold", Address: "10.0.0.2:80", State: "ready", Sequence: 1, StartedMs: 2, ColdMs: 3000, AgeMs: 200},
		&schema.EngineRecord{Engine: "next", Address: "10.0.0.3:80", State: "ready", Sequence: 2, AgeMs: 300},
		&schema.EngineRecord{Engine: "gone", Address: "10.0.0.3:80", State: "gone", Sequence: 5, AgeMs: 400},
	)
	const now, down = 50 * time.Millisecond, 2 * time.Second
	wall := writtenAt.Add(down)
	d := presence.NewDirectory()
	for _, r := range checkpoint.Engines(now, checkpoint.Newest([][]byte{b}, wall), wall) {
		d.Observe(now, r)
	}
	assert.Equal(t, d.Get("cold").LastHeartbeat, now-down-200*time.Millisecond)
	assert.Equal(t, d.Get("cold").ColdUntil, now+time.Second)
	assert.Assert(t, d.Get("cold").Usable() && d.Get("next").Usable())
	d.Observe(now, presence.Record{Engine: "leaving", Address: "10.0.0.1:80", State: presence.Ready, Sequence: 5, Started: 1})
	d.Observe(now, presence.Record{Engine: "gone", Address: "10.0.0.3:80", State: presence.Ready, Sequence: 4})
	assert.Equal(t, d.Get("leaving").State, presence.Leaving)
	assert.Equal(t, d.Get("gone").State, presence.Gone)
	assert.Assert(t, d.Get("next").Usable())
}

// BenchmarkEncode gives the slope of a checkpoint over the engines.
func BenchmarkEncode(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		engines := make([]*schema.EngineRecord, n)
		for i := range engines {
			engines[i] = &schema.EngineRecord{Engine: "i-0123456789", Service: "service", Address: "10.128.200.200:8080", DataCentre: "north-1",
				State: "ready", Slots: 24, StartedMs: 1_780_000_000_000, Sequence: 1000, AgeMs: 600}
		}
		c := checkpoint.New(1, writtenAt, &schema.DeploymentState{}, 0, engines)
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := checkpoint.Encode(c)
				assert.NilError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "B/engine")
		})
	}
}
