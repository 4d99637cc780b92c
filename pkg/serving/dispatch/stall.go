package dispatch

import (
	"time"
)

// StallConfig configures a stall detector. Zero values mean the defaults.
type StallConfig struct {
	// Factor is the ratio of the threshold to the 99th percentile of the gaps (default 4).
	Factor float64
	// Floor and Ceiling bound the threshold (defaults 300 ms and 5 s).
	Floor, Ceiling time.Duration
}

const (
	stallBuckets = 48
	// stallDecayAt is the number of observed gaps at which all bucket counts are halved,
	// so that recent gaps have more weight.
	stallDecayAt = 4096
)

// StallDetector decides when a stream has stalled, based on the gaps between earlier
// tokens of the same engine.
type StallDetector struct {
	cfg       StallConfig
	counts    [stallBuckets]float32
	total     float32
	threshold time.Duration
}

// NewStallDetector returns a detector without history, whose threshold is the ceiling.
func NewStallDetector(cfg StallConfig) *StallDetector {
	cfg.Factor = orDefault(cfg.Factor, 4)
	cfg.Floor = orDefault(cfg.Floor, 300*time.Millisecond)
	cfg.Ceiling = orDefault(cfg.Ceiling, 5*time.Second)
	d := &StallDetector{cfg: cfg}
	d.threshold = cfg.Ceiling
	return d
}

// Observe records a gap between two tokens.
func (d *StallDetector) Observe(gap time.Duration) {
	// Buckets start at 1 ms with four per octave, so 48 of them reach 4 s.
	b := min(int(bucketOf(max(0, float64(gap)/float64(time.Millisecond)-1))), stallBuckets-1)
	d.counts[b]++
	d.total++
	if d.total >= stallDecayAt {
		for i := range d.counts {
			d.counts[i] /= 2
		}
		d.total /= 2
	}
	// The threshold is recomputed only every 64 gaps.
	if int(d.total)%64 == 0 {
		d.threshold = d.computeThreshold()
	}
}

// Threshold returns the gap beyond which a stream counts as stalled.
func (d *StallDetector) Threshold() time.Duration { return d.threshold }

// Stalled reports whether a stream whose last token arrived at lastToken has stalled.
func (d *StallDetector) Stalled(now, lastToken time.Duration) bool {
	return now-lastToken > d.threshold
}

func (d *StallDetector) computeThreshold() time.Duration {
	if d.total < 64 {
		return d.cfg.Ceiling
	}
	above := float32(0)
	for i := stallBuckets - 1; i >= 0; i-- {
		if above += d.counts[i]; above >= d.total/100 {
			p99 := time.Duration((bucketStart(i+1) + 1) * float64(time.Millisecond))
			t := time.Duration(d.cfg.Factor * float64(p99))
			return min(max(t, d.cfg.Floor), d.cfg.Ceiling)
		}
	}
	return d.cfg.Ceiling
}
