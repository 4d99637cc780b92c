package dispatch

import (
	"math"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// Each octave has 4 buckets, so 72 of them reach beyond 2^17 tokens.
	lengthBuckets    = 72
	bucketsPerOctave = 4
	// parentWeight is the number of pseudo-observations that a parent distribution
	// contributes to a child.
	parentWeight = 16
)

// LengthsConfig configures a length estimator. Zero values mean the defaults.
type LengthsConfig struct {
	// MaxKeys limits the number of stored distributions (default 4096, about 0.6 KB each).
	MaxKeys int
	// Window is the number of observations after which the weight of all earlier ones
	// is halved (default 512).
	Window float64
	// PriorMedian and PriorSigma describe the log-normal prior (defaults 256 and 1.3).
	PriorMedian, PriorSigma float64
}

// Lengths estimates answer lengths per service, model and account. An account with few
// observations falls back to its service, a service to its model, and a model to a
// log-normal prior.
type Lengths struct {
	cfg   LengthsConfig
	prior survivalCurve
	keys  map[serving.LengthKey]*lengthHistogram
	// clock counts observations, for the eviction of the least recently used key.
	clock uint64
}

// survivalCurve holds the probability of a length above the start of each bucket.
type survivalCurve [lengthBuckets + 1]float64

type lengthHistogram struct {
	counts [lengthBuckets]float32
	total  float64
	curve  survivalCurve
	// pending counts the observations since the curve was built.
	pending  int
	usedAt   uint64
	hasCurve bool
}

// NewLengths returns an estimator without observations, which uses only its prior.
func NewLengths(cfg LengthsConfig) *Lengths {
	cfg.MaxKeys = orDefault(cfg.MaxKeys, 4096)
	cfg.Window = orDefault(cfg.Window, 512)
	cfg.PriorMedian = orDefault(cfg.PriorMedian, 256)
	cfg.PriorSigma = orDefault(cfg.PriorSigma, 1.3)
	l := &Lengths{cfg: cfg, keys: map[serving.LengthKey]*lengthHistogram{}}
	for i := range l.prior {
		z := (math.Log(bucketStart(i)+1) - math.Log(cfg.PriorMedian)) / cfg.PriorSigma
		l.prior[i] = 0.5 * math.Erfc(z/math.Sqrt2)
	}
	l.prior[0] = 1
	return l
}

// bucketStart returns the shortest length of bucket i. Each octave of 1+n is divided
// into equal parts, as in HdrHistogram, which avoids logarithms on lookup.
func bucketStart(i int) float64 {
	octave, part := i/bucketsPerOctave, i%bucketsPerOctave
	return math.Ldexp(1+float64(part)/bucketsPerOctave, octave) - 1
}

// bucketOf returns the bucket of n; the fraction is the position of n within the bucket.
func bucketOf(n float64) float64 {
	bits := math.Float64bits(1 + max(0, n))
	octave := int(bits>>52) - 1023
	part := math.Float64frombits(bits&(1<<52-1)|1023<<52) - 1
	return min(bucketsPerOctave*(float64(octave)+part), lengthBuckets)
}

// lengthAt is the inverse of bucketOf.
func lengthAt(b float64) float64 {
	octave, part := math.Modf(b / bucketsPerOctave)
	return math.Ldexp(1+part, int(octave)) - 1
}

// Observe records the length of a finished answer. Answers cut off by the caller or by
// max_tokens must not be recorded, because their full length is unknown.
func (l *Lengths) Observe(key serving.LengthKey, total serving.Tokens) {
	for ok := true; ok; key, ok = parentKey(key) {
		l.add(key, total)
	}
}

// parentKey returns the key that a key without observations falls back to, or false for
// the key of a model, which falls back to the prior.
func parentKey(k serving.LengthKey) (serving.LengthKey, bool) {
	switch {
	case k.Account != "":
		return serving.LengthKey{Service: k.Service, Model: k.Model}, true
	case k.Service != "":
		return serving.LengthKey{Model: k.Model}, true
	default:
		return k, false
	}
}

func (l *Lengths) add(key serving.LengthKey, total serving.Tokens) {
	l.clock++
	h := l.keys[key]
	if h == nil {
		if len(l.keys) >= l.cfg.MaxKeys {
			l.evict()
		}
		h = &lengthHistogram{}
		l.keys[key] = h
	}
	h.usedAt = l.clock
	if h.total >= l.cfg.Window {
		for i := range h.counts {
			h.counts[i] /= 2
		}
		h.total /= 2
	}
	h.counts[min(int(bucketOf(float64(total))), lengthBuckets-1)]++
	h.total++
	h.pending++
}

// evict removes the least recently used of a few distributions, which approximates LRU.
func (l *Lengths) evict() {
	var victim serving.LengthKey
	oldest, seen := uint64(math.MaxUint64), 0
	for k, h := range l.keys {
		if h.usedAt < oldest {
			victim, oldest = k, h.usedAt
		}
		if seen++; seen == 64 {
			break
		}
	}
	delete(l.keys, victim)
}

// curveOf returns the survival function of a key at the bucket boundaries.
func (l *Lengths) curveOf(key serving.LengthKey) *survivalCurve {
	h := l.keys[key]
	fallback, hasParent := parentKey(key)
	if h == nil {
		if !hasParent {
			return &l.prior
		}
		return l.curveOf(fallback)
	}
	// A curve is rebuilt only after 1 + total/8 new observations.
	if h.hasCurve && float64(h.pending) < 1+h.total/8 {
		return &h.curve
	}
	parent := &l.prior
	if hasParent {
		parent = l.curveOf(fallback)
	}
	above := 0.0
	for i := lengthBuckets; i >= 0; i-- {
		if i < lengthBuckets {
			above += float64(h.counts[i])
		}
		h.curve[i] = (above + parentWeight*parent[i]) / (h.total + parentWeight)
	}
	h.pending, h.hasCurve = 0, true
	return &h.curve
}

// at returns the probability of a length above n.
func (c *survivalCurve) at(n float64) float64 {
	b := bucketOf(n)
	i := int(b)
	if i >= lengthBuckets {
		return c[lengthBuckets]
	}
	f := b - float64(i)
	return c[i]*(1-f) + c[i+1]*f
}

// Survival implements serving.LengthEstimator.
func (l *Lengths) Survival(key serving.LengthKey, soFar serving.Tokens, out *[serving.ForecastPoints]float64) {
	c := l.curveOf(key)
	base := c.at(float64(soFar))
	for i := range out {
		h := serving.ForecastHorizon(i)
		switch {
		case h == 0:
			out[i] = 1
		case base < 1e-9:
			// Beyond all observations, the tail is assumed to be Pareto with exponent 1.5.
			out[i] = math.Pow(float64(soFar+1)/float64(soFar+h+1), 1.5)
		default:
			out[i] = c.at(float64(soFar+h)) / base
		}
	}
}

// Remaining returns a quantile of the tokens still to come after soFar tokens.
func (l *Lengths) Remaining(key serving.LengthKey, soFar serving.Tokens, quantile float64) serving.Tokens {
	c := l.curveOf(key)
	base := c.at(float64(soFar))
	if base < 1e-9 {
		return serving.Tokens(float64(soFar+1) * (math.Pow(1-quantile, -1/1.5) - 1))
	}
	target := base * (1 - quantile)
	lo, hi := int(bucketOf(float64(soFar))), lengthBuckets
	for lo < hi {
		mid := (lo + hi) / 2
		if c[mid] <= target {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	if lo == 0 {
		return 0
	}
	b := float64(lo)
	if span := c[lo-1] - c[lo]; span > 0 {
		b = float64(lo-1) + (c[lo-1]-target)/span
	}
	return max(0, serving.Tokens(lengthAt(b))-soFar)
}

// Keys returns the number of stored distributions.
func (l *Lengths) Keys() int { return len(l.keys) }
