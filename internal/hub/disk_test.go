package hub

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving/journal"
)

// diskFaults are the simulated faults of one disk. The zero value has none.
type diskFaults struct {
	mu sync.Mutex
	// syncDelay is the additional duration of each sync.
	syncDelay time.Duration
	// full makes each write fail with journal.ErrDiskFull.
	full bool
	// stalled blocks syncs until it is closed. If it is nil, syncs aren't blocked.
	stalled chan struct{}
}

func (f *diskFaults) set(change func(*diskFaults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *diskFaults) clear() {
	f.set(func(f *diskFaults) {
		if f.stalled != nil {
			close(f.stalled)
		}
		f.syncDelay, f.full, f.stalled = 0, false, nil
	})
}

func (f *diskFaults) delaySync() {
	f.mu.Lock()
	syncDelay, stalled := f.syncDelay, f.stalled
	f.mu.Unlock()
	time.Sleep(syncDelay)
	if stalled != nil {
		<-stalled
	}
}

func (f *diskFaults) writeError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.full {
		return journal.ErrDiskFull
	}
	return nil
}

func (f *diskFaults) open(folder string) (journal.Disk, error) {
	d, err := journal.OpenFolder(folder)
	return &faultyDisk{Disk: d, faults: f}, err
}

type faultyDisk struct {
	journal.Disk
	faults *diskFaults
}

// Create implements journal.Disk.
func (d *faultyDisk) Create(name string) (journal.File, error) {
	if err := d.faults.writeError(); err != nil {
		return nil, err
	}
	f, err := d.Disk.Create(name)
	if err != nil {
		return nil, err
	}
	return &faultyFile{File: f, faults: d.faults}, nil
}

// SyncFolder implements journal.Disk.
func (d *faultyDisk) SyncFolder() error {
	d.faults.delaySync()
	return d.Disk.SyncFolder()
}

type faultyFile struct {
	journal.File
	faults *diskFaults
}

// Write implements journal.File.
func (f *faultyFile) Write(b []byte) (int, error) {
	if err := f.faults.writeError(); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

// Sync implements journal.File.
func (f *faultyFile) Sync() error {
	f.faults.delaySync()
	return f.File.Sync()
}

// leader returns the index of the leader.
func (c *testHubs) leader() int {
	c.t.Helper()
	found := -1
	eventually(c.t, func() error {
		for i, h := range c.hubs {
			if h.replica.current().State().Leading {
				found = i
				return nil
			}
		}
		return fmt.Errorf("no hub leads")
	})
	return found
}

// expectVoters returns an error unless the leader knows a number of voters.
func (c *testHubs) expectVoters(n int) error {
	return c.onLeader(func(h *Hub) error {
		if got := voters(h); got != n {
			return fmt.Errorf("%d voters instead of %d", got, n)
		}
		return nil
	})
}

// expectEverywhere waits until every hub has published a configuration version.
func (c *testHubs) expectEverywhere(version uint64) {
	c.t.Helper()
	for _, h := range c.hubs {
		eventually(c.t, func() error {
			if got := h.State().GetConfig().GetVersion(); got != version {
				return fmt.Errorf("hub %s has version %d", h.Host, got)
			}
			return nil
		})
	}
}

// Guards against changes that are refused or lost while a minority of the disks, with
// or without the leader's, is slow, stalled or full. Acknowledged changes must reach
// every hub afterwards.
func TestChangesDespiteFaultyDisks(t *testing.T) {
	for _, tc := range []struct {
		name string
		// faulty lists the hubs with a faulty disk, as offsets from the leader.
		faulty []int
		fault  func(*diskFaults)
	}{
		{"slow disk of the leader", []int{0}, func(f *diskFaults) { f.syncDelay = 300 * time.Millisecond }},
		{"slow disks of two others", []int{1, 2}, func(f *diskFaults) { f.syncDelay = 300 * time.Millisecond }},
		{"stalled disk of the leader", []int{0}, func(f *diskFaults) { f.stalled = make(chan struct{}) }},
		{"stalled disks of two", []int{0, 1}, func(f *diskFaults) { f.stalled = make(chan struct{}) }},
		{"full disk of the leader", []int{0}, func(f *diskFaults) { f.full = true }},
		{"full disks of two", []int{0, 1}, func(f *diskFaults) { f.full = true }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := startHubs(t)
			c.put(1)
			// Two disks can fail only once there are five voters. A hub that has run for
			// votersTimeout accepts changes with fewer.
			eventually(t, func() error { return c.expectVoters(len(c.hubs)) })
			first := c.leader()
			for _, n := range tc.faulty {
				f := &c.disks[(first+n)%len(c.hubs)]
				f.set(tc.fault)
				t.Cleanup(f.clear)
			}
			c.put(2)
			c.expectConfig(2)
			for i := range c.disks {
				c.disks[i].clear()
			}
			c.expectEverywhere(2)
			c.put(3)
			c.expectEverywhere(3)
		})
	}
}

// Guards against a change that is acknowledged although the disks of a majority are
// full, and against hubs that don't accept it once there is space again.
func TestNoChangeWhileMostDisksAreFull(t *testing.T) {
	t.Parallel()
	c := startHubs(t)
	c.put(1)
	for i := range 3 {
		c.disks[i].set(func(f *diskFaults) { f.full = true })
		t.Cleanup(c.disks[i].clear)
	}
	for range 5 {
		err := c.onLeader(func(h *Hub) error { return h.PutConfig(t.Context(), 2, []byte("document 2")) })
		assert.Assert(t, err != nil, "acknowledged with three full disks of five")
	}
	for i := range c.disks {
		c.disks[i].clear()
	}
	c.put(2)
	c.expectEverywhere(2)
}

// Load pattern: changes are sent all the while, and the disk of each hub in turn is full
// for longer than a replica waits before it reopens its folder, never two at once. Guards
// against changes that are refused or not answered after all disks have space again.
func TestChangesAfterDisksWereFullInTurn(t *testing.T) {
	t.Parallel()
	c := startHubs(t)
	version := uint64(1)
	c.put(version)
	eventually(t, func() error { return c.expectVoters(len(c.hubs)) })
	for range 2 {
		for i := range c.disks {
			f := &c.disks[(c.leader()+i)%len(c.disks)]
			t.Cleanup(f.clear)
			f.set(func(f *diskFaults) { f.full = true })
			for end := time.Now().Add(reopenPause + 200*time.Millisecond); time.Now().Before(end); {
				version++
				c.put(version)
			}
			f.clear()
			c.expectEverywhere(version)
		}
	}
	for range 3 {
		version++
		c.put(version)
		c.expectEverywhere(version)
	}
}

// Load pattern: two operators send versions at the same time, each version twice,
// while one of the hubs is restarted. Guards against a lower version or other content
// of the same version that replaces the highest acknowledged one.
func TestConcurrentChanges(t *testing.T) {
	t.Parallel()
	const versions = 60
	c := startHubs(t)
	c.put(1)
	acked := make([]uint64, 2)
	var g sync.WaitGroup
	for operator := range acked {
		g.Go(func() {
			for v := uint64(2 + operator); v <= versions; v += 2 {
				for range 2 {
					// Operators resend unacknowledged versions, and also acknowledged ones.
					err := c.onLeader(func(h *Hub) error { return h.PutConfig(t.Context(), v, []byte(fmt.Sprint("document ", v))) })
					if err == nil {
						acked[operator] = v
					}
				}
			}
		})
	}
	restarted := (c.leader() + 1) % len(c.hubs)
	c.hubs[restarted].stop()
	c.hubs[restarted] = c.start(restarted, c.hubs[restarted].folder, false)
	g.Wait()
	highest := max(acked[0], acked[1])
	assert.Assert(t, highest > 1, "nothing was acknowledged")
	c.put(versions + 1)
	c.expectConfig(versions + 1)
	c.expectEverywhere(versions + 1)
	// Versions that are not higher are acknowledged, but change nothing.
	for _, v := range []uint64{highest, versions + 1} {
		eventually(t, func() error {
			return c.onLeader(func(h *Hub) error { return h.PutConfig(t.Context(), v, []byte("other content")) })
		})
	}
	c.expectConfig(versions + 1)
}
