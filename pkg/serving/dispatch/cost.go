package dispatch

import (
	"math"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// CostWeights prices what a request costs at a candidate. Zero values mean the defaults.
type CostWeights struct {
	// PrefillPerToken is the time to process one prompt token that is not cached
	// (default 100 µs).
	PrefillPerToken time.Duration
	// Step is the time between tokens of an engine without history (default 30 ms).
	Step time.Duration
	// CrossRegion is added when the answer leaves the region, because that
	// traffic is billed (default 50 ms).
	CrossRegion time.Duration
	// Memory is the price of a forecast that fills the memory exactly (default 1 s).
	Memory time.Duration
	// ColdFactor multiplies the share of the limit in use for a cold engine (default 2).
	ColdFactor float64
}

func (w CostWeights) withDefaults() CostWeights {
	w.PrefillPerToken = orDefault(w.PrefillPerToken, 100*time.Microsecond)
	w.Step = orDefault(w.Step, 30*time.Millisecond)
	w.CrossRegion = orDefault(w.CrossRegion, 50*time.Millisecond)
	w.Memory = orDefault(w.Memory, time.Second)
	w.ColdFactor = orDefault(w.ColdFactor, 2)
	return w
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// CostPlacer takes the cheapest of a few sampled candidates.
type CostPlacer struct {
	Lengths serving.LengthEstimator
	Random  serving.Random
	Weights CostWeights
	// Choices is the number of candidates sampled; 0 means all up to 16.
	Choices int
	// Admitter, when set, excludes candidates that it would not admit.
	Admitter serving.Admitter
}

// Place returns the cheapest sampled candidate that has room. When no sampled
// candidate has room, the rest are tried before the request is refused.
func (p *CostPlacer) Place(now time.Duration, r *serving.Request, candidates []serving.Candidate) (int, error) {
	n := len(candidates)
	if n == 0 {
		return 0, noEngine()
	}
	choices := p.Choices
	if choices <= 0 {
		choices = 16
	}
	w := p.Weights.withDefaults()
	answer := expectedAnswer(p.Lengths, r)
	start := p.Random.IntN(n)
	// A stride that is coprime to n visits every candidate once in a mixed order.
	stride := coprimeStride(p.Random.IntN(n)+1, n)
	best, bestCost := -1, math.Inf(1)
	retry := time.Duration(math.MaxInt64)
	for k := range n {
		if k >= choices && best >= 0 {
			break
		}
		i := (start + k*stride) % n
		c := &candidates[i]
		if c.Room() <= 0 {
			continue
		}
		cost := requestCost(w, r, c, answer)
		if cost >= bestCost {
			continue
		}
		if p.Admitter != nil {
			if a := p.Admitter.Admit(now, r, c); !a.Admitted {
				retry = min(retry, a.RetryAfter)
				continue
			}
		}
		best, bestCost = i, cost
	}
	if best < 0 {
		if retry == math.MaxInt64 {
			retry = time.Second
		}
		return 0, serving.NewError(serving.KindOverloaded, "no engine for the model has room").WithRetryAfter(retry)
	}
	return best, nil
}

func coprimeStride(s, n int) int {
	for gcd(s, n) != 1 {
		s++
	}
	return s
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// expectedAnswer returns the median answer length within the bound of the request.
func expectedAnswer(e serving.LengthEstimator, r *serving.Request) serving.Tokens {
	if e == nil {
		return r.MaxTokens
	}
	n := e.Remaining(lengthKey(r), 0, 0.5)
	if r.MaxTokens > 0 {
		n = min(n, r.MaxTokens)
	}
	return n
}

func lengthKey(r *serving.Request) serving.LengthKey {
	return serving.LengthKey{Service: r.Service, Model: r.Model, Account: r.Account}
}

// requestCost returns the estimated cost in seconds: time to the first token,
// slow-down of the decode steps, and pressure on memory.
func requestCost(w CostWeights, r *serving.Request, c *serving.Candidate, answer serving.Tokens) float64 {
	step := orDefault(c.StepTime, w.Step).Seconds()
	prefill := float64(max(0, r.PromptTokens-c.CachedPrefix)) * w.PrefillPerToken.Seconds()
	cost := 2*c.Distance.Seconds() + prefill + step
	if r.Region != "" && c.Region != r.Region {
		cost += w.CrossRegion.Seconds()
	}
	busy := float64(c.Busy())
	// A queued request waits for a prefill and a step of those before it.
	cost += float64(c.Load.Queued) * (step + prefill)
	if c.Limit > 0 {
		use := (busy + 1) / float64(c.Limit)
		if c.Cold {
			use *= w.ColdFactor
		}
		// Steps slow down with the batch; the request pays for that on each token,
		// capped so that a very long answer does not outweigh everything else.
		cost += use * step * math.Min(float64(answer), 64)
	}
	if m := float64(c.MemoryTokens()); m > 0 {
		full := (forecastPeak(c) + float64(r.PromptTokens+answer/2)) / m
		cost += w.Memory.Seconds() * math.Pow(full, 4)
	}
	return cost
}

func forecastPeak(c *serving.Candidate) float64 {
	if c.Forecast != nil {
		return c.Forecast.Peak()
	}
	return float64(serving.Tokens(c.Load.BlocksUsed)*c.Capacity.BlockTokens + c.ExpectedGrowth)
}
