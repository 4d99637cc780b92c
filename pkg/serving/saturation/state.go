package saturation

import (
	"math"
	"strconv"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Phase is the state of an entry with regard to the load of its host.
type Phase int

// Phases. An entry in phase Away reports that it is not ready. One in phase Leaving shuts down and
// isn't ready for that reason.
const (
	Ready Phase = iota
	Claiming
	Away
	Leaving
)

var phaseNames = [...]string{"ready", "claiming", "away", "leaving"}

// String returns the name of the phase as it stands in logs and metrics.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Level is the use of a host's scarcest resource as a share of its limit.
type Level float64

// String returns the level with three decimals.
func (l Level) String() string { return strconv.FormatFloat(float64(l), 'f', 3, 64) }

// MaxAway returns how many of n entries may be away at the same time.
func MaxAway(n int) int { return n / 4 }

// Capacity is what a host has. All fields must be positive, else nothing is decided.
type Capacity struct {
	// Cores is the processor time that the process gets per second.
	Cores float64
	// LinkMbps is the rate of the host's link in one direction, in Mbit/s.
	LinkMbps float64
	// Descriptors is the number of file descriptors for connections.
	Descriptors int
}

// Known reports whether all limits of the host are known.
func (c Capacity) Known() bool {
	return usable(c.Cores) && usable(c.LinkMbps) && c.Descriptors > 0
}

func usable(x float64) bool { return x > 0 && !math.IsInf(x, 0) }

// Size is the size of a host in whole units.
type Size struct {
	MilliCores, KilobitsPerSecond, Descriptors uint32
}

// Size returns the capacity in whole units, zero if it is unknown.
func (c Capacity) Size() Size {
	if !c.Known() {
		return Size{}
	}
	units := func(x float64) uint32 { return uint32(min(max(1, x), 1<<31)) }
	return Size{units(c.Cores * 1000), units(c.LinkMbps * 1000), units(float64(c.Descriptors))}
}

func (s Size) known() bool { return s.MilliCores > 0 && s.KilobitsPerSecond > 0 && s.Descriptors > 0 }

// State is what an entry reports to its hub.
type State struct {
	DataCentre serving.DataCentreID
	Size       Size
	Phase      Phase
	// Level is the highest level of the entry's host.
	Level Level
	// Sequence increases with each report of a process, so that a report that arrives late
	// has no effect.
	Sequence uint64
}

func (s *State) valid() bool {
	return s.DataCentre != "" && len(s.DataCentre) <= maxName && s.Size.known() && s.Phase >= Ready && s.Phase <= Leaving && s.Level >= 0
}

// Answer is what a hub tells an entry in a data centre with hosts of different sizes.
type Answer struct {
	// Entries counts the entries of the data centre that poll the hub.
	Entries int
	// Granted is set if the entry may report that it isn't ready.
	Granted bool
}
