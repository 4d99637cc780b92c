package ledger_test

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

const (
	faultsEnd = 7 * time.Second
	// settleTime is the virtual time in which a healed cluster must agree again.
	settleTime = 20 * time.Second
)

// runSchedule runs one seeded schedule of calls and faults and returns the
// violation that it found, or nil.
func runSchedule(seed uint64, fault string) (stats map[string]int, found error) {
	c := newCluster(seed, fault)
	return c.verify(seed, func() {
		for i := range 6 {
			c.history.client(i, faultsEnd+2*time.Second)
		}
		c.plan(seed)
		c.runUntil(faultsEnd, nil)
	})
}

// verify runs the faults of a schedule, heals the cluster and checks everything.
func (c *cluster) verify(seed uint64, run func()) (stats map[string]int, found error) {
	defer func() {
		stats = c.stats
		switch r := recover().(type) {
		case nil:
		case violation:
			found = fmt.Errorf("seed %d: %s", seed, r)
		default:
			panic(fmt.Sprintf("seed %d: %v", seed, r))
		}
	}()
	run()
	c.heal()
	c.runUntil(c.now+2*time.Second, nil)
	if !c.runUntil(c.now+settleTime, c.agreed) {
		c.fail("the healed cluster does not agree on everything committed up to %d", c.last)
	}
	c.checkLogs()
	switch c.history.check() {
	case porcupine.Illegal:
		c.fail("the history of %d calls is not linearizable", len(c.history.ops))
	case porcupine.Unknown:
		c.fail("the history could not be checked in time")
	}
	c.stats["committed"] += int(c.last)
	return c.stats, nil
}

// agreed tells whether a leader can read and every voter has applied everything.
func (c *cluster) agreed() bool {
	reads, agree := false, 0
	for _, h := range c.hosts {
		if !c.membership.IsVoter(h.id) {
			continue
		}
		if h.applied == c.last {
			agree++
		}
		if _, err := h.replica.ReadIndex(h.clock()); err == nil {
			reads = true
		}
	}
	return reads && agree == c.initialVoters && !c.membership.Joint()
}

// checkLogs checks that logs with an equal entry are equal up to it.
func (c *cluster) checkLogs() {
	for _, a := range c.hosts {
		for _, b := range c.hosts[:a.n] {
			at := map[ledger.Index]ledger.Entry{}
			for _, e := range a.replica.Entries() {
				at[e.Index] = e
			}
			differs := false
			for _, e := range b.replica.Entries() {
				other, ok := at[e.Index]
				equal := ok && other.Term == e.Term && string(other.Data) == string(e.Data)
				if ok && equal && differs {
					c.fail("the logs of hosts %d and %d agree at %d, but not before", a.n, b.n, e.Index)
				}
				differs = differs || ok && !equal
			}
		}
	}
}

func (c *cluster) heal() {
	clear(c.cut)
	c.loss, c.spikes = 0, 0
	for _, h := range c.hosts {
		h.disk.Capacity, h.crashOnSave = 0, false
		h.wake()
		h.restart()
	}
}

// victim returns the host of a leader in half of the cases.
func (c *cluster) victim() *host {
	if c.random.IntN(2) == 0 {
		for _, h := range c.hosts {
			if h.up && h.replica.Status().Role == ledger.Leader {
				return h
			}
		}
	}
	return c.hosts[c.random.IntN(len(c.hosts))]
}

// nextFault injects a fault and plans the next one. Faults overlap.
func (c *cluster) nextFault() {
	if c.now >= faultsEnd {
		return
	}
	c.after(c.between(50*time.Millisecond, 900*time.Millisecond), c.nextFault)
	h := c.victim()
	d := c.between(50*time.Millisecond, 1800*time.Millisecond)
	switch c.random.IntN(9) {
	case 0:
		c.stats["crashes"]++
		h.crash()
		c.after(d, h.restart)
	case 1:
		c.stats["torn"]++
		h.crashOnSave = true
		c.after(d, h.restart)
	case 2, 3:
		c.stats["freezes"]++
		h.frozen = h.up
		c.after(d, h.wake)
	case 4:
		c.stats["cuts"]++
		c.cutLinks(d, [2]int{h.n, c.random.IntN(len(c.hosts))})
	case 5:
		c.stats["isolations"]++
		way := c.random.IntN(3)
		for n := range c.hosts {
			if way != 0 {
				c.cutLinks(d, [2]int{h.n, n})
			}
			if way != 1 {
				c.cutLinks(d, [2]int{n, h.n})
			}
		}
	case 6:
		c.wipe(h, d)
	case 7:
		c.stats["full_disks"]++
		h.disk.Capacity = 1
		c.after(d, func() { h.disk.Capacity = 0; h.restart() })
	case 8:
		c.stats["partitions"]++
		for a := range c.hosts {
			for b := range c.hosts {
				if c.random.IntN(3) == 0 {
					c.cutLinks(d, [2]int{a, b})
				}
			}
		}
	}
}

func (c *cluster) cutLinks(d time.Duration, link [2]int) {
	c.cut[link] = true
	c.after(d, func() { delete(c.cut, link) })
}

// wipe loses a host's disk, unless the disks of a minority are lost already.
func (c *cluster) wipe(h *host, d time.Duration) bool {
	lost := 1
	for _, other := range c.hosts {
		if other != h && !c.membership.IsVoter(other.id) {
			lost++
		}
	}
	if c.membership.Joint() || lost > (len(c.hosts)-1)/2 || !c.membership.IsVoter(h.id) {
		return false
	}
	c.stats["wipes"]++
	h.crash()
	h.wipes++
	h.disk = newDisk(c.fault)
	// No identity until the next start.
	h.id.Incarnation = "none"
	c.after(d, h.restart)
	return true
}

// operate is an operator who replaces wiped hosts, and loses the next host's
// disk soon after a repair.
func (c *cluster) operate() {
	c.after(c.between(50*time.Millisecond, 200*time.Millisecond), c.operate)
	for _, leader := range c.hosts {
		if !leader.up || leader.frozen || leader.replica.Status().Role != ledger.Leader {
			continue
		}
		for _, h := range c.hosts {
			if h.up {
				c.repair(leader, h)
			}
		}
	}
}

func (c *cluster) repair(leader, h *host) {
	s := leader.replica.Status()
	member, ok := s.Membership.Find(h.id)
	if member.Voter {
		return
	}
	change := ledger.MemberChange{Action: ledger.AddLearner, Replica: h.id, Address: fmt.Sprint(h.n)}
	if ok {
		change.Action = ledger.Replace
		for _, m := range s.Membership.Members {
			if m.Voter && m.ID.Host == h.id.Host {
				change.Old = m.ID
			}
		}
	}
	leader.do(func() {
		if _, _, err := leader.replica.ProposeMembers(leader.clock(), change); err == nil && ok {
			c.stats["replacements"]++
			c.loseNext(h.id.Incarnation, h, 100)
		}
	})
}

// loseNext wipes another host as soon as the replacement is committed.
func (c *cluster) loseNext(incarnation string, repaired *host, tries int) {
	if tries == 0 || c.now >= faultsEnd {
		return
	}
	c.after(2*time.Millisecond, func() {
		if c.membership.Joint() || !c.membership.IsVoter(identity(repaired.n, incarnation)) {
			c.loseNext(incarnation, repaired, tries-1)
			return
		}
		next := c.victim()
		if next != repaired && c.random.IntN(2) == 0 && c.wipe(next, c.between(50*time.Millisecond, time.Second)) {
			c.stats["second_losses"]++
		}
	})
}

func (h *host) crash() {
	if !h.up {
		return
	}
	h.up = false
	h.abandon()
	h.disk.Crash(h.c.random)
}

func (h *host) wake() {
	if !h.up || !h.frozen {
		return
	}
	h.frozen = false
	waiting := h.waiting
	h.waiting = nil
	if h.c.random.IntN(2) == 0 {
		h.do(func() { h.replica.Tick(h.clock()) })
	}
	for _, input := range waiting {
		h.do(input)
	}
}
