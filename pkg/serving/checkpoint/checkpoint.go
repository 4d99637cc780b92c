// Package checkpoint lets a deployment serve right after all its hosts have restarted. A
// hub, a process of the control plane, stores at an interval what it knows: the deployment
// state and the engines. After a restart it passes both on to the entries, the processes
// that forward client requests, before a leader is elected and before the engines have sent
// their heartbeats. Both take about a second, in which callers would be refused.
//
// # Usage
//
//	c := checkpoint.New(sequence, wall, state, stateAge, engines)
//	data := checkpoint.Encode(c)
//	// after a restart
//	c := checkpoint.Newest(stored, wall)
//	engines := checkpoint.Engines(now, c, wall)
//	stateAge := checkpoint.StateAge(c, wall)
//
// # What a checkpoint may be used for
//
// A checkpoint holds only state that the replicated log had committed, so that it is never
// taken back. It may be older than the newest state. Its age counts from the last moment at
// which a leader confirmed it, and includes the time for which the process was down by the
// time of day, whose jumps MaxClockStep allows for. An entry that has no state yet serves
// with state up to MaxStateAge, as an entry does that has been cut off from the control
// plane for so long; see [MayServe]. Orders of operators and reads of the configuration
// never use a checkpoint.
//
// Engines of a checkpoint keep their sequence numbers and start times, so that a heartbeat
// that comes late neither brings a gone engine back nor makes a leaving one ready.
//
// No part of this package has a clock, a network or a goroutine.
//
// Source: internal/hub stores checkpoints and internal/gateway uses the state.
package checkpoint

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
)

const (
	// MaxStateAge is the age up to which an entry without a state serves with a state that
	// no leader confirms.
	MaxStateAge = 5 * time.Second
	// UnconfirmedAfter is how long an entry without a state waits before it serves with a
	// state of any age.
	UnconfirmedAfter = 3 * time.Second
	// MaxAge is the age above which a checkpoint is not used.
	MaxAge = 30 * time.Second
	// MaxClockStep is how far the time of day may have gone back since a checkpoint was
	// written.
	MaxClockStep = 10 * time.Second
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksumSize is the size of the checksum at the start of an encoded checkpoint.
const checksumSize = 4

// New returns a checkpoint written at a time of day. stateAge is the time since a leader
// last confirmed the state.
func New(sequence uint64, wall time.Time, state *schema.DeploymentState, stateAge time.Duration, engines []*schema.EngineRecord) *schema.HubCheckpoint {
	return &schema.HubCheckpoint{Sequence: sequence, WrittenMs: wall.UnixMilli(), State: state, StateAgeMs: stateAge.Milliseconds(), Engines: engines}
}

// Encode returns the stored form of a checkpoint.
func Encode(c *schema.HubCheckpoint) ([]byte, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, serving.WrapError(err, serving.KindInternal, "encode the checkpoint")
	}
	return append(binary.LittleEndian.AppendUint32(nil, crc32.Checksum(data, castagnoli)), data...), nil
}

// Decode returns a stored checkpoint. The error is of kind damaged if it was written in
// part only.
func Decode(b []byte) (*schema.HubCheckpoint, error) {
	if len(b) < checksumSize || crc32.Checksum(b[checksumSize:], castagnoli) != binary.LittleEndian.Uint32(b) {
		return nil, serving.NewError(serving.KindDamaged, "the checksum of the checkpoint does not match")
	}
	c := &schema.HubCheckpoint{}
	if err := proto.Unmarshal(b[checksumSize:], c); err != nil {
		return nil, serving.WrapError(err, serving.KindDamaged, "decode the checkpoint")
	}
	return c, nil
}

// Newest returns the newest of the stored checkpoints that can be read, or nil if there is
// none that may be used at a time of day.
func Newest(stored [][]byte, wall time.Time) (newest *schema.HubCheckpoint) {
	for _, b := range stored {
		c, err := Decode(b)
		if err != nil || newest != nil && c.GetSequence() <= newest.GetSequence() {
			continue
		}
		newest = c
	}
	if newest == nil || wall.Sub(time.UnixMilli(newest.GetWrittenMs())) < -MaxClockStep || downtime(newest, wall) > MaxAge {
		return nil
	}
	return newest
}

// downtime returns the time since a checkpoint was written.
func downtime(c *schema.HubCheckpoint, wall time.Time) time.Duration {
	return max(0, wall.Sub(time.UnixMilli(c.GetWrittenMs())))
}

// StateAge returns the time since a leader last confirmed the state of a checkpoint.
func StateAge(c *schema.HubCheckpoint, wall time.Time) time.Duration {
	return max(0, time.Duration(c.GetStateAgeMs())*time.Millisecond) + downtime(c, wall)
}

// Engines returns the records of a checkpoint on the clock of this process, in the order in
// which a directory must observe them: those of engines that are gone first, so that they
// don't take over addresses that are used again.
func Engines(now time.Duration, c *schema.HubCheckpoint, wall time.Time) []presence.Record {
	down := downtime(c, wall)
	out := make([]presence.Record, 0, len(c.GetEngines()))
	for _, m := range c.GetEngines() {
		r := presence.FromWire(now, m)
		r.LastHeartbeat -= down
		if r.ColdUntil > 0 {
			r.ColdUntil -= down
		}
		out = append(out, r)
	}
	slices.SortStableFunc(out, func(a, b presence.Record) int { return goneFirst(a) - goneFirst(b) })
	return out
}

func goneFirst(r presence.Record) int {
	if r.State == presence.Gone {
		return 0
	}
	return 1
}

// Known is what an entry without a state knows of one that a hub offers.
type Known struct {
	// Confirmed reports whether a leader confirms the state.
	Confirmed bool
	// Age is the time since a leader last did; it is valid if HasAge is set.
	Age    time.Duration
	HasAge bool
	// Waited is the time since the start of the entry.
	Waited time.Duration
}

// MayServe reports whether the entry may serve with the state. A later state replaces it.
func MayServe(k Known) bool {
	return k.Confirmed || k.HasAge && k.Age <= MaxStateAge || k.Waited >= UnconfirmedAfter
}
