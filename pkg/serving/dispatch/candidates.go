package dispatch

import (
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// affinitySample is the number of ring successors that a sample always has, so
// that hash affinity also works when only some engines are considered.
const affinitySample = 2

// othersTrusted is the age up to which the owner's forecast of the other entries
// is better than an estimate from load reports.
const othersTrusted = time.Second

// Candidates appends the engines that may take r to buf. Of more than
// twice cfg.Sample engines it takes the request's successors on the hash ring and a random sample.
func (t *Tracker) Candidates(now time.Duration, r *serving.Request, buf []serving.Candidate) []serving.Candidate {
	ring := t.rings[r.Model]
	if len(ring) <= 2*t.cfg.Sample {
		for _, e := range ring {
			buf = t.appendCandidate(now, r, e, buf)
		}
		return buf
	}
	first := len(buf)
	if h, ok := affinityHash(r); ok {
		i, _ := slices.BinarySearchFunc(ring, h, compareHash)
		for k := range affinitySample {
			buf = t.appendCandidate(now, r, ring[(i+k)%len(ring)], buf)
		}
	}
	stride := coprimeStride(1+t.cfg.Random.IntN(len(ring)), len(ring))
	i := t.cfg.Random.IntN(len(ring))
	// Engines that are out of service are passed over, up to four samples.
	for range 4 * t.cfg.Sample {
		if len(buf)-first >= t.cfg.Sample {
			break
		}
		i = (i + stride) % len(ring)
		e := ring[i]
		if !slices.ContainsFunc(buf[first:], func(c serving.Candidate) bool { return c.Hash == e.hash }) {
			buf = t.appendCandidate(now, r, e, buf)
		}
	}
	return buf
}

func (t *Tracker) appendCandidate(now time.Duration, r *serving.Request, e *engine, buf []serving.Candidate) []serving.Candidate {
	if e.State != EngineReady || now-e.heardAt > t.cfg.StaleAfter || !e.breaker.Allow(now) {
		return buf
	}
	if t.cfg.InService != nil && !t.cfg.InService(e.Engine, e.DataCentre) {
		return buf
	}
	// No stream of the engine has had a token for too long: the engine or the link to
	// it has stalled.
	if e.streaming > 0 && e.stall.Stalled(now, e.lastProgress) {
		return buf
	}
	version, ok := e.carries(r.Model, r.Version)
	if !ok {
		return buf
	}
	e.refresh(now, &t.cfg)
	limit, cold := e.ramp.Limit(), e.ramp.Cold()
	if e.hasLimit {
		// The owner sees all of the evidence on the engine, this entry a part.
		own := limit
		limit, cold = e.limit, e.limit < e.Capacity.MaxRunning
		if e.ramp.Slowed() {
			// What this entry sees itself is newer than what the owner knows.
			limit, cold = min(limit, own), true
		}
	}

	load := e.Load
	load.Running = max(0, load.Running-serving.Slots(len(e.ended)))
	return append(buf, serving.Candidate{
		Engine: e.Engine, DataCentre: e.DataCentre, Region: e.Region, Role: e.Role,
		Capacity: e.Capacity, Load: load,
		SentSince: e.sinceCount, InFlight: serving.Slots(len(e.running)),
		Limit: limit, Cold: cold,
		CachedPrefix:   e.prefixes.cached(now, r.PrefixHashes, e.Capacity.BlockTokens),
		ExpectedGrowth: max(0, serving.Tokens(e.forecast.Peak())-e.usedNow),
		Distance:       e.distance, Version: version, Hash: e.hash,
		StepTime: e.step, FirstToken: e.firstToken, Forecast: &e.forecast,
	})
}

func (e *engine) carries(m serving.ModelID, v serving.Version) (serving.Version, bool) {
	for _, c := range e.Models {
		if c.Model == m && (v == "" || c.Version == v) {
			return c.Version, true
		}
	}
	return "", false
}

// refresh computes the forecast anew: the entry's own generations one by one, and
// the rest of what the report shows as equal generations of the same model.
func (e *engine) refresh(now time.Duration, cfg *TrackerConfig) {
	age := now - e.forecastAt
	if age < cfg.Refresh/8 || !e.dirty && age < cfg.Refresh {
		return
	}
	e.forecast = serving.MemoryForecast{}
	e.forecastAt, e.dirty, e.sinceCount, e.usedNow = now, false, 0, 0
	var reported serving.Slots
	var held serving.Tokens
	for _, g := range e.order {
		e.addTo(cfg.Lengths, g)
		e.usedNow += g.prompt + g.soFar
		if g.sentAt > e.asOf {
			e.sinceCount++
			continue
		}
		reported++
		held += g.prompt + g.soFar
	}
	for i := range e.ended {
		reported++
		held += e.ended[i].prompt + e.ended[i].soFar
	}
	if e.hasOthers && now-e.othersAt < othersTrusted {
		e.forecast.Merge(&e.others, 1)
		e.usedNow += serving.Tokens(e.others.Mean[0])
		e.busyNow = serving.Slots(len(e.running)) + e.others.Generations
		return
	}
	e.addForeign(now, cfg.Lengths, e.Load.Running+e.Load.Queued-reported,
		serving.Tokens(e.Load.BlocksUsed)*e.Capacity.BlockTokens-held)
	e.busyNow = max(serving.Slots(len(e.running)), e.Load.Running+e.Load.Queued+e.sinceCount)
}

// addForeign adds n generations of other entries that together held tokens at
// the time of the report.
func (e *engine) addForeign(now time.Duration, lengths serving.LengthEstimator, n serving.Slots, held serving.Tokens) {
	if n <= 0 {
		return
	}
	var grown serving.Tokens
	if e.step > 0 {
		grown = serving.Tokens((now - e.asOf) / e.step)
	}
	each := max(0, held)/serving.Tokens(n) + grown
	var survival [serving.ForecastPoints]float64
	// Half of what a generation holds is taken as answer, half as prompt.
	lengths.Survival(serving.LengthKey{Model: e.Models[0].Model}, each/2, &survival)
	e.forecast.Add(each, 0, &survival, n)
	e.usedNow += each * serving.Tokens(n)
}

func (e *engine) addTo(lengths serving.LengthEstimator, g *generation) {
	e.addGeneration(&e.forecast, lengths, g)
}

func (e *engine) addGeneration(f *serving.MemoryForecast, lengths serving.LengthEstimator, g *generation) {
	// The conditional distribution changes little over a few tokens.
	if !g.hasSurvival || g.soFar-g.survivalAt >= 8+g.soFar/16 {
		lengths.Survival(g.key, g.soFar, &g.survival)
		g.survivalAt, g.hasSurvival = g.soFar, true
	}
	most := serving.Tokens(0)
	if g.most > 0 {
		most = max(1, g.most-g.soFar)
	}
	f.Add(g.prompt+g.soFar+e.Capacity.BlockTokens/2, most, &g.survival, 1)
}
