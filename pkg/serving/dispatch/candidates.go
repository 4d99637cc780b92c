package dispatch

import (
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// affinitySample is the number of the request's successors on the hash ring that every
// sample includes, so that hash affinity also works when only some engines are considered.
const affinitySample = 2

// othersMaxAge is the age up to which the owner's forecast for the other entries is
// preferred to an estimate from load reports.
const othersMaxAge = time.Second

// Candidates appends the engines that can serve r to buf. If more than twice SampleSize
// engines serve the model, it considers only the request's successors on the hash ring
// and a random sample.
func (t *Tracker) Candidates(now time.Duration, r *serving.Request, buf []serving.Candidate) []serving.Candidate {
	ring := t.rings[r.Model]
	if len(ring) <= 2*t.cfg.SampleSize {
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
	// Unavailable engines are skipped; at most four times the sample size is examined.
	for range 4 * t.cfg.SampleSize {
		if len(buf)-first >= t.cfg.SampleSize {
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
	if e.State != EngineReady || now-e.announcedAt > t.cfg.StaleAfter || !e.breaker.Allow(now) {
		return buf
	}
	if t.cfg.InService != nil && !t.cfg.InService(e.Engine, e.DataCentre) {
		return buf
	}
	// No stream from the engine has produced a token within the stall threshold: the
	// engine or the link to it has stalled.
	if e.streaming > 0 && e.stall.Stalled(now, e.lastProgress) {
		return buf
	}
	version, ok := e.servedVersion(r.Model, r.Version)
	if !ok {
		return buf
	}
	e.refreshForecast(now, &t.cfg)
	limit, cold := e.ramp.Limit(), e.ramp.Cold()
	if e.hasLimit {
		// The owner's limit is based on the evidence of all entries, the limit of this
		// entry's ramp only on a part of it.
		own := limit
		limit, cold = e.limit, e.limit < e.Capacity.MaxRunning
		if e.ramp.Slowed() {
			// This entry's own measurements are newer than the owner's.
			limit, cold = min(limit, own), true
		}
	}

	load := e.Load
	load.Running = max(0, load.Running-serving.Slots(len(e.ended)))
	return append(buf, serving.Candidate{
		Engine: e.Engine, DataCentre: e.DataCentre, Region: e.Region, Role: e.Role,
		Capacity: e.Capacity, Load: load,
		SentSinceReport: e.sentSinceReport, InFlight: serving.Slots(len(e.running)),
		Limit: limit, Cold: cold,
		CachedPrefix:   e.prefixes.cached(now, r.PrefixHashes, e.Capacity.BlockTokens),
		ExpectedGrowth: max(0, serving.Tokens(e.forecast.Peak())-e.usedTokens),
		NetworkDelay:   e.networkDelay, Version: version, Hash: e.hash,
		StepTime: e.step, FirstToken: e.firstToken, Forecast: &e.forecast,
	})
}

// servedVersion returns the version of m that the engine serves if it matches v; an
// empty v matches any version.
func (e *engine) servedVersion(m serving.ModelID, v serving.Version) (serving.Version, bool) {
	for _, c := range e.Models {
		if c.Model == m && (v == "" || c.Version == v) {
			return c.Version, true
		}
	}
	return "", false
}

// refreshForecast recomputes the memory forecast. It adds this entry's generations one
// by one and the owner's forecast for the other entries. Without a recent one, it models
// the rest of the reported load as equal generations of the engine's first model.
func (e *engine) refreshForecast(now time.Duration, cfg *TrackerConfig) {
	age := now - e.forecastAt
	if age < cfg.ForecastRefresh/8 || !e.dirty && age < cfg.ForecastRefresh {
		return
	}
	e.forecast = serving.MemoryForecast{}
	e.forecastAt, e.dirty, e.sentSinceReport, e.usedTokens = now, false, 0, 0
	var reported serving.Slots
	var held serving.Tokens
	for _, g := range e.runningInOrder {
		e.addToForecast(cfg.Lengths, g)
		e.usedTokens += g.prompt + g.soFar
		if g.sentAt > e.asOf {
			e.sentSinceReport++
			continue
		}
		reported++
		held += g.prompt + g.soFar
	}
	for i := range e.ended {
		reported++
		held += e.ended[i].prompt + e.ended[i].soFar
	}
	if e.hasOthers && now-e.othersAt < othersMaxAge {
		e.forecast.Merge(&e.others, 1)
		e.usedTokens += serving.Tokens(e.others.Mean[0])
		e.busyNow = serving.Slots(len(e.running)) + e.others.Generations
		return
	}
	e.addOtherGenerations(now, cfg.Lengths, e.Load.Running+e.Load.Queued-reported,
		serving.Tokens(e.Load.BlocksUsed)*e.Capacity.BlockTokens-held)
	e.busyNow = max(serving.Slots(len(e.running)), e.Load.Running+e.Load.Queued+e.sentSinceReport)
}

// addOtherGenerations adds n generations of other entries that together held the given
// tokens when the load report was made.
func (e *engine) addOtherGenerations(now time.Duration, lengths serving.LengthEstimator, n serving.Slots, held serving.Tokens) {
	if n <= 0 {
		return
	}
	var grown serving.Tokens
	if e.step > 0 {
		grown = serving.Tokens((now - e.asOf) / e.step)
	}
	heldEach := max(0, held)/serving.Tokens(n) + grown
	var survival [serving.ForecastPoints]float64
	// Half of the tokens of a generation are assumed to be prompt, half answer.
	lengths.Survival(serving.LengthKey{Model: e.Models[0].Model}, heldEach/2, &survival)
	e.forecast.Add(heldEach, 0, &survival, n)
	e.usedTokens += heldEach * serving.Tokens(n)
}

func (e *engine) addToForecast(lengths serving.LengthEstimator, g *generation) {
	e.addGeneration(&e.forecast, lengths, g)
}

func (e *engine) addGeneration(f *serving.MemoryForecast, lengths serving.LengthEstimator, g *generation) {
	// The survival function changes little over a few tokens, so it is not recomputed
	// for each of them.
	if !g.hasSurvival || g.soFar-g.survivalAt >= 8+g.soFar/16 {
		lengths.Survival(g.key, g.soFar, &g.survival)
		g.survivalAt, g.hasSurvival = g.soFar, true
	}
	maxRemaining := serving.Tokens(0)
	if g.maxTokens > 0 {
		maxRemaining = max(1, g.maxTokens-g.soFar)
	}
	f.Add(g.prompt+g.soFar+e.Capacity.BlockTokens/2, maxRemaining, &g.survival, 1)
}
