package machine

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// sharedFrom is the factor from which a machine counts as shared.
	sharedFrom serving.Percent = 130
	// sharingWeight is the number of factors after which an old one hardly counts.
	sharingWeight = 400
	// assumedShare and assumedRatio describe machines until factors or the times between
	// events show more. They count as much as priorFactors factors, priorShared of them of
	// shared machines: with fewer, chance decides.
	assumedShare = 0.1
	assumedRatio = 1.5
	priorFactors = 20
	priorShared  = 2
	// sharedRarely is the share below which machines count as not shared.
	sharedRarely = 0.01
	// maxRatio bounds how much longer work is assumed to take on a shared machine, so that a
	// few implausible factors don't exclude all engines.
	maxRatio = 5.0
)

// Episode is the typical time for which a machine is shared, as its operators state it.
const Episode = 600 * time.Millisecond

// Sharing is the long-run distribution of the factors of the machines of a service. The zero
// value has no measurements.
type Sharing struct {
	n, shared, sum float64
	// ratio is what the times between events show, 0 if they show nothing.
	ratio float64
	// reportedShare and reportedRatio are what another process has found, if reported is set.
	reported                     bool
	reportedShare, reportedRatio float64
}

// Observe adds a factor that an engine stated.
func (s *Sharing) Observe(f serving.Percent) {
	if f < serving.MinFactor || f > serving.MaxFactor {
		return
	}
	if s.n++; s.n > sharingWeight {
		s.n, s.shared, s.sum = s.n/2, s.shared/2, s.sum/2
	}
	if f >= sharedFrom {
		s.shared++
		s.sum += float64(f) / 100
	}
}

// SetRatio sets how much longer steps take in the bad case than without prompts and on a
// machine that isn't shared, as measured from the times between events. It counts only
// while no factors are known, and if it is more than assumed: short streams rarely run beside
// a prompt, so their times say little about the bad case.
func (s *Sharing) SetRatio(bad float64) {
	if !(bad > 0) {
		return
	}
	n := &Nominal
	s.ratio = bad * float64(n.step(typicalRunning)) / float64(n.step(typicalRunning)+n.ChunkTime)
}

// typicalRunning is the number of calls of an engine for which SetRatio assumes prompts.
const typicalRunning serving.Slots = 8

// Known reports whether any factor is known.
func (s *Sharing) Known() bool { return s.n > 0 }

// Shared reports whether the factors show that machines are shared at times.
func (s *Sharing) Shared() bool {
	return (s.reported || s.n >= priorFactors) && s.Ratio() > 1
}

// Set sets the share and the ratio that another process, which has more measurements, has
// found. They go before the own ones. Values that can't be them are ignored.
func (s *Sharing) Set(share, ratio float64) {
	if share >= 0 && share <= 1 && ratio >= 1 && ratio <= maxRatio {
		s.reported, s.reportedShare, s.reportedRatio = true, share, ratio
	}
}

// Share returns the share of the time for which a machine is shared.
func (s *Sharing) Share() float64 {
	if s.reported {
		return s.reportedShare
	}
	return (s.shared + assumedShare*priorFactors) / (s.n + priorFactors)
}

// Ratio returns how much longer work takes on a shared machine, at least 1.
func (s *Sharing) Ratio() float64 {
	switch {
	case s.reported:
		return s.reportedRatio
	case s.Share() < sharedRarely:
		return 1
	case s.n == 0:
		return min(maxRatio, max(assumedRatio, s.ratio))
	}
	return min(maxRatio, (s.sum+assumedRatio*priorShared)/(s.shared+priorShared))
}

// Within returns the probability that a machine is shared at some time within d.
func (s *Sharing) Within(d time.Duration) float64 {
	return min(1, s.Share()*(1+float64(d)/float64(Episode)))
}

// Mean returns the mean of the factor, where 1 is usual.
func (s *Sharing) Mean() float64 { return 1 + s.Share()*(s.Ratio()-1) }
