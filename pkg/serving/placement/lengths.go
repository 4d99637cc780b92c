package placement

import (
	"math"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// hintTrust is the weight of a caller's hint against the usual length of its
	// route, in logarithms: lengths vary less than the errors of hints do.
	hintTrust = 0.35
	// spreadFactor turns the median of a length into its mean: exp(s^2/2) at a
	// standard deviation s of 0.7 of the logarithm.
	spreadFactor = 1.28
	// outrun is the factor by which an answer that has passed its expected length
	// is expected to go on.
	outrun = 1.35
	// priorShare and priorWeight stand for the usual length of a route before calls
	// of it were seen: a share of the longest answer, with the weight of some calls.
	priorShare  = 0.3
	priorWeight = 4
	// maxWeight lets the usual length follow a change of the traffic.
	maxWeight = 200
)

// Lengths estimates how long answers run, for each route, from the hints of all
// its callers: a single hint is often far off, their median is not.
type Lengths struct {
	routes map[string]*usualLength
}

type usualLength struct {
	// log is the mean of the logarithm of the hints.
	log, weight float64
}

// Observe takes in the hint of a call. most bounds its answer, 0 for no bound.
func (l *Lengths) Observe(route string, hint, most serving.Tokens) {
	if hint <= 0 {
		return
	}
	if l.routes == nil {
		l.routes = map[string]*usualLength{}
	}
	u := l.routes[route]
	if u == nil {
		u = &usualLength{log: math.Log(float64(hint)), weight: 1}
		if most > 0 {
			u.log, u.weight = math.Log(max(1, priorShare*float64(most))), priorWeight
		}
		l.routes[route] = u
	}
	u.weight = min(u.weight+1, maxWeight)
	u.log += (math.Log(float64(hint)) - u.log) / u.weight
}

// Expect returns the expected length of an answer of which made tokens exist.
func (l *Lengths) Expect(route string, hint, most, made serving.Tokens) serving.Tokens {
	expected := float64(most) * priorShare
	if u := l.routes[route]; u != nil {
		log := u.log
		if hint > 0 {
			log += hintTrust * (math.Log(float64(hint)) - u.log)
		}
		expected = spreadFactor * math.Exp(log)
	}
	expected = max(expected, outrun*float64(made), 1)
	if most > 0 {
		expected = min(expected, float64(most))
	}
	return serving.Tokens(expected)
}
