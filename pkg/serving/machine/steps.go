package machine

import (
	"math"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Model is the duration of a step of an engine at speed 1 on a machine that it doesn't share.
type Model struct {
	// Step is the duration of a step without a prompt and without calls, and PerCall what
	// each running call adds to it.
	Step, PerCall time.Duration
	// Chunk is the number of prompt tokens that are read with one step, and ChunkTime what
	// this adds to the step.
	Chunk     serving.Tokens
	ChunkTime time.Duration
}

// Nominal has the figures that the operators of the engines state. Engines with others have
// another speed relative to it, which is measured.
var Nominal = Model{Step: 7 * time.Millisecond, PerCall: 120 * time.Microsecond, Chunk: 112, ChunkTime: 8 * time.Millisecond}

// step returns the duration of a step without a prompt.
func (m *Model) step(running serving.Slots) time.Duration {
	return m.Step + time.Duration(max(0, running))*m.PerCall
}

// Slowness returns the duration of an engine's steps relative to the model. tokens is the
// number of tokens that one generation made within a time, beside running calls in all.
func (m *Model) Slowness(took time.Duration, tokens serving.Tokens, running serving.Slots) float64 {
	if tokens <= 0 || took <= 0 {
		return 0
	}
	return float64(took) / float64(tokens) / float64(m.step(running))
}

const (
	// stepBuckets and bucketRatio define the buckets of Steps. They cover engines from speed
	// 3 to an engine of speed 0.25 on a machine that takes 3 times as long, with prompts.
	stepBuckets = 28
	bucketRatio = 1.16
	minSlowness = 0.33
)

// Steps is a histogram of the durations of steps relative to a [Model], with a weight for
// each measurement. The zero value is empty.
type Steps struct {
	weights [stepBuckets]float32
}

// Record adds a measured slowness. Values that can't be one are ignored.
func (s *Steps) Record(slowness float64, weight int64) {
	if !(slowness > 0) || math.IsInf(slowness, 1) || weight <= 0 {
		return
	}
	i := int(math.Floor(math.Log(slowness/minSlowness) / math.Log(bucketRatio)))
	s.weights[min(max(i, 0), stepBuckets-1)] += float32(min(weight, math.MaxInt16))
}

// Add adds the measurements of o.
func (s *Steps) Add(o *Steps) {
	for i := range s.weights {
		s.weights[i] += o.weights[i]
	}
}

// Scale multiplies all weights by f.
func (s *Steps) Scale(f float64) {
	for i := range s.weights {
		s.weights[i] *= float32(f)
	}
}

// Weight returns the sum of the weights.
func (s *Steps) Weight() float64 {
	sum := 0.0
	for _, w := range s.weights {
		sum += float64(w)
	}
	return sum
}

// Quantile returns the slowness below which the share q of the weights lies, 0 if there are
// none.
func (s *Steps) Quantile(q float64) float64 {
	left := q * s.Weight()
	lower := minSlowness
	for _, w := range s.weights {
		if w := float64(w); w > 0 && left <= w {
			return lower * math.Pow(bucketRatio, left/w)
		}
		left -= float64(w)
		lower *= bucketRatio
	}
	return 0
}

// maxWireWeight is the largest weight of a bucket in a message.
const maxWireWeight = math.MaxUint8

// ToWire returns the histogram for a message: the index of the first bucket and the weights
// from there on, one byte each. They are scaled down if one of them doesn't fit. It is nil
// if all weights are below a half.
func (s *Steps) ToWire() []byte {
	scale := 1.0
	for _, w := range s.weights {
		scale = min(scale, maxWireWeight/max(1, float64(w)))
	}
	var out []byte
	end := 0
	for i, w := range s.weights {
		n := byte(math.Round(float64(w) * scale))
		if n == 0 && out == nil {
			continue
		}
		if out == nil {
			out = make([]byte, 1, 1+stepBuckets-i)
			out[0] = byte(i)
		}
		out = append(out, n)
		if n > 0 {
			end = len(out)
		}
	}
	return out[:end]
}

// StepsFromWire returns the histogram of a message; it is empty if the message is invalid.
func StepsFromWire(b []byte) (s Steps) {
	if len(b) < 2 || int(b[0])+len(b)-1 > stepBuckets {
		return s
	}
	for i, n := range b[1:] {
		s.weights[int(b[0])+i] = float32(n)
	}
	return s
}
