package ledger_test

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

const (
	faultsEnd = 7 * time.Second
	// convergenceTimeout is the virtual time within which a cluster must converge
	// after all faults have ended.
	convergenceTimeout = 20 * time.Second
)

// runSchedule runs one seeded schedule of calls and faults. It returns the violation
// that it detected, or nil.
func runSchedule(seed uint64, defect string) (stats map[string]int, found error) {
	c := newCluster(seed, defect)
	return c.verify(seed, func() {
		for i := range 6 {
			c.history.client(i, faultsEnd+2*time.Second)
		}
		c.scheduleFaults(seed)
		c.runUntil(faultsEnd, nil)
	})
}

// verify runs a schedule, ends all faults, and checks that the cluster converges, that
// the logs are consistent and that the history is linearizable.
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
	if !c.runUntil(c.now+convergenceTimeout, c.converged) {
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

// converged reports whether a leader can serve reads and every voter has applied all
// committed entries.
func (c *cluster) converged() bool {
	reads, upToDate := false, 0
	for _, h := range c.hosts {
		if !c.membership.IsVoter(h.id) {
			continue
		}
		if h.applied == c.last {
			upToDate++
		}
		if _, err := h.replica.ReadIndex(h.clock()); err == nil {
			reads = true
		}
	}
	return reads && upToDate == c.initialVoters && !c.membership.Joint()
}

// checkLogs checks that two logs with an equal entry at an index are equal up to it.
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
		h.resume()
		h.restart()
	}
}

// faultTarget returns a leader's host in half of the cases and a random host otherwise.
func (c *cluster) faultTarget() *host {
	if c.random.IntN(2) == 0 {
		for _, h := range c.hosts {
			if h.up && h.replica.Status().Role == ledger.Leader {
				return h
			}
		}
	}
	return c.hosts[c.random.IntN(len(c.hosts))]
}

// nextFault injects a fault and schedules the next one. Faults can overlap.
func (c *cluster) nextFault() {
	if c.now >= faultsEnd {
		return
	}
	c.after(c.between(50*time.Millisecond, 900*time.Millisecond), c.nextFault)
	h := c.faultTarget()
	d := c.between(50*time.Millisecond, 1800*time.Millisecond)
	switch c.random.IntN(9) {
	case 0:
		c.stats["crashes"]++
		h.stop()
		c.after(d, h.restart)
	case 1:
		c.stats["torn"]++
		h.crashOnSave = true
		c.after(d, h.restart)
	case 2, 3:
		c.stats["freezes"]++
		h.frozen = h.up
		c.after(d, h.resume)
	case 4:
		c.stats["cuts"]++
		c.cutLinks(d, [2]int{h.n, c.random.IntN(len(c.hosts))})
	case 5:
		c.stats["isolations"]++
		direction := c.random.IntN(3)
		for n := range c.hosts {
			if direction != 0 {
				c.cutLinks(d, [2]int{h.n, n})
			}
			if direction != 1 {
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

// wipe erases a host's disk and reports whether it did so. It leaves the disk as it is
// if half of the hosts or more would then lack their data, if the host is not a voter,
// or during a change of the voters.
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
	h.disk = newDisk(c.defect)
	// The host has no valid identity until the next start creates one.
	h.id.Incarnation = "none"
	c.after(d, h.restart)
	return true
}

// replaceWipedHosts simulates an operator who replaces the identities of wiped hosts.
// After a replacement another host may lose its disk.
func (c *cluster) replaceWipedHosts() {
	c.after(c.between(50*time.Millisecond, 200*time.Millisecond), c.replaceWipedHosts)
	for _, leader := range c.hosts {
		if !leader.up || leader.frozen || leader.replica.Status().Role != ledger.Leader {
			continue
		}
		for _, h := range c.hosts {
			if h.up {
				c.replaceWipedHost(leader, h)
			}
		}
	}
}

func (c *cluster) replaceWipedHost(leader, h *host) {
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
	leader.process(func() {
		if _, _, err := leader.replica.ProposeMembers(leader.clock(), change); err == nil && ok {
			c.stats["replacements"]++
			c.wipeAfterReplacement(h.id.Incarnation, h, 100)
		}
	})
}

// wipeAfterReplacement wipes another host, in about half of the cases, as soon as the
// replacement is committed.
func (c *cluster) wipeAfterReplacement(incarnation string, replaced *host, tries int) {
	if tries == 0 || c.now >= faultsEnd {
		return
	}
	c.after(2*time.Millisecond, func() {
		if c.membership.Joint() || !c.membership.IsVoter(identity(replaced.n, incarnation)) {
			c.wipeAfterReplacement(incarnation, replaced, tries-1)
			return
		}
		next := c.faultTarget()
		if next != replaced && c.random.IntN(2) == 0 && c.wipe(next, c.between(50*time.Millisecond, time.Second)) {
			c.stats["second_losses"]++
		}
	})
}

func (h *host) crash() {
	if !h.up {
		return
	}
	h.up = false
	h.abortCalls()
	h.disk.Crash(h.c.random)
}

// kill ends the process. The disk keeps what was written, synced or not.
func (h *host) kill() {
	if !h.up {
		return
	}
	h.c.stats["kills"]++
	h.up = false
	h.abortCalls()
	h.disk.Kill()
}

// stop kills the process in half of the cases, and cuts the host's power otherwise.
func (h *host) stop() {
	if h.c.random.IntN(2) == 0 {
		h.kill()
		return
	}
	h.crash()
}

func (h *host) resume() {
	if !h.up || !h.frozen {
		return
	}
	h.frozen = false
	pendingInputs := h.pendingInputs
	h.pendingInputs = nil
	if h.c.random.IntN(2) == 0 {
		h.process(func() { h.replica.Tick(h.clock()) })
	}
	for _, input := range pendingInputs {
		h.process(input)
	}
}
