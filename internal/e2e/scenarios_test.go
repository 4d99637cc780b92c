package e2e

import (
	"testing"
	"time"

	"turmericdrum.org/turmericdrum/internal/standin"
)

// small is the fleet of most scenarios: 12 processes over two data centres.
var small = spec{entries: 3, engines: 4, services: 2}

// mixed is a load of all kinds of clients.
var mixed = load{callers: 8, orders: 3, operators: 2}

// scenario injects faults while clients work. Afterwards the checks of
// workload.check hold, and every entry answers.
type scenario struct {
	name string
	spec spec
	load load
	run  func(c *cluster, w *workload)
}

func (s *scenario) test(t *testing.T) {
	t.Parallel()
	c := newCluster(t, s.spec)
	w := c.begin(s.load)
	time.Sleep(time.Second) // The faults hit a system that works.
	s.run(c, w)
	for _, e := range c.entries {
		c.awaitAnswer(e)
	}
	time.Sleep(time.Second) // Clients go on after the faults.
	w.check()
}

func pause(d time.Duration) { time.Sleep(d) }

func restart(c *cluster, n *node, down time.Duration) {
	n.kill()
	pause(down)
	c.launch(n)
}

var scenarios = []scenario{
	{"no fault", small, mixed, func(*cluster, *workload) { pause(time.Second) }},
	{"entry killed", small, mixed, func(c *cluster, _ *workload) { restart(c, c.entries[1], time.Second) }},
	{"entry frozen", small, mixed, func(c *cluster, _ *workload) { freeze(c.entries[1], 6*time.Second) }},
	{"control leader killed", small, mixed, func(c *cluster, _ *workload) { restart(c, c.leader(), 3*time.Second) }},
	{"control follower killed", small, mixed, func(c *cluster, _ *workload) { restart(c, c.follower(), time.Second) }},
	{"control leader frozen", small, mixed, func(c *cluster, _ *workload) { freeze(c.leader(), 6*time.Second) }},
	{"control follower frozen", small, mixed, func(c *cluster, _ *workload) { freeze(c.follower(), 6*time.Second) }},
	{"engine killed", small, mixed, func(c *cluster, _ *workload) { restart(c, c.engines[0], time.Second) }},
	{"engine frozen", small, mixed, func(c *cluster, _ *workload) { freeze(c.engines[0], 6*time.Second) }},
	{"disordered answers", small, mixed, func(c *cluster, _ *workload) {
		for i, fault := range []string{"repeat", "drop", "reorder", "late"} {
			c.fault(c.engines[i], standin.Fault{Fault: fault, Fraction: 0.2, DurationMS: 4000, DelayMS: 500})
		}
		pause(4 * time.Second)
	}},
	{"crossed answers", small, mixed, func(c *cluster, _ *workload) {
		c.fault(c.engines[0], standin.Fault{Fault: "crossed", Fraction: 0.5, DurationMS: 4000})
		c.fault(c.engines[1], standin.Fault{Fault: "crossed", DurationMS: 2000})
		pause(4 * time.Second)
	}},
}

// Guards against faults, alone and in pairs, that break one of the guarantees.
func TestFaults(t *testing.T) {
	for i := range scenarios {
		t.Run(scenarios[i].name, scenarios[i].test)
	}
}
