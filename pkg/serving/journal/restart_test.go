package journal_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving/journal"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// Guards against entries that a restarted process has read from the page cache and
// acknowledged, and that a later power loss takes or leaves torn inside the log.
func TestRestartMakesLogDurable(t *testing.T) {
	for _, tc := range []struct {
		name string
		// stop ends the process while it writes rd.
		stop func(t *testing.T, d *journal.MemoryDisk, j *journal.Journal, rd ledger.Ready)
	}{
		{"killed before the sync", func(_ *testing.T, d *journal.MemoryDisk, j *journal.Journal, rd ledger.Ready) {
			d.FailSyncs = true
			_ = j.Save(rd)
			d.FailSyncs = false
			d.Kill()
		}},
		{"reopened after a failed sync", func(t *testing.T, d *journal.MemoryDisk, j *journal.Journal, rd ledger.Ready) {
			d.FailSyncs = true
			assert.ErrorIs(t, j.Save(rd), journal.ErrSyncFailed)
			d.FailSyncs = false
			assert.NilError(t, j.Close())
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(100) {
				random := rand.New(rand.NewPCG(seed, 2))
				d := journal.NewMemoryDisk()
				j, _ := open(t, d)
				save(t, j, ledger.Ready{Entries: entries(1, 1, 3)})
				tc.stop(t, d, j, ledger.Ready{Entries: entries(1, 4, 6)})
				j, state := open(t, d)
				last := ledger.Index(len(state.Entries))
				if random.IntN(2) == 0 {
					last++
					save(t, j, ledger.Ready{Entries: entries(1, last, last)})
				}
				d.Crash(random)
				_, state, err := journal.Open(d, journal.Options{Host: "leon-1"})
				assert.NilError(t, err, "seed %d", seed)
				assert.Equal(t, ledger.Index(len(state.Entries)), last, "seed %d", seed)
			}
		})
	}
}

// Guards against a data folder that is refused for good because a power loss lost the
// name of one of the segments that were created while the disk was full.
func TestPowerLossAfterRestartsOnFullDisk(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		d := journal.NewMemoryDisk()
		j, _ := open(t, d)
		save(t, j, ledger.Ready{Entries: entries(1, 1, 3)})
		d.Capacity = 1
		assert.ErrorIs(t, j.Save(ledger.Ready{Entries: entries(1, 4, 4)}), journal.ErrDiskFull)
		assert.NilError(t, j.Close())
		for range 4 {
			_, _, err := journal.Open(d, journal.Options{Host: "leon-1"})
			assert.ErrorIs(t, err, journal.ErrDiskFull)
		}
		if random.IntN(2) == 0 {
			d.Capacity = 0
			j, _ = open(t, d)
			save(t, j, ledger.Ready{Entries: entries(1, 4, 4)})
		}
		d.Crash(random)
		d.Capacity = 0
		_, state, err := journal.Open(d, journal.Options{Host: "leon-1"})
		assert.NilError(t, err, "seed %d", seed)
		assert.Assert(t, len(state.Entries) >= 3, fmt.Sprintf("seed %d: %d entries", seed, len(state.Entries)))
	}
}

// Guards against a disk that fills up with empty segments while a replica tries at an
// interval to reopen its data folder on a full disk.
func TestRestartsOnFullDiskAddNoSegments(t *testing.T) {
	d := journal.NewMemoryDisk()
	j, _ := open(t, d)
	save(t, j, ledger.Ready{Entries: entries(1, 1, 6)})
	// The segment has its full size, so the next frame needs a new one.
	d.Capacity = 1
	assert.ErrorIs(t, j.Save(ledger.Ready{Entries: entries(1, 7, 7)}), journal.ErrDiskFull)
	assert.NilError(t, j.Close())
	before, _ := d.Names()
	for range 100 {
		_, _, err := journal.Open(d, journal.Options{Host: "leon-1"})
		assert.ErrorIs(t, err, journal.ErrDiskFull)
	}
	after, _ := d.Names()
	assert.Equal(t, len(after), len(before))
	d.Capacity = 0
	_, state := open(t, d)
	assert.DeepEqual(t, state.Entries, entries(1, 1, 6))
}
