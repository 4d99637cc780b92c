package e2e

import (
	"syscall"
	"testing"
	"time"

	"turmericdrum.org/turmericdrum/internal/standin"
)

// smallSpec is the cluster of most scenarios: 12 processes in two data centres.
var smallSpec = spec{entries: 3, engines: 4, services: 2}

// linkedSpec has a link in front of each process.
var linkedSpec = spec{entries: 3, engines: 4, services: 2, links: true}

// coldSpec has engines that are cold for long enough to be overloaded.
var coldSpec = spec{entries: 3, engines: 4, services: 2, coldFor: 5 * time.Second}

// mixedLoad has clients of all kinds.
var mixedLoad = load{callers: 8, orders: 3, operators: 2}

// scenario injects faults while clients send requests. Afterwards every entry must
// answer and the checks of workload.stopAndCheck must pass.
type scenario struct {
	name   string
	spec   spec
	load   load
	inject func(c *cluster, w *workload)
}

func (s *scenario) test(t *testing.T) {
	t.Parallel()
	c := newCluster(t, s.spec)
	w := c.startWorkload(s.load)
	time.Sleep(time.Second) // Clients run without faults first.
	s.inject(c, w)
	for _, e := range c.entries {
		c.awaitAnswer(e)
	}
	time.Sleep(time.Second) // Clients continue after the faults.
	w.stopAndCheck()
}

func pause(d time.Duration) { time.Sleep(d) }

func restart(c *cluster, n *node, down time.Duration) {
	n.kill()
	pause(down)
	c.launch(n)
}

var scenarios = []scenario{
	{"no fault", smallSpec, mixedLoad, func(*cluster, *workload) { pause(time.Second) }},
	{"entry killed", smallSpec, mixedLoad, func(c *cluster, _ *workload) { restart(c, c.entries[1], time.Second) }},
	{"entry frozen", smallSpec, mixedLoad, func(c *cluster, _ *workload) { freeze(c.entries[1], 6*time.Second) }},
	{"control leader killed", smallSpec, mixedLoad, func(c *cluster, _ *workload) { restart(c, c.leader(), 3*time.Second) }},
	{"control follower killed", smallSpec, mixedLoad, func(c *cluster, _ *workload) { restart(c, c.follower(), time.Second) }},
	{"control leader frozen", smallSpec, mixedLoad, func(c *cluster, _ *workload) { freeze(c.leader(), 6*time.Second) }},
	{"control follower frozen", smallSpec, mixedLoad, func(c *cluster, _ *workload) { freeze(c.follower(), 6*time.Second) }},
	{"engine killed", smallSpec, mixedLoad, func(c *cluster, _ *workload) { restart(c, c.engines[0], time.Second) }},
	{"all engines killed under long streams", smallSpec, load{callers: 12, orders: 2, maxTokens: 300}, func(c *cluster, _ *workload) {
		for _, n := range c.engines {
			n.kill()
		}
		for _, n := range c.engines {
			c.launch(n)
		}
		pause(time.Second)
	}},
	{"engine frozen", smallSpec, mixedLoad, func(c *cluster, _ *workload) { freeze(c.engines[0], 6*time.Second) }},
	{"disordered answers", smallSpec, mixedLoad, func(c *cluster, _ *workload) {
		for i, fault := range []string{"repeat", "drop", "reorder", "late"} {
			c.injectFault(c.engines[i], standin.Fault{Name: fault, Fraction: 0.2, DurationMS: 4000, DelayMS: 500})
		}
		pause(4 * time.Second)
	}},
	{"crossed answers", smallSpec, mixedLoad, func(c *cluster, _ *workload) {
		c.injectFault(c.engines[0], standin.Fault{Name: "crossed", Fraction: 0.5, DurationMS: 4000})
		c.injectFault(c.engines[1], standin.Fault{Name: "crossed", DurationMS: 2000})
		pause(4 * time.Second)
	}},
	{"engine reclaimed", smallSpec, mixedLoad, func(c *cluster, _ *workload) {
		c.post(c.engines[0], "/v1/reclaim", map[string]int{"deadline_ms": 1500})
		pause(4 * time.Second)
	}},
	{"service dies around a run", smallSpec, mixedLoad, func(c *cluster, _ *workload) {
		for _, fault := range []string{"die_before", "die_after"} {
			n := c.services[0]
			c.injectFault(n, standin.Fault{Name: fault})
			<-n.exited
			pause(300 * time.Millisecond)
			c.launch(n)
			pause(1500 * time.Millisecond)
		}
	}},
	{"services answer late and refuse", smallSpec, mixedLoad, func(c *cluster, _ *workload) {
		c.injectFault(c.services[0], standin.Fault{Name: "late", Fraction: 0.3, DelayMS: 4000, DurationMS: 4000})
		c.injectFault(c.services[1], standin.Fault{Name: "refuse", Fraction: 0.5, DurationMS: 4000})
		pause(4 * time.Second)
	}},
	{"entry cut off from control and entries", linkedSpec, mixedLoad, func(c *cluster, _ *workload) {
		c.setEntryLinks(c.entries[1], rule{holdRequests: true, holdResponses: true})
		pause(5 * time.Second)
		c.setEntryLinks(c.entries[1], rule{reset: true})
		c.setEntryLinks(c.entries[1], rule{})
	}},
	// The control replicas receive the entry's requests, but their responses are held.
	{"control gets from an entry but cannot answer", linkedSpec, mixedLoad, func(c *cluster, _ *workload) {
		for _, n := range c.controls {
			n.link.setRule(c.entries[1].name, rule{holdResponses: true})
		}
		pause(5 * time.Second)
		for _, n := range c.controls {
			n.link.setRule(c.entries[1].name, rule{})
		}
	}},
	// The leader receives requests, but its responses are held. Requests that it sends
	// are not affected.
	{"leader hears but is not heard", linkedSpec, mixedLoad, func(c *cluster, _ *workload) {
		leader := c.leader()
		leader.link.setRule(allClients, rule{holdResponses: true})
		pause(5 * time.Second)
		leader.link.setRule(allClients, rule{})
	}},
	// The requests that the leader sends to the other replicas are held. Requests to the
	// leader are not affected.
	{"leader cut off by half of the links", linkedSpec, mixedLoad, func(c *cluster, _ *workload) {
		leader := c.leader()
		for _, n := range c.controls {
			if n != leader {
				n.link.setRule(leader.name, rule{holdRequests: true, holdResponses: true})
			}
		}
		pause(5 * time.Second)
		for _, n := range c.controls {
			n.link.setRule(leader.name, rule{})
		}
	}},
	{"leader cut off from the other replicas", linkedSpec, mixedLoad, func(c *cluster, _ *workload) {
		leader := c.leader()
		c.setControlLinks(leader, rule{holdRequests: true, holdResponses: true})
		pause(6 * time.Second)
		c.setControlLinks(leader, rule{})
	}},
	{"links of engines stall and reset", linkedSpec, mixedLoad, func(c *cluster, _ *workload) {
		c.engines[0].link.setRule(allClients, rule{holdResponses: true})
		c.engines[1].link.setRule(allClients, rule{holdRequests: true})
		c.services[0].link.setRule(allClients, rule{holdResponses: true})
		for range 6 {
			c.engines[2].link.setRule(allClients, rule{reset: true})
			pause(100 * time.Millisecond)
			c.engines[2].link.setRule(allClients, rule{delay: 20 * time.Millisecond})
			pause(500 * time.Millisecond)
		}
		for _, n := range []*node{c.engines[0], c.engines[1], c.engines[2], c.services[0]} {
			n.link.setRule(allClients, rule{})
		}
	}},
	{"entry and leader killed", smallSpec, mixedLoad, func(c *cluster, _ *workload) {
		leader := c.leader()
		leader.kill()
		restart(c, c.entries[0], 500*time.Millisecond)
		pause(time.Second)
		c.launch(leader)
	}},
	{"engine killed while the leader is frozen", smallSpec, mixedLoad, func(c *cluster, _ *workload) {
		leader := c.leader()
		leader.signal(syscall.SIGSTOP)
		restart(c, c.engines[1], time.Second)
		pause(4 * time.Second)
		leader.signal(syscall.SIGCONT)
	}},
	{"entry and service killed", smallSpec, mixedLoad, func(c *cluster, _ *workload) {
		for i := range 3 {
			c.services[i%2].kill()
			restart(c, c.entries[i], 200*time.Millisecond)
			c.launch(c.services[i%2])
			pause(time.Second)
		}
	}},
	{"entry frozen and leader killed", smallSpec, mixedLoad, func(c *cluster, _ *workload) {
		e := c.entries[2]
		e.signal(syscall.SIGSTOP)
		restart(c, c.leader(), 2*time.Second)
		pause(3 * time.Second)
		e.signal(syscall.SIGCONT)
	}},
	{"crossed answers and entry killed", smallSpec, mixedLoad, func(c *cluster, _ *workload) {
		c.injectFault(c.engines[0], standin.Fault{Name: "crossed", Fraction: 0.5, DurationMS: 5000})
		c.injectFault(c.engines[1], standin.Fault{Name: "drop", Fraction: 0.2, DurationMS: 5000})
		restart(c, c.entries[0], 500*time.Millisecond)
		pause(2 * time.Second)
	}},
	{"two entries killed", smallSpec, mixedLoad, func(c *cluster, _ *workload) {
		c.entries[0].kill()
		restart(c, c.entries[1], time.Second)
		c.launch(c.entries[0])
	}},
	{"engine reclaimed and engine killed", smallSpec, mixedLoad, func(c *cluster, _ *workload) {
		c.post(c.engines[0], "/v1/reclaim", map[string]int{"deadline_ms": 1000})
		restart(c, c.engines[1], 2*time.Second)
		pause(time.Second)
	}},
}

// Guards against a violation of the guarantees under single faults and pairs of faults.
func TestFaults(t *testing.T) {
	for i := range scenarios {
		t.Run(scenarios[i].name, scenarios[i].test)
	}
}

var coldStarts = []scenario{
	{"engines start cold", coldSpec, load{callers: 16, orders: 1}, func(c *cluster, _ *workload) {
		restart(c, c.engines[0], 500*time.Millisecond)
		pause(2 * time.Second)
	}},
	// entries[0] owns engine-a2. The owner of engines[0], engine-a1, is entries[2], which
	// keeps running.
	{"engine starts cold while its owner is killed", coldSpec, load{callers: 16}, func(c *cluster, _ *workload) {
		c.engines[0].kill()
		c.entries[0].kill()
		c.launch(c.engines[0])
		pause(3 * time.Second)
		c.launch(c.entries[0])
	}},
	{"entry frozen while engines are cold", coldSpec, load{callers: 16}, func(c *cluster, _ *workload) {
		freeze(c.entries[0], 5*time.Second)
	}},
	{"engine turns cold silently", coldSpec, mixedLoad, func(c *cluster, _ *workload) {
		pause(2 * time.Second)
		c.injectFault(c.engines[0], standin.Fault{Name: "cold"})
		pause(6 * time.Second)
	}},
	{"entry frozen and engine cold silently", coldSpec, mixedLoad, func(c *cluster, _ *workload) {
		c.injectFault(c.engines[0], standin.Fault{Name: "cold"})
		freeze(c.entries[0], 6*time.Second)
	}},
}

// Guards against a cold engine that gets more generations from all entries together
// than it can run. A warm engine that turns cold without announcing it may exceed the
// limit for at most 2 s.
func TestColdStart(t *testing.T) {
	for i := range coldStarts {
		t.Run(coldStarts[i].name, coldStarts[i].test)
	}
}
