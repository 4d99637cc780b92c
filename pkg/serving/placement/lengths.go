package placement

import (
	"math"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// hintWeight is the weight of a caller's hint relative to the average of its
	// route, in logarithms. It is low because output lengths vary less than the
	// errors of hints.
	hintWeight = 0.35
	// medianToMean converts the median of the lengths into their mean. For a
	// log-normal distribution the factor is exp(s^2/2), where s is the standard
	// deviation of the logarithm, here 0.7.
	medianToMean = 1.28
	// overrunFactor gives the expected final length of an output that has reached its
	// expected length, as a multiple of the tokens generated so far.
	overrunFactor = 1.35
	// priorShare is the share of the maximum output length that is expected before a
	// route has received hints, and priorWeight the number of hints that this initial
	// estimate counts for.
	priorShare  = 0.3
	priorWeight = 4
	// maxWeight bounds the weight of past hints, so that the estimate follows changes
	// in traffic.
	maxWeight = 200
)

// Lengths estimates output lengths per route. Callers may send the output length that
// they expect with a request, as a hint. A single hint is often far off, but the median
// of the hints of all callers of a route is accurate.
type Lengths struct {
	routes map[string]*lengthEstimate
}

type lengthEstimate struct {
	// logLength is the mean of the logarithms of the hints, and weight their number
	// up to maxWeight.
	logLength, weight float64
}

// Observe adds the hint of a call to the estimate of its route. maxTokens is the
// maximum length of the output, 0 for no maximum.
func (l *Lengths) Observe(route string, hint, maxTokens serving.Tokens) {
	if hint <= 0 {
		return
	}
	if l.routes == nil {
		l.routes = map[string]*lengthEstimate{}
	}
	est := l.routes[route]
	if est == nil {
		est = &lengthEstimate{logLength: math.Log(float64(hint)), weight: 1}
		if maxTokens > 0 {
			est.logLength, est.weight = math.Log(max(1, priorShare*float64(maxTokens))), priorWeight
		}
		l.routes[route] = est
	}
	est.weight = min(est.weight+1, maxWeight)
	est.logLength += (math.Log(float64(hint)) - est.logLength) / est.weight
}

// Estimate returns the expected length of an output, given the number of tokens
// generated so far. A hint of 0 means that the caller gave none, and a maxTokens of
// 0 that there is no maximum.
func (l *Lengths) Estimate(route string, hint, maxTokens, generated serving.Tokens) serving.Tokens {
	expected := float64(maxTokens) * priorShare
	if est := l.routes[route]; est != nil {
		logLength := est.logLength
		if hint > 0 {
			logLength += hintWeight * (math.Log(float64(hint)) - est.logLength)
		}
		expected = medianToMean * math.Exp(logLength)
	}
	expected = max(expected, overrunFactor*float64(generated), 1)
	if maxTokens > 0 {
		expected = min(expected, float64(maxTokens))
	}
	return serving.Tokens(expected)
}
