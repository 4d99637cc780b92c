package dispatch

// Calibration adjusts the quantile at which a value is predicted until the share of
// predictions that the actual value exceeds matches a target.
type Calibration struct {
	// Target is the intended share of exceeded predictions.
	Target float64
	// Gain scales the correction after each prediction (default 0.02).
	Gain float64
	// Low and High bound the quantile (defaults 0.5 and 0.9999).
	Low, High float64

	quantile float64
	total    int64
	exceeded int64
	recent   float64
}

// NewCalibration returns a calibration that starts at the quantile 1 - target.
func NewCalibration(target float64) *Calibration {
	return &Calibration{Target: target, Gain: 0.02, Low: 0.5, High: 0.9999, quantile: 1 - target, recent: target}
}

// Quantile returns the quantile for the next prediction.
func (c *Calibration) Quantile() float64 { return c.quantile }

// Record adjusts the quantile by the result of one prediction.
func (c *Calibration) Record(exceeded bool) {
	c.total++
	e := 0.0
	if exceeded {
		e = 1
		c.exceeded++
	}
	c.recent += (e - c.recent) / 64
	// Adaptive conformal inference: the long-run share of exceeded predictions
	// converges to the target whatever the distribution.
	c.quantile = min(c.High, max(c.Low, c.quantile+c.Gain*(e-c.Target)))
}

// Exceeded returns the share of exceeded predictions since the start and the
// share among roughly the last 64.
func (c *Calibration) Exceeded() (all, recent float64) {
	if c.total == 0 {
		return 0, c.recent
	}
	return float64(c.exceeded) / float64(c.total), c.recent
}
