package e2e

import (
	"syscall"
	"testing"
	"time"

	"turmericdrum.org/turmericdrum/internal/standin"
)

// small is the fleet of most scenarios: 12 processes over two data centres.
var small = spec{entries: 3, engines: 4, services: 2}

// linked has a proxy in front of each process.
var linked = spec{entries: 3, engines: 4, services: 2, links: true}

// cold has engines that are cold for long enough to be overloaded.
var cold = spec{entries: 3, engines: 4, services: 2, coldFor: 5 * time.Second}

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
	{"all engines killed under long streams", small, load{callers: 12, orders: 2, length: 300}, func(c *cluster, _ *workload) {
		for _, n := range c.engines {
			n.kill()
		}
		for _, n := range c.engines {
			c.launch(n)
		}
		pause(time.Second)
	}},
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
	{"engine reclaimed", small, mixed, func(c *cluster, _ *workload) {
		c.post(c.engines[0], "/v1/reclaim", map[string]int{"deadline_ms": 1500})
		pause(4 * time.Second)
	}},
	{"service dies around a run", small, mixed, func(c *cluster, _ *workload) {
		for _, fault := range []string{"die_before", "die_after"} {
			n := c.services[0]
			c.fault(n, standin.Fault{Fault: fault})
			<-n.exited
			pause(300 * time.Millisecond)
			c.launch(n)
			pause(1500 * time.Millisecond)
		}
	}},
	{"services answer late and refuse", small, mixed, func(c *cluster, _ *workload) {
		c.fault(c.services[0], standin.Fault{Fault: "late", Fraction: 0.3, DelayMS: 4000, DurationMS: 4000})
		c.fault(c.services[1], standin.Fault{Fault: "refuse", Fraction: 0.5, DurationMS: 4000})
		pause(4 * time.Second)
	}},
	{"entry cut off from control and entries", linked, mixed, func(c *cluster, _ *workload) {
		c.isolate(c.entries[1], rule{holdUp: true, holdDown: true})
		pause(5 * time.Second)
		c.isolate(c.entries[1], rule{reset: true})
		c.isolate(c.entries[1], rule{})
	}},
	{"control gets from an entry but cannot answer", linked, mixed, func(c *cluster, _ *workload) {
		for _, n := range c.controls {
			n.link.set(c.entries[1].name, rule{holdDown: true})
		}
		pause(5 * time.Second)
		for _, n := range c.controls {
			n.link.set(c.entries[1].name, rule{})
		}
	}},
	{"leader hears but is not heard", linked, mixed, func(c *cluster, _ *workload) {
		leader := c.leader()
		leader.link.set(everyone, rule{holdDown: true})
		pause(5 * time.Second)
		leader.link.set(everyone, rule{})
	}},
	{"leader cut off by half of the links", linked, mixed, func(c *cluster, _ *workload) {
		leader := c.leader()
		for _, n := range c.controls {
			if n != leader {
				n.link.set(leader.name, rule{holdUp: true, holdDown: true})
			}
		}
		pause(5 * time.Second)
		for _, n := range c.controls {
			n.link.set(leader.name, rule{})
		}
	}},
	{"leader cut off from the other replicas", linked, mixed, func(c *cluster, _ *workload) {
		leader := c.leader()
		c.cutControl(leader, rule{holdUp: true, holdDown: true})
		pause(6 * time.Second)
		c.cutControl(leader, rule{})
	}},
	{"links of engines stall and reset", linked, mixed, func(c *cluster, _ *workload) {
		c.engines[0].link.set(everyone, rule{holdDown: true})
		c.engines[1].link.set(everyone, rule{holdUp: true})
		c.services[0].link.set(everyone, rule{holdDown: true})
		for range 6 {
			c.engines[2].link.set(everyone, rule{reset: true})
			pause(100 * time.Millisecond)
			c.engines[2].link.set(everyone, rule{delay: 20 * time.Millisecond})
			pause(500 * time.Millisecond)
		}
		for _, n := range []*node{c.engines[0], c.engines[1], c.engines[2], c.services[0]} {
			n.link.set(everyone, rule{})
		}
	}},
	{"entry and leader killed", small, mixed, func(c *cluster, _ *workload) {
		leader := c.leader()
		leader.kill()
		restart(c, c.entries[0], 500*time.Millisecond)
		pause(time.Second)
		c.launch(leader)
	}},
	{"engine killed while the leader is frozen", small, mixed, func(c *cluster, _ *workload) {
		leader := c.leader()
		leader.signal(syscall.SIGSTOP)
		restart(c, c.engines[1], time.Second)
		pause(4 * time.Second)
		leader.signal(syscall.SIGCONT)
	}},
	{"entry and service killed", small, mixed, func(c *cluster, _ *workload) {
		for i := range 3 {
			c.services[i%2].kill()
			restart(c, c.entries[i], 200*time.Millisecond)
			c.launch(c.services[i%2])
			pause(time.Second)
		}
	}},
	{"entry frozen and leader killed", small, mixed, func(c *cluster, _ *workload) {
		e := c.entries[2]
		e.signal(syscall.SIGSTOP)
		restart(c, c.leader(), 2*time.Second)
		pause(3 * time.Second)
		e.signal(syscall.SIGCONT)
	}},
	{"crossed answers and entry killed", small, mixed, func(c *cluster, _ *workload) {
		c.fault(c.engines[0], standin.Fault{Fault: "crossed", Fraction: 0.5, DurationMS: 5000})
		c.fault(c.engines[1], standin.Fault{Fault: "drop", Fraction: 0.2, DurationMS: 5000})
		restart(c, c.entries[0], 500*time.Millisecond)
		pause(2 * time.Second)
	}},
	{"two entries killed", small, mixed, func(c *cluster, _ *workload) {
		c.entries[0].kill()
		restart(c, c.entries[1], time.Second)
		c.launch(c.entries[0])
	}},
	{"engine reclaimed and engine killed", small, mixed, func(c *cluster, _ *workload) {
		c.post(c.engines[0], "/v1/reclaim", map[string]int{"deadline_ms": 1000})
		restart(c, c.engines[1], 2*time.Second)
		pause(time.Second)
	}},
}

// Guards against faults, alone and in pairs, that break one of the guarantees.
func TestFaults(t *testing.T) {
	for i := range scenarios {
		t.Run(scenarios[i].name, scenarios[i].test)
	}
}

var coldStarts = []scenario{
	{"engines start cold", cold, load{callers: 16, orders: 1}, func(c *cluster, _ *workload) {
		restart(c, c.engines[0], 500*time.Millisecond)
		pause(2 * time.Second)
	}},
	{"engine starts cold while its owner is killed", cold, load{callers: 16}, func(c *cluster, _ *workload) {
		c.engines[0].kill()
		c.entries[0].kill()
		c.launch(c.engines[0])
		pause(3 * time.Second)
		c.launch(c.entries[0])
	}},
	{"entry frozen while engines are cold", cold, load{callers: 16}, func(c *cluster, _ *workload) {
		freeze(c.entries[0], 5*time.Second)
	}},
	{"engine turns cold silently", cold, mixed, func(c *cluster, _ *workload) {
		pause(2 * time.Second)
		c.fault(c.engines[0], standin.Fault{Fault: "cold"})
		pause(6 * time.Second)
	}},
	{"entry frozen and engine cold silently", cold, mixed, func(c *cluster, _ *workload) {
		c.fault(c.engines[0], standin.Fault{Fault: "cold"})
		freeze(c.entries[0], 6*time.Second)
	}},
}

// Guards against an engine in cold start that is given more than it carries, over
// all entries together, and against a warm one that turned cold without saying so
// and is given more later than 2 s after that.
func TestColdStart(t *testing.T) {
	for i := range coldStarts {
		t.Run(coldStarts[i].name, coldStarts[i].test)
	}
}
