package serving

// ForecastPoints is the number of horizons of a MemoryForecast.
const ForecastPoints = 22

// ForecastHorizon returns the i-th horizon in decode steps: 0, 16, 24, 32, 48, ...,
// 16384. With one horizon per octave the peak of a narrow length distribution
// falls between two of them.
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

// MemoryForecast holds mean and variance of the tokens that the generations of
// one engine will hold in memory at each horizon. A running generation adds one
// token per step and frees all of its memory when it ends, so the sum peaks at
// some horizon and is well below the sum of the final lengths.
type MemoryForecast struct {
	Mean, Variance [ForecastPoints]float64
	// Generations is the number of generations behind the forecast.
	Generations Slots
}

// Add adds n generations that hold held tokens each now, given their survival at
// each horizon and the most tokens that each can still add (0 for no bound).
func (f *MemoryForecast) Add(held, most Tokens, survival *[ForecastPoints]float64, n Slots) {
	weight := float64(n)
	limit, base := float64(most), float64(held)
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

// Merge adds n times another forecast.
func (f *MemoryForecast) Merge(o *MemoryForecast, n Slots) {
	for i := range ForecastPoints {
		f.Mean[i] += float64(n) * o.Mean[i]
		f.Variance[i] += float64(n) * o.Variance[i]
	}
	f.Generations += n * o.Generations
}

// Peak returns the largest expected sum over the horizons.
func (f *MemoryForecast) Peak() float64 {
	peak := 0.0
	for _, m := range f.Mean {
		peak = max(peak, m)
	}
	return peak
}
