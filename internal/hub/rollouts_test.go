package hub

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/deployment"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/rollout"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
)

// rolloutHubs are hubs with engines of two versions, and an entry that reports good answers of
// both.
type rolloutHubs struct {
	*testHubs
	mu sync.Mutex
	// running holds the hubs that run.
	running []*testHub
	// phases holds the phases that the entry has seen, in their order.
	phases []schema.RolloutPhase
	// failNew makes the entry report that the new version fails. silent makes it report
	// nothing, like an entry that has restarted.
	failNew, silent bool
}

func startRolloutHubs(t *testing.T) *rolloutHubs {
	c := &rolloutHubs{testHubs: startHubsWith(t, func(h *Hub) {
		h.ServesRollouts = true
		h.DecodeConfig = func([]byte) (*routing.Config, error) {
			return &routing.Config{Version: 1, Services: []routing.Service{{ID: "s"}, {ID: "t"}}}, nil
		}
	})}
	c.running = append(c.running, c.hubs...)
	c.put(1)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.runEngines(ctx) })
	wg.Go(func() { c.runEntry(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	time.Sleep(time.Second)
	return c
}

func (c *rolloutHubs) live() []*testHub {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*testHub(nil), c.running...)
}

func (c *rolloutHubs) runEngines(ctx context.Context) {
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		for _, h := range c.live() {
			for i, v := range []rollout.Version{"v1", "v1", "v2", "v2", "v2"} {
				h.Heartbeat(presence.Record{Engine: serving.EngineID(fmt.Sprint("e-", i)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i+1), DataCentre: "a",
					State: presence.Ready, Slots: 4, Started: 5, Sequence: sequence, Version: v})
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// runEntry polls the hubs that run in turn, and changes to the next one after a failure.
func (c *rolloutHubs) runEntry(ctx context.Context) {
	evidence := rollout.Evidence{}
	var revision, sequence uint64
	var current *schema.Rollout
	since := time.Now()
	for n := 0; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		hubs := c.live()
		if len(hubs) == 0 {
			continue
		}
		in := &schema.WatchRequest{Entry: "x", Incarnation: 7, RolloutsRevision: &revision, WaitMs: 20}
		if current != nil && !deployment.RolloutEnded(current.GetPhase()) {
			r := rollout.FromWire(current)
			r.Elapsed += time.Since(since)
			c.mu.Lock()
			fail, silent := c.failNew, c.silent
			c.mu.Unlock()
			if silent {
				continue
			}
			for i := range 10 {
				key := rollout.Key{Route: "r", Slice: r.Slice()}
				if i == 0 {
					key.Version, key.Engine = "v2", serving.EngineID(fmt.Sprint("e-", 2+sequence%3))
				}
				evidence.Sent(key)
				if i == 0 && fail {
					evidence.Failed(key)
					continue
				}
				evidence.Answered(key, rollout.Times{Whole: 10 * time.Millisecond})
			}
			sequence++
			report := &schema.RolloutReport{Id: current.GetId(), Phase: current.GetPhase(), Sequence: sequence}
			for key, counts := range evidence {
				report.Counts = append(report.Counts, counts.ToWire(key))
			}
			in.Rollouts = append(in.Rollouts, report)
		}
		res, err := hubs[n%len(hubs)].Watch(ctx, in)
		if err != nil || !res.GetConfirmed() {
			n++
			continue
		}
		if res.GetRolloutsRevision() > revision {
			revision, since = res.GetRolloutsRevision(), time.Now()
			c.mu.Lock()
			for _, r := range res.GetRollouts() {
				if r.GetService() == "s" {
					current = r
					c.phases = append(c.phases, r.GetPhase())
				}
			}
			c.mu.Unlock()
		}
	}
}

// order sends an order to all hubs that run until one accepts or rejects it.
func (c *rolloutHubs) order(service, to string, d time.Duration) error {
	var err error
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for _, h := range c.live() {
			err = h.StartRollout(c.t.Context(), rollout.Order{Service: serving.ServiceID(service), To: rollout.Version(to), Duration: d})
			if kind := serving.KindOf(err); err == nil || kind == serving.KindInvalid || kind == serving.KindConflict {
				return err
			}
		}
	}
	return err
}

// rollout returns the rollout of the service s as the leader knows it.
func (c *rolloutHubs) rollout() (out *schema.Rollout, err error) {
	err = errors.New("no hub runs")
	for _, h := range c.live() {
		var all []*schema.Rollout
		if all, err = h.Rollouts(c.t.Context()); err == nil {
			return deployment.RolloutOf(&schema.DeploymentState{Rollouts: all}, "s"), nil
		}
	}
	return nil, err
}

func (c *rolloutHubs) awaitPhase(want schema.RolloutPhase) *schema.Rollout {
	c.t.Helper()
	var r *schema.Rollout
	eventually(c.t, func() (err error) {
		if r, err = c.rollout(); err == nil && r.GetPhase() < want {
			err = fmt.Errorf("phase %s", r.GetPhase())
		}
		return err
	})
	return r
}

// stopLeader stops the leader and returns the others.
func (c *rolloutHubs) stopLeader() {
	for i, h := range c.live() {
		if h.replica.current().State().Leading {
			c.mu.Lock()
			c.running = append(append([]*testHub(nil), c.running[:i]...), c.running[i+1:]...)
			c.mu.Unlock()
			h.stop()
			return
		}
	}
	c.t.Fatal("no hub leads")
}

func sent(r *schema.Rollout) (n int64) {
	for _, c := range r.GetCounts() {
		n += c.GetSent()
	}
	return n
}

// Guards against a rollout that is lost, starts anew or forgets its counts when the leader ends
// in any of its phases, and against a repeated order that is rejected by the next leader.
func TestRolloutContinuesUnderNextLeader(t *testing.T) {
	for _, phase := range []schema.RolloutPhase{
		schema.RolloutPhase_ROLLOUT_PHASE_CANARY, schema.RolloutPhase_ROLLOUT_PHASE_LOAD_TEST, schema.RolloutPhase_ROLLOUT_PHASE_CUTOVER,
	} {
		t.Run(phase.String(), func(t *testing.T) {
			t.Parallel()
			const duration = 9 * time.Second
			c := startRolloutHubs(t)
			begin := time.Now()
			assert.NilError(t, c.order("s", "v2", duration))
			c.awaitPhase(phase)
			before, err := c.rollout()
			assert.NilError(t, err)
			c.stopLeader()
			assert.NilError(t, c.order("s", "v2", duration))
			after := c.awaitPhase(phase)
			assert.Equal(t, after.GetId(), before.GetId())
			assert.Assert(t, sent(after) >= sent(before), "%d calls after the change, %d before", sent(after), sent(before))
			assert.Assert(t, after.GetElapsedMs() >= before.GetElapsedMs())
			if !deployment.RolloutEnded(after.GetPhase()) {
				assert.Equal(t, serving.KindOf(c.order("s", "v3", duration)), serving.KindConflict)
			}
			end := c.awaitPhase(schema.RolloutPhase_ROLLOUT_PHASE_COMPLETED)
			assert.Equal(t, end.GetPhase(), schema.RolloutPhase_ROLLOUT_PHASE_COMPLETED, end.GetReason())
			assert.Assert(t, time.Since(begin) <= duration+time.Second, "completed after %v", time.Since(begin))
			c.mu.Lock()
			defer c.mu.Unlock()
			for i := 1; i < len(c.phases); i++ {
				assert.Assert(t, c.phases[i] >= c.phases[i-1], "%v", c.phases)
			}
		})
	}
}

// Guards against an order or counts that are lost with two disks and the power of all hosts, and
// against a rollout whose time begins again.
func TestRolloutSurvivesPowerLossAndTwoDisks(t *testing.T) {
	c := startRolloutHubs(t)
	assert.NilError(t, c.order("s", "v2", time.Hour))
	var before *schema.Rollout
	eventually(t, func() (err error) {
		if before, err = c.rollout(); err == nil && (before.GetElapsedMs() < 2500 || sent(before) < 100) {
			err = fmt.Errorf("%d ms, %d calls", before.GetElapsedMs(), sent(before))
		}
		return err
	})
	c.mu.Lock()
	c.running, c.silent = nil, true
	c.mu.Unlock()
	committed := int64(0)
	for _, h := range c.hubs {
		committed = max(committed, sent(deployment.RolloutOf(h.replica.state(), "s")))
	}
	for i, h := range c.hubs {
		h.stop()
		if i < 2 {
			assert.NilError(t, os.RemoveAll(h.folder))
		}
	}
	for i, h := range c.hubs {
		c.hubs[i] = c.start(i, h.folder, false)
	}
	c.mu.Lock()
	c.running = append(c.running, c.hubs...)
	c.mu.Unlock()
	after := c.awaitPhase(schema.RolloutPhase_ROLLOUT_PHASE_CANARY)
	assert.Equal(t, after.GetId(), before.GetId())
	assert.Equal(t, after.GetPhase(), schema.RolloutPhase_ROLLOUT_PHASE_CANARY)
	// Counts and time are committed once a second.
	assert.Assert(t, after.GetElapsedMs() >= before.GetElapsedMs()-2000, "%d ms after the loss, %d before", after.GetElapsedMs(), before.GetElapsedMs())
	assert.Assert(t, committed > 0 && sent(after) >= committed, "%d calls after the loss, %d were committed", sent(after), committed)
	assert.NilError(t, c.order("s", "v2", time.Hour))
	assert.Equal(t, serving.KindOf(c.order("none", "v2", time.Hour)), serving.KindInvalid)
}

// Guards against a bad version that the next leader keeps because it does not know the failures
// that entries reported to another hub.
func TestNextLeaderRevertsBadVersion(t *testing.T) {
	c := startRolloutHubs(t)
	assert.NilError(t, c.order("s", "v2", 20*time.Second))
	c.awaitPhase(schema.RolloutPhase_ROLLOUT_PHASE_CANARY)
	c.stopLeader()
	c.mu.Lock()
	c.failNew = true
	c.mu.Unlock()
	begin := time.Now()
	end := c.awaitPhase(schema.RolloutPhase_ROLLOUT_PHASE_COMPLETED)
	assert.Equal(t, end.GetPhase(), schema.RolloutPhase_ROLLOUT_PHASE_REVERTED, end.GetReason())
	assert.Assert(t, time.Since(begin) < 8*time.Second, "reverted after %v", time.Since(begin))
	assert.Assert(t, sent(end) > 0, "the evidence was not kept")
}

// Guards against reports that are counted twice because they are repeated, forwarded by two hubs
// or overtaken by a later one, and against invalid ones.
func TestRolloutReports(t *testing.T) {
	count := func(sent, failed int64) *schema.RolloutCounts {
		return &schema.RolloutCounts{NewVersion: true, Route: "r", Engine: "e", Sent: sent, Failed: failed}
	}
	for _, tc := range []struct {
		name string
		// reports are those of one process.
		reports      []*schema.RolloutCounts
		sent, failed int64
	}{
		{"growing", []*schema.RolloutCounts{count(3, 1), count(7, 2)}, 7, 2},
		{"repeated", []*schema.RolloutCounts{count(3, 1), count(3, 1)}, 3, 1},
		{"overtaken", []*schema.RolloutCounts{count(7, 2), count(3, 1)}, 7, 2},
		{"more failures than calls", []*schema.RolloutCounts{count(3, 1), count(5, 9)}, 3, 1},
		{"negative", []*schema.RolloutCounts{count(3, 1), count(-5, 0)}, 3, 1},
		{"unknown slice", []*schema.RolloutCounts{count(3, 1), {NewVersion: true, Route: "r", Slice: 1 << 30, Sent: 4}}, 3, 1},
		{"unknown class", []*schema.RolloutCounts{count(3, 1), {NewVersion: true, Route: "r", Class: 1 << 30, Sent: 4}}, 3, 1},
		{"too many buckets", []*schema.RolloutCounts{count(3, 1), {NewVersion: true, Route: "q", Sent: 4, First: make([]uint32, 999)}}, 3, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := &Hub{ServesRollouts: true, state: &schema.DeploymentState{}}
			for i, r := range tc.reports {
				for _, direct := range []bool{true, false} {
					h.collectRollouts(0, 0, entryProcess{"x", 7}, []*schema.RolloutReport{{Id: 3, Sequence: uint64(i), Counts: []*schema.RolloutCounts{r}}}, direct)
				}
			}
			var sum rollout.Counts
			for _, c := range h.rollouts.tracked(0, 3).evidence(&schema.Rollout{To: "v2"}) {
				sum.Merge(c)
			}
			assert.Equal(t, sum.Sent, tc.sent)
			assert.Equal(t, sum.Failed, tc.failed)
		})
	}
}
