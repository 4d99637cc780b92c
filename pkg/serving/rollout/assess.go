package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// The assessment compares two numbers in each slice, route and class of calls: how many bad calls the new
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
// multiplied over slices, routes and classes of calls, and averaged over several additional shares of bad calls,
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
	// restEvidence is the evidence that must remain without the worst engines, restBad the
	// number of bad calls, and restPart the part of the excess of all engines. From
	// evenPart on, the engines are about equally bad, and evenEvidence suffices. Otherwise
	// two or three failures of other engines by chance would let a bad engine revert a
	// version.
	restEvidence, evenEvidence = 300, 100
	restPart, evenPart         = 1.0 / 3, 0.6
	restBad                    = 5
	// maxWorst is the largest number of engines that are left out.
	maxWorst = 3
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
	// freeLoad is how many times the load of an engine of the old version an engine of the
	// canary may have without being slower for it. Above, its answers may take longer in
	// proportion, at most maxLoadFactor times.
	freeLoad      = 1.5
	maxLoadFactor = 3
	// minTimes is the number of times of the old version on a route, and minEngineTimes that
	// of an engine, from which quantiles are taken.
	minTimes, minEngineTimes = 30, 12
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
	tempering   = [kinds]float64{1, 0.8, 0.8, 0.8}
)

// excesses are the additional shares of bad calls that the tests look for.
var excesses = [...]float64{0.06, 0.12, 0.25, 0.5, 0.9}

// stratum counts the calls of one route and class that were sent in one slice.
type stratum struct {
	newCalls, oldCalls float64
	newBad, oldBad     [kinds]float64
	// oldRunning is the number of calls to the old version without an outcome.
	oldRunning float64
	engines    map[serving.EngineID]*engineStratum
	oldTimes   [kinds]Histogram
	// surge is set for kinds of bad calls that are not compared in this slice.
	surge [kinds]bool
}

// compared reports whether the stratum has calls to compare.
func (s *stratum) compared(k kind) bool {
	return s.newCalls > 0 && s.oldCalls > 0 && !s.surge[k]
}

// engineStratum counts the calls of one engine of the new version.
type engineStratum struct {
	calls, running float64
	bad            [kinds]float64
	times          [kinds]*Histogram
}

// routeStrata holds the strata of a class of calls of a route.
type routeStrata struct {
	name   string
	class  Class
	slices [Slices]stratum
	// rates are the shares of bad calls of the old version.
	rates [kinds]float64
}

// comparison is the evidence of all routes.
type comparison struct {
	routes []*routeStrata
	// several is set if the new version has more than one engine, so that a bad engine can be
	// told from a bad version.
	several bool
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
	c := &comparison{several: fleet.New > 1}
	engines := map[serving.EngineID]bool{}
	type name struct {
		route string
		class Class
	}
	byName := map[name]*routeStrata{}
	for key, n := range e {
		if !key.Valid(r.To) {
			continue
		}
		route := byName[name{key.Route, key.Class}]
		if route == nil {
			route = &routeStrata{name: key.Route, class: key.Class}
			byName[name{key.Route, key.Class}] = route
			c.routes = append(c.routes, route)
		}
		s := &route.slices[key.Slice]
		calls := float64(max(0, n.Sent-n.Uncounted))
		running := max(0, calls-float64(n.Answered+n.Failed))
		times := [kinds]*Histogram{nil, &n.First, &n.Token, &n.Whole}
		if key.Version != r.To {
			s.oldCalls += calls
			s.oldRunning += running
			s.oldBad[failed] += float64(n.Failed)
			for k := slowFirst; k < kinds; k++ {
				s.oldTimes[k].Merge(times[k])
			}
			continue
		}
		engines[key.Engine] = true
		c.several = c.several || len(engines) > 1
		if s.engines == nil {
			s.engines = map[serving.EngineID]*engineStratum{}
		}
		s.engines[key.Engine] = &engineStratum{calls: calls, running: running, bad: [kinds]float64{failed: float64(n.Failed)}, times: times}
	}
	// The order of a map is random, and so would be the sums of floating point numbers.
	slices.SortFunc(c.routes, func(a, b *routeStrata) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.class, b.class))
	})
	loads := c.loadFactors(fleet)
	c.countSlow(r, loads)
	c.dropSurges(r.Slice())
	for _, route := range c.routes {
		route.setRates()
	}
	c.sum(nil)
	return c
}

// loadFactors returns for each slice by what factor the answers of an engine of the new
// version may take longer because of its load. Its load is compared as a part of all calls
// with that of an engine of the old version in the slice where that had most calls.
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
			factors[i] = min(maxLoadFactor, max(1, newCalls[i]/float64(n)/(newCalls[i]+oldCalls[i])/old/freeLoad))
		}
	}
	return factors
}

// countSlow counts the slow answers of both versions.
func (c *comparison) countSlow(r Rollout, loads [Slices]float64) {
	for k := slowFirst; k < kinds; k++ {
		limits := make([]float64, len(c.routes))
		lows := make([]float64, len(c.routes))
		for i, route := range c.routes {
			var old Histogram
			for j := range route.slices {
				old.Merge(&route.slices[j].oldTimes[k])
			}
			if old.Count() >= minTimes {
				limits[i] = slowFactor * float64(old.Quantile(0.5))
				lows[i] = float64(old.Quantile(machineQuantile))
			}
		}
		machines := c.machines(k, lows)
		for i, route := range c.routes {
			if limits[i] == 0 {
				continue
			}
			for j := range route.slices {
				s := &route.slices[j]
				// age is the least age of the calls of the slice.
				age := float64(r.Elapsed) - float64(j+1)/Slices*float64(r.Duration)
				s.oldBad[k] = s.oldTimes[k].above(time.Duration(limits[i]))
				if k == slowWhole && age > limits[i] {
					s.oldBad[k] += s.oldRunning
				}
				for id, e := range s.engines {
					limit := limits[i] * loads[j]
					if f, ok := machines[id]; ok {
						limit *= f
					}
					e.bad[k] = e.times[k].above(time.Duration(limit))
					if k == slowWhole && age > limit {
						e.bad[k] += e.running
					}
				}
			}
		}
	}
}

// machines returns for engines of the new version the factor by which their machines are
// slower than the usual one of the old version, from the low quantiles of its times on the
// routes. A machine is slow on all routes, so that the median over the routes is taken.
func (c *comparison) machines(k kind, lows []float64) map[serving.EngineID]float64 {
	type onRoute struct {
		factor float64
		count  int64
	}
	factors := map[serving.EngineID][]onRoute{}
	for i, route := range c.routes {
		if lows[i] == 0 {
			continue
		}
		times := map[serving.EngineID]*Histogram{}
		for j := range route.slices {
			for id, e := range route.slices[j].engines {
				if times[id] == nil {
					times[id] = &Histogram{}
				}
				times[id].Merge(e.times[k])
			}
		}
		for id, h := range times {
			if n := h.Count(); n > 0 {
				factors[id] = append(factors[id], onRoute{float64(h.Quantile(machineQuantile)) / lows[i], n})
			}
		}
	}
	out := map[serving.EngineID]float64{}
	for id, fs := range factors {
		slices.SortFunc(fs, func(a, b onRoute) int { return cmp.Compare(a.factor, b.factor) })
		n, below := int64(0), int64(0)
		for _, f := range fs {
			n += f.count
		}
		for _, f := range fs {
			if below += f.count; 2*below >= n {
				// A larger factor is not that of a machine.
				if n >= minEngineTimes && f.factor > 1 && f.factor <= machineFactor {
					out[id] = f.factor
				}
				break
			}
		}
	}
	return out
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

// evidence returns the likelihood ratio for one kind on some routes, and the slice from which
// on the version appears worst.
func evidence(routes []*routeStrata, k kind) (sum float64, from int) {
	// logs has for each excess the logarithm of the ratio of the calls sent since the slice.
	var logs [len(excesses)]float64
	largest := 0.0
	for i := Slices - 1; i >= 0; i-- {
		for _, route := range routes {
			s := &route.slices[i]
			if !s.compared(k) {
				continue
			}
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
			largest, from = e, i
		}
		weight := laterWeight
		if i == 0 {
			weight = 1 - laterWeight*(Slices-1)
		}
		sum += weight * e
	}
	return sum, from
}

// totals are the counts of all strata that were compared. expected is the number of bad
// calls that the new version would have with the rates of the old one.
type totals struct {
	newCalls, newBad, oldCalls, oldBad, expected float64
}

// totalsSince sums the calls that were sent since the slice from.
func totalsSince(routes []*routeStrata, k kind, from int) (t totals) {
	for _, route := range routes {
		for i := from; i < Slices; i++ {
			s := &route.slices[i]
			if !s.compared(k) {
				continue
			}
			t.newCalls += s.newCalls
			t.newBad += s.newBad[k]
			t.oldCalls += s.oldCalls
			t.oldBad += s.oldBad[k]
			t.expected += s.newCalls * s.oldBad[k] / s.oldCalls
		}
	}
	return t
}

// excess returns the share of bad calls of the new version above that of the old one.
func (t *totals) excess() float64 { return (t.newBad - t.expected) / max(1, t.newCalls) }

// matters reports whether the difference is larger than that among engines of one version.
func (t *totals) matters() bool {
	return t.newBad >= minBad && t.newBad >= minRatio*t.expected && t.excess() >= minExcess
}

// worst returns the engines of the new version with the most bad calls above what the old
// version's rates explain: a quarter of those in the test, at least one and at most maxWorst,
// because of many engines with few calls each, those that have the bad calls are many.
func (c *comparison) worst(routes []*routeStrata, k kind) map[serving.EngineID]bool {
	excess := map[serving.EngineID]float64{}
	// expected are the bad calls of each engine if all are equally bad. An engine that
	// only got calls before the version turned bad is not in the test.
	expected := map[serving.EngineID]float64{}
	for _, route := range routes {
		for i := range route.slices {
			s := &route.slices[i]
			if !s.compared(k) {
				continue
			}
			for id, e := range s.engines {
				excess[id] += e.bad[k] - e.calls*s.oldBad[k]/s.oldCalls
				expected[id] += e.calls * s.newBad[k] / s.newCalls
			}
		}
	}
	ids := make([]serving.EngineID, 0, len(excess))
	for id := range excess {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b serving.EngineID) int {
		return cmp.Or(cmp.Compare(excess[b], excess[a]), cmp.Compare(a, b))
	})
	sum, squares := 0.0, 0.0
	for _, id := range ids {
		sum += expected[id]
		squares += expected[id] * expected[id]
	}
	inTest := sum * sum / max(squares, math.SmallestNonzeroFloat64)
	out := map[serving.EngineID]bool{}
	for _, id := range ids[:min(len(ids), max(1, int(math.Ceil(inTest/4))), maxWorst)] {
		out[id] = true
	}
	return out
}

// assess looks for evidence that the version is bad.
func assess(r Rollout, e Evidence, fleet Fleet) finding {
	c := compare(r, e, fleet)
	f := finding{thin: c.thin()}
	// byRoute are the classes of each route.
	var byRoute [][]*routeStrata
	for i, from := 0, 0; i < len(c.routes); i++ {
		if i+1 == len(c.routes) || c.routes[i+1].name != c.routes[i].name {
			byRoute = append(byRoute, c.routes[from:i+1])
			from = i + 1
		}
	}
	for k := failed; k < kinds; k++ {
		// Half of the weight is that of all routes together, the rest is divided.
		c.test(&f, r, c.routes, k, kindWeights[k]/2, "all routes")
		for _, route := range byRoute {
			c.test(&f, r, route, k, kindWeights[k]/2/float64(len(byRoute)), "route "+route[0].name)
		}
	}
	return f
}

func (c *comparison) test(f *finding, r Rollout, routes []*routeStrata, k kind, weight float64, where string) {
	ev, from := evidence(routes, k)
	ev *= weight
	f.evidence = max(f.evidence, ev)
	if f.bad || ev < 1/falseRevert {
		return
	}
	t := totalsSince(routes, k, from)
	if !t.matters() {
		return
	}
	if c.several {
		c.sum(c.worst(routes, k))
		rest, _ := evidence(routes, k)
		rt := totalsSince(routes, k, from)
		c.sum(nil)
		needed := float64(restEvidence)
		if rt.excess() >= evenPart*t.excess() {
			needed = evenEvidence
		}
		if rest < needed || rt.newBad < restBad || rt.excess() < max(minExcess, restPart*t.excess()) {
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
