package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// The assessment compares two numbers in each slice and route: how many bad calls the new
// version had, and how many all versions had. If the new version is not worse, each bad call
// is one of the new version with the probability
//
//	pi = calls to the new version / calls to all versions
//
// whatever the failure rate is at that time. The evidence against this is the likelihood
// ratio of a version that has theta times as many bad calls,
//
//	theta^(bad calls of the new version) / (1 + pi (theta-1))^(bad calls of all versions)
//
// multiplied over slices and routes, and averaged over several additional shares of bad calls,
// from which theta follows on each route, and over the slices from which on the version may be
// bad. It is a test martingale:
// the probability that it ever exceeds 1/alpha under a good version is at most alpha,
// however often it is evaluated (Ville's inequality). The mean over all tests, by route and by kind
// of bad call, is one, too. Only calls that are sent in the same slice are compared, so that
// neither an outage nor the change of the quota between phases counts against the version.
// Calls count from when they are sent: a failure often ends a call earlier than an answer
// does, so that among the calls that have ended the failures are too many at first.

const (
	// falseRevert bounds the probability that a good version is ever reverted.
	falseRevert = 1.0 / 1000
	// evidenceOfRest is the evidence that must remain without the worst engines.
	evidenceOfRest = 100
	// minBad is the smallest number of bad calls that shows anything.
	minBad = 8
	// minExcess is the smallest difference of the shares of bad calls, which engines of one
	// version also show among each other, and minRatio the smallest ratio. A bad version
	// spoils about a tenth of its calls or more.
	minExcess = 0.04
	minRatio  = 1.25
	// slowFactor is how many times the old version's median an answer takes to be slow.
	slowFactor = 3
	// machineFactor bounds the factor by which the machine of an engine may be slower than
	// the usual one of the old version: machines with speed 0.55 beside 1.2 differ by 2.2.
	machineFactor = 2.5
	// machineQuantile is the quantile of the times of an engine from which the factor of its
	// machine is taken. It is low, so that a version that slows a part of its calls doesn't
	// change it.
	machineQuantile = 0.2
	// maxLoadFactor bounds the factor by which answers may be slower because an engine in the
	// load test has more calls than one of the old version.
	maxLoadFactor = 4
	// minTimes is the number of times of the old version on a route, and minEngineTimes that
	// of an engine, from which quantiles are taken.
	minTimes, minEngineTimes = 30, 8
	// laterWeight is the weight of the evidence since each slice after the first, the rest
	// is that of the whole rollout. A version that turns bad late has many good calls before.
	laterWeight = 0.05
	// minRate bounds the share of bad calls of the old version below, and with it theta.
	minRate = 0.01
	// surgeExcess is the rise of the share of bad calls of the old version above twice its
	// usual value that is taken for an outage. An outage of a data centre may hit all engines
	// of the canary and few of the old version, so that such slices are not compared.
	surgeExcess = 0.1
	// minSurgeCalls is the number of calls of the old version in a slice from which on a
	// surge is recognised.
	minSurgeCalls = 20
)

// kind is the way in which a call is bad.
type kind int

const (
	failed kind = iota
	slowFirst
	slowToken
	slowWhole
	kinds
)

var kindNames = [kinds]string{"failed", "had a slow first event", "had slow tokens", "were slow"}

// kindWeights are the weights of the kinds in the mean of all tests. tempering is the
// exponent of their evidence: slow answers come in groups, while the machine of an engine is
// shared, so that they are less independent than failures.
var (
	kindWeights = [kinds]float64{0.5, 1. / 6, 1. / 6, 1. / 6}
	tempering   = [kinds]float64{1, 0.6, 0.6, 0.6}
)

// excesses are the additional shares of bad calls that the tests look for.
var excesses = [...]float64{0.06, 0.12, 0.25, 0.5, 0.9}

// stratum counts the calls of one route that were sent in one slice.
type stratum struct {
	newCalls, oldCalls float64
	newBad, oldBad     [kinds]float64
	engines            map[serving.EngineID]*engineStratum
	oldTimes           [kinds]Histogram
	// surge is set for kinds of bad calls that are not compared in this slice.
	surge [kinds]bool
}

// compared reports whether the stratum has calls to compare.
func (s *stratum) compared(k kind) bool {
	return s.newCalls > 0 && s.oldCalls > 0 && !s.surge[k]
}

// engineStratum counts the calls of one engine of the new version.
type engineStratum struct {
	calls float64
	bad   [kinds]float64
	times [kinds]*Histogram
}

// routeStrata holds the strata of a route.
type routeStrata struct {
	name   string
	slices [Slices]stratum
	// rates are the shares of bad calls of the old version.
	rates [kinds]float64
}

// comparison is the evidence of all routes.
type comparison struct {
	routes []*routeStrata
	// engines are the engines of the new version that got calls.
	engines map[serving.EngineID]bool
}

// finding is the result of an assessment.
type finding struct {
	// evidence is the largest weighted evidence against the version, 1/falseRevert or more
	// if the version is bad.
	evidence float64
	bad      bool
	reason   string
	// thin is set while a version that spoils a tenth of its calls might not have shown yet.
	thin bool
}

func compare(r Rollout, e Evidence, fleet Fleet) *comparison {
	c := &comparison{engines: map[serving.EngineID]bool{}}
	byName := map[string]*routeStrata{}
	for key, n := range e {
		if !key.Valid(r.To) {
			continue
		}
		route := byName[key.Route]
		if route == nil {
			route = &routeStrata{name: key.Route}
			byName[key.Route] = route
			c.routes = append(c.routes, route)
		}
		s := &route.slices[key.Slice]
		calls := float64(max(0, n.Sent-n.Uncounted))
		times := [kinds]*Histogram{nil, &n.First, &n.Token, &n.Whole}
		if key.Version != r.To {
			s.oldCalls += calls
			s.oldBad[failed] += float64(n.Failed)
			for k := slowFirst; k < kinds; k++ {
				s.oldTimes[k].Merge(times[k])
			}
			continue
		}
		c.engines[key.Engine] = true
		if s.engines == nil {
			s.engines = map[serving.EngineID]*engineStratum{}
		}
		s.engines[key.Engine] = &engineStratum{calls: calls, bad: [kinds]float64{failed: float64(n.Failed)}, times: times}
	}
	// The order of a map is random, and so would be the sums of floating point numbers.
	slices.SortFunc(c.routes, func(a, b *routeStrata) int { return cmp.Compare(a.name, b.name) })
	loads := c.loadFactors(fleet)
	for _, route := range c.routes {
		route.countSlow(loads)
	}
	c.dropSurges(r.Slice())
	for _, route := range c.routes {
		route.setRates()
	}
	c.sum(nil)
	return c
}

// loadFactors returns for each slice how many times the part of all calls that an engine of
// the new version had exceeded that of an engine of the old version before the cutover.
func (c *comparison) loadFactors(fleet Fleet) (factors [Slices]float64) {
	var newCalls, oldCalls [Slices]float64
	var newEngines [Slices]map[serving.EngineID]bool
	for _, route := range c.routes {
		for i := range route.slices {
			s := &route.slices[i]
			oldCalls[i] += s.oldCalls
			for id, e := range s.engines {
				if newEngines[i] == nil {
					newEngines[i] = map[serving.EngineID]bool{}
				}
				newEngines[i][id] = true
				newCalls[i] += e.calls
			}
		}
	}
	usual := 0
	for i := range oldCalls {
		if oldCalls[i] > oldCalls[usual] {
			usual = i
		}
	}
	old := oldCalls[usual] / float64(max(1, fleet.Old)) / max(1, newCalls[usual]+oldCalls[usual])
	for i := range factors {
		factors[i] = 1
		if n := len(newEngines[i]); n > 0 && old > 0 {
			factors[i] = min(maxLoadFactor, max(1, newCalls[i]/float64(n)/(newCalls[i]+oldCalls[i])/old))
		}
	}
	return factors
}

// countSlow counts the slow answers of both versions.
func (r *routeStrata) countSlow(loads [Slices]float64) {
	for k := slowFirst; k < kinds; k++ {
		var old Histogram
		perEngine := map[serving.EngineID]*Histogram{}
		for i := range r.slices {
			old.Merge(&r.slices[i].oldTimes[k])
			for id, e := range r.slices[i].engines {
				if perEngine[id] == nil {
					perEngine[id] = &Histogram{}
				}
				perEngine[id].Merge(e.times[k])
			}
		}
		if old.Count() < minTimes {
			continue
		}
		limit := slowFactor * float64(old.Quantile(0.5))
		low := float64(old.Quantile(machineQuantile))
		machines := map[serving.EngineID]float64{}
		for id, h := range perEngine {
			machines[id] = 1
			if h.Count() < minEngineTimes {
				continue
			}
			// A larger factor is not that of a machine.
			if f := float64(h.Quantile(machineQuantile)) / max(low, 1); f <= machineFactor {
				machines[id] = max(1, f)
			}
		}
		for i := range r.slices {
			s := &r.slices[i]
			s.oldBad[k] = s.oldTimes[k].above(time.Duration(limit))
			for id, e := range s.engines {
				e.bad[k] = e.times[k].above(time.Duration(limit * machines[id] * loads[i]))
			}
		}
	}
}

func (r *routeStrata) setRates() {
	for k := failed; k < kinds; k++ {
		calls, bad := 0.0, 0.0
		for i := range r.slices {
			if s := &r.slices[i]; !s.surge[k] {
				calls, bad = calls+s.oldCalls, bad+s.oldBad[k]
			}
		}
		r.rates[k] = max(minRate, bad/max(1, calls))
	}
}

// dropSurges removes the slices in which the old version had far more bad calls than usual in
// the slices before current, whose calls have mostly ended.
func (c *comparison) dropSurges(current Slice) {
	for k := failed; k < kinds; k++ {
		var calls, bad, rates [Slices]float64
		var known []float64
		for i := range Slices {
			for _, route := range c.routes {
				calls[i] += route.slices[i].oldCalls
				bad[i] += route.slices[i].oldBad[k]
			}
			if calls[i] >= minSurgeCalls {
				rates[i] = bad[i] / calls[i]
				if i < int(current) {
					known = append(known, rates[i])
				}
			}
		}
		if len(known) == 0 {
			continue
		}
		slices.Sort(known)
		usual := known[(len(known)-1)/2]
		for i, rate := range rates {
			if rate <= 2*usual+surgeExcess {
				continue
			}
			for _, route := range c.routes {
				route.slices[i].surge[k] = true
			}
		}
	}
}

// sum sums the engines of the new version in each stratum, except those that are left out.
func (c *comparison) sum(without map[serving.EngineID]bool) {
	for _, route := range c.routes {
		for i := range route.slices {
			s := &route.slices[i]
			s.newCalls, s.newBad = 0, [kinds]float64{}
			for id, e := range s.engines {
				if without[id] {
					continue
				}
				s.newCalls += e.calls
				for k, n := range e.bad {
					s.newBad[k] += n
				}
			}
		}
	}
}

// evidence returns the likelihood ratio for one kind on some routes, and the counts since
// the slice from which on the version appears worst.
func evidence(routes []*routeStrata, k kind) (float64, totals) {
	// logs has for each excess the logarithm of the ratio of the calls sent since the slice.
	var logs [len(excesses)]float64
	var t, worst totals
	sum, largest := 0.0, 0.0
	for i := Slices - 1; i >= 0; i-- {
		for _, route := range routes {
			s := &route.slices[i]
			if !s.compared(k) {
				continue
			}
			t.add(s, k)
			pi := s.newCalls / (s.newCalls + s.oldCalls)
			for j, excess := range excesses {
				theta := 1 + excess/route.rates[k]
				logs[j] += s.newBad[k]*math.Log(theta) - (s.newBad[k]+s.oldBad[k])*math.Log1p(pi*(theta-1))
			}
		}
		e := 0.0
		for _, l := range logs {
			e += math.Exp(min(600, tempering[k]*l)) / float64(len(logs))
		}
		if e > largest {
			largest, worst = e, t
		}
		weight := laterWeight
		if i == 0 {
			weight = 1 - laterWeight*(Slices-1)
		}
		sum += weight * e
	}
	return sum, worst
}

// totals are the counts of all strata that were compared. expected is the number of bad
// calls that the new version would have with the rates of the old one.
type totals struct {
	newCalls, newBad, oldCalls, oldBad, expected float64
}

func (t *totals) add(s *stratum, k kind) {
	t.newCalls += s.newCalls
	t.newBad += s.newBad[k]
	t.oldCalls += s.oldCalls
	t.oldBad += s.oldBad[k]
	t.expected += s.newCalls * s.oldBad[k] / s.oldCalls
}

// matters reports whether the difference is larger than that among engines of one version.
func (t *totals) matters() bool {
	return t.newBad >= minBad && t.newBad >= minRatio*t.expected && t.newBad-t.expected >= minExcess*t.newCalls
}

// worst returns a quarter of the engines of the new version, at least one, with the most bad
// calls above what the old version's rates explain. It returns none if only one engine is in
// the test.
func (c *comparison) worst(routes []*routeStrata, k kind) map[serving.EngineID]bool {
	excess := map[serving.EngineID]float64{}
	for _, route := range routes {
		for i := range route.slices {
			s := &route.slices[i]
			if !s.compared(k) {
				continue
			}
			for id, e := range s.engines {
				excess[id] += e.bad[k] - e.calls*s.oldBad[k]/s.oldCalls
			}
		}
	}
	if len(c.engines) < 2 {
		return nil
	}
	ids := make([]serving.EngineID, 0, len(excess))
	for id := range excess {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b serving.EngineID) int {
		return cmp.Or(cmp.Compare(excess[b], excess[a]), cmp.Compare(a, b))
	})
	out := map[serving.EngineID]bool{}
	for _, id := range ids[:min(len(ids), (len(c.engines)+3)/4)] {
		out[id] = true
	}
	return out
}

// assess looks for evidence that the version is bad.
func assess(r Rollout, e Evidence, fleet Fleet) finding {
	c := compare(r, e, fleet)
	f := finding{thin: c.thin()}
	for k := failed; k < kinds; k++ {
		// Half of the weight is that of all routes together, the rest is divided.
		c.test(&f, r, c.routes, k, kindWeights[k]/2, "all routes")
		for i := range c.routes {
			c.test(&f, r, c.routes[i:i+1], k, kindWeights[k]/2/float64(len(c.routes)), "route "+c.routes[i].name)
		}
	}
	return f
}

func (c *comparison) test(f *finding, r Rollout, routes []*routeStrata, k kind, weight float64, where string) {
	ev, t := evidence(routes, k)
	ev *= weight
	f.evidence = max(f.evidence, ev)
	if f.bad || ev < 1/falseRevert || !t.matters() {
		return
	}
	if worst := c.worst(routes, k); worst != nil {
		c.sum(worst)
		rest, rt := evidence(routes, k)
		c.sum(nil)
		if rest < evidenceOfRest || rt.newBad-rt.expected < minExcess*rt.newCalls {
			return
		}
	}
	f.bad = true
	f.reason = fmt.Sprintf("%.0f of %.0f calls to version %s %s on %s, and %.0f of %.0f to other versions at the same time",
		t.newBad, t.newCalls, r.To, kindNames[k], where, t.oldBad, t.oldCalls)
}

// thin reports whether a version that fails a tenth of its calls more than the old one might
// not have shown yet: whether it is more than a twentieth as likely as a good one.
func (c *comparison) thin() bool {
	l := 0.0
	for _, route := range c.routes {
		theta := 1 + 0.1/route.rates[failed]
		for i := range route.slices {
			if s := &route.slices[i]; s.compared(failed) {
				pi := s.newCalls / (s.newCalls + s.oldCalls)
				l += s.newBad[failed]*math.Log(theta) - (s.newBad[failed]+route.rates[failed]*s.oldCalls)*math.Log1p(pi*(theta-1))
			}
		}
	}
	return l > -math.Log(20)
}
