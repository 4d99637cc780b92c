package dispatch

import (
	"math/bits"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// BreakerState is the state of a circuit breaker.
type BreakerState int

// States of a breaker: Closed lets all calls pass, Open none, HalfOpen a few probes.
const (
	Closed BreakerState = iota
	Open
	HalfOpen
)

// BreakerConfig configures a breaker. Zero values mean the defaults.
type BreakerConfig struct {
	// ShortShare of the last ShortWindow calls (defaults 0.5 of 10) opens the
	// breaker on a clear failure.
	ShortShare  float64
	ShortWindow int
	// LongShare of the last 64 calls opens it on a partial failure (default 0.15).
	LongShare float64
	// OpenFor is the first time without calls; it doubles up to OpenMost
	// (defaults 1 s and 30 s).
	OpenFor, OpenMost time.Duration
	// Probes is the number of concurrent and of needed successful probes (default 3).
	Probes int
	// Random spreads the probes of many entries over time.
	Random serving.Random
}

// Breaker keeps calls away from an engine with a grey failure: one that is slow
// or fails only some of its calls. Slow calls count as failed ones.
type Breaker struct {
	cfg     BreakerConfig
	state   BreakerState
	history uint64
	calls   int
	until   time.Duration
	openFor time.Duration
	probing int
	passed  int
}

// NewBreaker returns a closed breaker.
func NewBreaker(cfg BreakerConfig) *Breaker {
	cfg.ShortShare = orDefault(cfg.ShortShare, 0.5)
	cfg.ShortWindow = orDefault(cfg.ShortWindow, 10)
	cfg.LongShare = orDefault(cfg.LongShare, 0.15)
	cfg.OpenFor = orDefault(cfg.OpenFor, time.Second)
	cfg.OpenMost = orDefault(cfg.OpenMost, 30*time.Second)
	cfg.Probes = orDefault(cfg.Probes, 3)
	return &Breaker{cfg: cfg, openFor: cfg.OpenFor}
}

// State returns the state at a time.
func (b *Breaker) State(now time.Duration) BreakerState {
	if b.state == Open && now >= b.until {
		b.state, b.probing, b.passed = HalfOpen, 0, 0
	}
	return b.state
}

// Allow tells whether a call may start now.
func (b *Breaker) Allow(now time.Duration) bool {
	switch b.State(now) {
	case Closed:
		return true
	case HalfOpen:
		return b.probing < b.cfg.Probes
	default:
		return false
	}
}

// Begin records the start of a call.
func (b *Breaker) Begin(now time.Duration) {
	if b.State(now) == HalfOpen {
		b.probing++
	}
}

// Abandon records the end of a call that says nothing about the engine.
func (b *Breaker) Abandon() { b.probing = max(0, b.probing-1) }

// Record takes in the outcome of a call: its first token in time, or a failure.
func (b *Breaker) Record(now time.Duration, ok bool) {
	switch b.State(now) {
	case Open:
		// The call started before the breaker opened.
	case HalfOpen:
		b.probing = max(0, b.probing-1)
		if !ok {
			b.open(now)
			return
		}
		if b.passed++; b.passed >= b.cfg.Probes {
			*b = *NewBreaker(b.cfg)
		}
	case Closed:
		b.history <<= 1
		if !ok {
			b.history |= 1
		}
		b.calls = min(b.calls+1, 64)
		if b.tripped() {
			b.open(now)
		}
	}
}

func (b *Breaker) tripped() bool {
	short := b.history & (1<<b.cfg.ShortWindow - 1)
	if n := bits.OnesCount64(short); float64(n) >= b.cfg.ShortShare*float64(b.cfg.ShortWindow) {
		return true
	}
	return b.calls >= 32 && float64(bits.OnesCount64(b.history)) >= b.cfg.LongShare*float64(b.calls)
}

func (b *Breaker) open(now time.Duration) {
	d := b.openFor
	if b.cfg.Random != nil {
		d += time.Duration(b.cfg.Random.Float64() * float64(d) / 4)
	}
	b.state, b.until = Open, now+d
	b.openFor = min(2*b.openFor, b.cfg.OpenMost)
	b.history, b.calls = 0, 0
}
