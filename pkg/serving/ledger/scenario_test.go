package ledger_test

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// scheduleFaults schedules the faults of a seed. Half of the seeds have random
// faults, and the others have one of two scenarios that random faults rarely
// produce.
func (c *cluster) scheduleFaults(seed uint64) {
	switch seed % 4 {
	case 0, 1:
		c.onElected = c.disturbElection
		c.after(time.Second, c.nextFault)
		c.after(time.Second, c.replaceWipedHosts)
	case 2:
		c.onElected = c.isolateOldLeader
		c.after(time.Second, c.deposeLeader)
	case 3:
		c.cfg.MaxBatch = 1
		c.onElected = c.interruptLeader
	}
}

// replaceRunningVoter replaces a running voter with a spare host while a partition
// separates the leader and the spare host from all other hosts. Without a joint
// configuration, both sides of a cluster with three voters would have a quorum.
func (c *cluster) replaceRunningVoter() {
	spare := c.addHost(1)
	c.onElected = func(*host) {}
	var leader *host
	c.runUntil(c.now+5*time.Second, func() bool {
		for _, h := range c.hosts {
			if _, err := h.replica.ReadIndex(h.clock()); err == nil {
				leader = h
			}
		}
		return leader != nil
	})
	if leader == nil {
		c.fail("no leader without faults")
	}
	propose := func(change ledger.MemberChange) {
		leader.process(func() {
			if _, _, err := leader.replica.ProposeMembers(leader.clock(), change); err == nil {
				c.stats[string(change.Action)]++
			}
		})
	}
	propose(ledger.MemberChange{Action: ledger.AddLearner, Replica: spare.id, Address: "spare"})
	c.runUntil(c.now+time.Second, nil)
	for _, a := range []*host{leader, spare} {
		for n, b := range c.hosts {
			if b != leader && b != spare {
				c.cutLinks(3*time.Second, [2]int{a.n, n})
				c.cutLinks(3*time.Second, [2]int{n, a.n})
			}
		}
	}
	old := c.hosts[(leader.n+1)%c.initialVoters]
	propose(ledger.MemberChange{Action: ledger.Replace, Replica: spare.id, Old: old.id})
	for i := range 6 {
		c.history.client(i, c.now+3*time.Second)
	}
	c.runUntil(c.now+3*time.Second, nil)
}

// disturbElection partitions and crashes a new leader shortly after its election, in
// schedules with churn, so that its entries are stored on few hosts.
func (c *cluster) disturbElection(h *host) {
	if c.random.Float64() >= c.churn {
		return
	}
	c.stats["disturbed_elections"]++
	for n := range c.hosts {
		if n != h.n && c.random.IntN(2) == 0 {
			c.cutLinks(c.between(time.Millisecond, 200*time.Millisecond), [2]int{h.n, n})
		}
	}
	c.crashAfter(h, c.between(0, 60*time.Millisecond))
	c.after(c.between(100*time.Millisecond, 1500*time.Millisecond), h.restart)
}

func (c *cluster) crashAfter(h *host, d time.Duration) {
	boot := h.boot
	c.after(d, func() {
		if h.boot == boot && c.now < faultsEnd {
			h.crash()
		}
	})
}

func (h *host) restart() {
	if !h.up {
		h.start()
	}
}

// deposeLeader partitions the leader from all followers but one, or freezes it while
// acknowledgements of its last heartbeat are in flight.
func (c *cluster) deposeLeader() {
	if c.now >= faultsEnd {
		return
	}
	c.after(c.between(1800*time.Millisecond, 2500*time.Millisecond), c.deposeLeader)
	for _, h := range c.hosts {
		if h.frozen || h.replica.Status().Role != ledger.Leader {
			continue
		}
		c.stats["deposed_leaders"]++
		if c.random.IntN(2) == 0 {
			h.freezeAfterHeartbeat = c.between(600*time.Millisecond, 950*time.Millisecond)
			return
		}
		c.history.noWritesUntil = c.now + 1700*time.Millisecond
		connected := (h.n + 1 + c.random.IntN(len(c.hosts)-1)) % len(c.hosts)
		c.after(100*time.Millisecond, func() {
			for n := range c.hosts {
				if n != connected {
					c.cutLinks(1600*time.Millisecond, [2]int{h.n, n})
					c.cutLinks(1600*time.Millisecond, [2]int{n, h.n})
				}
			}
		})
		return
	}
}

// isolateOldLeader partitions an earlier leader that has not stepped down, so that
// it does not learn of the election, and directs writes to the new leader.
func (c *cluster) isolateOldLeader(elected *host) {
	c.history.leader, c.history.noWritesUntil = elected.n, 0
	for _, h := range c.hosts {
		if h != elected && h.replica.Status().Role == ledger.Leader {
			for n := range c.hosts {
				c.cutLinks(700*time.Millisecond, [2]int{n, h.n})
			}
		}
	}
}

// interruptLeader crashes three leaders in turn. The first one has entries that no
// other host stores. The second one has only its empty first entry, which no other
// host stores. If the first host is then elected again, it crashes while it
// replicates its old entries, and the second host can then replace them.
func (c *cluster) interruptLeader(h *host) {
	step := c.elections % 3
	c.elections++
	c.stats["interrupted_leaders"]++
	isolate := func(d time.Duration) {
		for n := range c.hosts {
			c.cutLinks(d, [2]int{h.n, n})
		}
	}
	c.history.leader = h.n
	for _, other := range c.hosts {
		if other != h {
			other.restart()
		}
	}
	switch step {
	case 0:
		c.after(300*time.Millisecond, func() { isolate(150 * time.Millisecond) })
		c.crashAfter(h, 400*time.Millisecond)
	case 1:
		isolate(50 * time.Millisecond)
		c.crashAfter(h, c.between(5*time.Millisecond, 40*time.Millisecond))
	case 2:
		c.crashAfter(h, c.between(10*time.Millisecond, 60*time.Millisecond))
	}
}
