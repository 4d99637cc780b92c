package dispatch

import (
	"math"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Values of [serving.Admission.Reason].
const (
	ReasonSlots  = "slots"
	ReasonMemory = "memory"
)

// MemoryAdmitter refuses a request while the engine's memory forecast, including the
// request's prompt and expected answer, exceeds the engine's memory at the configured
// quantile. Delaying a new request costs less than preempting a running one, which
// loses its prefill and its place in the batch.
type MemoryAdmitter struct {
	Lengths serving.LengthEstimator
	// Calibration supplies the quantile; if nil, Quantile applies.
	Calibration *Calibration
	// Quantile is the probability that the memory suffices (default 0.95).
	Quantile float64
	// Headroom is the share of memory reserved for requests that other entries sent
	// since the last load report.
	Headroom float64

	// The survival function is cached, because one decision evaluates several
	// candidates for the same request.
	survival    [serving.ForecastPoints]float64
	survivalKey serving.LengthKey
	survivalAt  time.Duration
	hasSurvival bool
}

// Admit decides whether r may start at c now.
func (a *MemoryAdmitter) Admit(now time.Duration, r *serving.Request, c *serving.Candidate) serving.Admission {
	if c.FreeSlots() <= 0 {
		return serving.Admission{RetryAfter: retryAfter(c, 1), Reason: ReasonSlots}
	}
	memory := float64(c.MemoryTokens()) * (1 - a.Headroom)
	if memory <= 0 {
		return serving.Admission{Admitted: true}
	}
	f := serving.MemoryForecast{}
	if c.Forecast != nil {
		f = *c.Forecast
	} else {
		used := serving.Tokens(c.Load.BlocksUsed) * c.Capacity.BlockTokens
		for i := range f.Mean {
			f.Mean[i] = float64(used + c.ExpectedGrowth)
		}
	}
	idle := c.Busy() == 0
	a.addRequest(now, &f, r, c)
	over := excess(&f, a.quantile(), memory)
	// Waiting frees no memory at an idle engine, so it accepts any prompt that fits.
	if over <= 0 || idle && float64(r.PromptTokens) < memory {
		return serving.Admission{Admitted: true}
	}
	return serving.Admission{RetryAfter: retryAfter(c, over/memory), Reason: ReasonMemory}
}

func (a *MemoryAdmitter) quantile() float64 {
	if a.Calibration != nil {
		return a.Calibration.Quantile()
	}
	return orDefault(a.Quantile, 0.95)
}

// addRequest adds the request to the forecast of the candidate.
func (a *MemoryAdmitter) addRequest(now time.Duration, f *serving.MemoryForecast, r *serving.Request, c *serving.Candidate) {
	if k := lengthKey(r); !a.hasSurvival || a.survivalAt != now || a.survivalKey != k {
		a.Lengths.Survival(k, 0, &a.survival)
		a.survivalKey, a.survivalAt, a.hasSurvival = k, now, true
	}

	// Rounding up to whole blocks wastes half a block on average.
	f.Add(r.PromptTokens+c.Capacity.BlockTokens/2, r.MaxTokens, &a.survival, 1)
}

// excess returns by how many tokens the forecast exceeds memory at its worst horizon;
// it is negative if the forecast fits at all horizons.
func excess(f *serving.MemoryForecast, quantile, memory float64) float64 {
	z := math.Sqrt2 * math.Erfinv(2*quantile-1)
	worst := math.Inf(-1)
	for i := range f.Mean {
		worst = max(worst, f.Mean[i]+z*math.Sqrt(f.Variance[i])-memory)
	}
	return worst
}

// retryAfter estimates the time in which the engine frees the given share of its memory
// or slots, assuming that an average generation runs for 256 steps.
func retryAfter(c *serving.Candidate, share float64) time.Duration {
	step := orDefault(c.StepTime, 30*time.Millisecond)
	busy := float64(max(1, c.Busy()))
	d := time.Duration(float64(256*step) * math.Max(share, 1/busy))
	return min(max(d, 20*time.Millisecond), 10*time.Second)
}
