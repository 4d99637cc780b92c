package dispatch

import (
	"math"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// CostWeights holds the weights of the cost of a request at a candidate. Zero values
// mean the defaults.
type CostWeights struct {
	// PrefillPerToken is the time to process one prompt token that is not cached
	// (default 100 µs).
	PrefillPerToken time.Duration
	// Step is the time between tokens assumed for an engine without history (default 30 ms).
	Step time.Duration
	// CrossRegion is the cost of an engine in another region, because traffic between
	// regions is billed (default 50 ms).
	CrossRegion time.Duration
	// Memory is the cost added when the forecast equals the engine's memory (default 1 s).
	Memory time.Duration
	// ColdFactor multiplies the utilization of a cold engine's limit (default 2).
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

// CostPlacer chooses the cheapest of a few sampled candidates.
type CostPlacer struct {
	Lengths serving.LengthEstimator
	Random  serving.Random
	Weights CostWeights
	// Choices is the number of sampled candidates; 0 means 16.
	Choices int
	// Admitter, if set, excludes candidates at which it does not admit the request.
	Admitter serving.Admitter
}

// Place returns the cheapest sampled candidate that can admit the request. If none can,
// it tries the other candidates before it refuses the request.
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
	// A stride that is coprime to n visits every candidate once, in a varying order.
	stride := coprimeStride(p.Random.IntN(n)+1, n)
	best, bestCost := -1, math.Inf(1)
	retry := time.Duration(math.MaxInt64)
	for k := range n {
		if k >= choices && best >= 0 {
			break
		}
		i := (start + k*stride) % n
		c := &candidates[i]
		if c.FreeSlots() <= 0 {
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

// coprimeStride returns the smallest stride of at least s that is coprime to n.
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

// expectedAnswer returns the median answer length, limited to the request's MaxTokens.
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

// requestCost returns the estimated cost in seconds: time to the first token, slowdown
// of decode steps and memory pressure.
func requestCost(w CostWeights, r *serving.Request, c *serving.Candidate, answer serving.Tokens) float64 {
	step := orDefault(c.StepTime, w.Step).Seconds()
	prefill := float64(max(0, r.PromptTokens-c.CachedPrefix)) * w.PrefillPerToken.Seconds()
	cost := 2*c.NetworkDelay.Seconds() + prefill + step
	if r.Region != "" && c.Region != r.Region {
		cost += w.CrossRegion.Seconds()
	}
	busy := float64(c.Busy())
	// The request waits for every request queued before it. Each of these is assumed to
	// take one step and the same prefill time as this request.
	cost += float64(c.Load.Queued) * (step + prefill)
	if c.Limit > 0 {
		use := (busy + 1) / float64(c.Limit)
		if c.Cold {
			use *= w.ColdFactor
		}
		// Decode steps slow down as the batch grows, which delays each token of the
		// answer. The number of tokens is capped so that a very long answer does not
		// dominate the cost.
		cost += use * step * math.Min(float64(answer), 64)
	}
	if m := float64(c.MemoryTokens()); m > 0 {
		memoryUse := (forecastPeak(c) + float64(r.PromptTokens+answer/2)) / m
		cost += w.Memory.Seconds() * math.Pow(memoryUse, 4)
	}
	return cost
}

// forecastPeak returns the peak memory use in tokens, estimated from the load report
// if there is no forecast.
func forecastPeak(c *serving.Candidate) float64 {
	if c.Forecast != nil {
		return c.Forecast.Peak()
	}
	return float64(serving.Tokens(c.Load.BlocksUsed)*c.Capacity.BlockTokens + c.ExpectedGrowth)
}
