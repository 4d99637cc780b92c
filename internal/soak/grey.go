package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"turmericdrum.org/turmericdrum/platform/standin"
)

const (
	// greyEvery is the distance between two model engines that fail a part of the requests that
	// copy, stop and resume streams.
	greyEvery = 2
	// greyShare is the part of them that fails, and breakOffShare the part of the events after
	// which one that leaves resets the connection of a stream and goes on with its run.
	greyShare     = 0.45
	breakOffShare = 1. / 40
	// Every reclaimEvery-th seed reclaims a model engine each reclaimInterval besides its faults.
	reclaimEvery    = 3
	reclaimInterval = 1500 * time.Millisecond
	// maxOverlap is how long an engine may still work on a stream that goes on at another one.
	maxOverlap = 400 * time.Millisecond
)

// greyFailures are the ways in which a grey engine fails a request.
var greyFailures = []standin.Failure{standin.Reset, standin.Hang, standin.Fails, standin.Sheds, standin.Busy, standin.InProgress, standin.Malformed, standin.FailsWithCopy}

// greyEngine decides which requests an engine fails. It is safe for concurrent use.
type greyEngine struct {
	// engine is nil until it has started.
	engine atomic.Pointer[standin.Engine]
	mu     sync.Mutex
	random *rand.Rand
}

// fail returns how to fail a request and whether to carry it out.
func (g *greyEngine) fail(int) (how standin.Failure, carryOut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.random.Float64() >= greyShare {
		return standin.NoFailure, true
	}
	how = greyFailures[g.random.IntN(len(greyFailures))]
	// An engine that says that it did not carry out an order tells the truth.
	truthful := how == standin.Sheds || how == standin.InProgress
	return how, !truthful && g.random.IntN(2) == 0
}

// breakOff reports whether to reset the connection of a stream after an event.
func (g *greyEngine) breakOff(int) bool {
	if e := g.engine.Load(); e == nil || e.DrainAckedAt().IsZero() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.Float64() < breakOffShare
}

// newGreyEngine makes the engine of a configuration fail a part of its requests.
func newGreyEngine(cfg *standin.EngineConfig, seed uint64) *greyEngine {
	g := &greyEngine{random: rand.New(rand.NewPCG(seed, seed))}
	cfg.FailCopy, cfg.FailStop, cfg.FailResume, cfg.FailFree, cfg.BreakOff = g.fail, g.fail, g.fail, g.fail, g.breakOff
	return g
}

// reclaimInSeries reclaims one model engine after another until ctx ends.
func (t *trial) reclaimInSeries(ctx context.Context) {
	tick := time.NewTicker(reclaimInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			t.logf("fault: reclaim an engine in series")
			t.reclaim()
		}
	}
}

// checkOverlap checks that no engine began to work on a stream while another one did.
func (t *trial) checkOverlap(id string, runs []standin.Run) {
	for i, next := range runs {
		for _, before := range runs[:i] {
			if before.Engine == next.Engine {
				continue
			}
			if before.EndedAt.IsZero() || before.EndedAt.Sub(next.StartedAt) > maxOverlap {
				t.violation("%s began at %s at %s, and %s worked on it until %s", id, next.Engine, next.StartedAt.Format("15:04:05.000"),
					before.Engine, before.EndedAt.Format("15:04:05.000"))
			}
		}
	}
}
