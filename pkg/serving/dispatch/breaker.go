package dispatch

import (
	"math/bits"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// BreakerState is the state of a circuit breaker.
type BreakerState int

// States of a circuit breaker: Closed allows all calls, Open none and HalfOpen a few probes.
const (
	Closed BreakerState = iota
	Open
	HalfOpen
)

// BreakerConfig configures a breaker. Zero values mean the defaults.
type BreakerConfig struct {
	// ShortFailureShare is the share of failures among the last ShortWindow calls
	// (defaults 0.5 and 10) that opens the breaker on a clear failure.
	ShortFailureShare float64
	ShortWindow       int
	// LongFailureShare is the share of failures among the last 64 calls that opens the
	// breaker on a partial failure (default 0.15). It applies from the 32nd call on.
	LongFailureShare float64
	// OpenFor is the initial time for which the breaker stays open. It doubles whenever
	// the breaker opens again, up to MaxOpenFor (defaults 1 s and 30 s).
	OpenFor, MaxOpenFor time.Duration
	// Probes is the maximum number of concurrent probes and the number of successful
	// probes that closes the breaker (default 3).
	Probes int
	// Random adds jitter to the open time, so that entries do not probe at the same
	// time; nil means no jitter.
	Random serving.Random
}

// Breaker is the circuit breaker of one engine. It also detects grey failures, in which
// an engine is slow or fails only some of its calls. Slow calls count as failures.
type Breaker struct {
	cfg   BreakerConfig
	state BreakerState
	// history has one bit for each of the last calls; 1 means failure.
	history        uint64
	calls          int
	openUntil      time.Duration
	openFor        time.Duration
	probesInFlight int
	probesPassed   int
}

// NewBreaker returns a closed breaker.
func NewBreaker(cfg BreakerConfig) *Breaker {
	cfg.ShortFailureShare = orDefault(cfg.ShortFailureShare, 0.5)
	cfg.ShortWindow = orDefault(cfg.ShortWindow, 10)
	cfg.LongFailureShare = orDefault(cfg.LongFailureShare, 0.15)
	cfg.OpenFor = orDefault(cfg.OpenFor, time.Second)
	cfg.MaxOpenFor = orDefault(cfg.MaxOpenFor, 30*time.Second)
	cfg.Probes = orDefault(cfg.Probes, 3)
	return &Breaker{cfg: cfg, openFor: cfg.OpenFor}
}

// State returns the state at now. An open breaker becomes half-open once its open time has passed.
func (b *Breaker) State(now time.Duration) BreakerState {
	if b.state == Open && now >= b.openUntil {
		b.state, b.probesInFlight, b.probesPassed = HalfOpen, 0, 0
	}
	return b.state
}

// Allow reports whether a call may start now.
func (b *Breaker) Allow(now time.Duration) bool {
	switch b.State(now) {
	case Closed:
		return true
	case HalfOpen:
		return b.probesInFlight < b.cfg.Probes
	default:
		return false
	}
}

// Begin records the start of a call.
func (b *Breaker) Begin(now time.Duration) {
	if b.State(now) == HalfOpen {
		b.probesInFlight++
	}
}

// Abandon records the end of a call that gives no evidence about the engine, such as
// one that was cancelled before its first token.
func (b *Breaker) Abandon() { b.probesInFlight = max(0, b.probesInFlight-1) }

// Record records the outcome of a call: ok means that its first token arrived in time.
func (b *Breaker) Record(now time.Duration, ok bool) {
	switch b.State(now) {
	case Open:
		// Ignored, because the call started before the breaker opened.
	case HalfOpen:
		b.probesInFlight = max(0, b.probesInFlight-1)
		if !ok {
			b.open(now)
			return
		}
		if b.probesPassed++; b.probesPassed >= b.cfg.Probes {
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
	if n := bits.OnesCount64(short); float64(n) >= b.cfg.ShortFailureShare*float64(b.cfg.ShortWindow) {
		return true
	}
	return b.calls >= 32 && float64(bits.OnesCount64(b.history)) >= b.cfg.LongFailureShare*float64(b.calls)
}

func (b *Breaker) open(now time.Duration) {
	d := b.openFor
	if b.cfg.Random != nil {
		d += time.Duration(b.cfg.Random.Float64() * float64(d) / 4)
	}
	b.state, b.openUntil = Open, now+d
	b.openFor = min(2*b.openFor, b.cfg.MaxOpenFor)
	b.history, b.calls = 0, 0
}
