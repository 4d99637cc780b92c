package serving

// ForecastPoints is the number of horizons of a MemoryForecast.
const ForecastPoints = 22

// ForecastHorizon returns the i-th horizon in decode steps: 0, 16, 24, 32, 48, ...,
// 16384. There are two horizons per octave: with only one per octave, the peak of a
// narrow length distribution can fall between two horizons.
func ForecastHorizon(i int) Tokens {
	if i == 0 {
		return 0
	}
	return Tokens(2+(i-1)%2) * 8 << ((i - 1) / 2)
}

var horizons = func() (h [ForecastPoints]float64) {
	for i := range h {
		h[i] = float64(ForecastHorizon(i))
	}
	return h
}()

// MemoryForecast is the mean and variance, at each horizon, of the number of tokens
// that the generations of one engine will hold in memory. A running generation adds
// one token per decode step and frees all of its memory when it ends, so the total
// peaks at some horizon and stays well below the sum of the final lengths.
type MemoryForecast struct {
	Mean, Variance [ForecastPoints]float64
	// Generations is the number of generations that the forecast includes.
	Generations Slots
}

// Add adds n generations to the forecast. Each of them holds held tokens now and can
// grow by at most maxGrowth tokens (0 means no bound). survival is the probability
// that it is still running at each horizon.
func (f *MemoryForecast) Add(held, maxGrowth Tokens, survival *[ForecastPoints]float64, n Slots) {
	weight := float64(n)
	limit, base := float64(maxGrowth), float64(held)
	for i := range horizons {
		if limit > 0 && horizons[i] > limit {
			break
		}
		size, p := base+horizons[i], survival[i]
		mean := weight * size * p
		f.Mean[i] += mean
		f.Variance[i] += mean * size * (1 - p)
	}

	f.Generations += n
}

// Merge adds forecast o, multiplied by n.
func (f *MemoryForecast) Merge(o *MemoryForecast, n Slots) {
	for i := range ForecastPoints {
		f.Mean[i] += float64(n) * o.Mean[i]
		f.Variance[i] += float64(n) * o.Variance[i]
	}
	f.Generations += n * o.Generations
}

// Peak returns the largest mean over all horizons, in tokens.
func (f *MemoryForecast) Peak() float64 {
	peak := 0.0
	for _, m := range f.Mean {
		peak = max(peak, m)
	}
	return peak
}
