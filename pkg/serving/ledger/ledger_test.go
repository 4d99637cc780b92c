package ledger_test

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving/journal"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

func newDisk(defect string) *journal.MemoryDisk {
	d := journal.NewMemoryDisk()
	d.IgnoreSyncs = defect == "vote_without_sync"
	return d
}

// scheduleCount returns n, or the value of LEDGER_SCHEDULES if it is set.
func scheduleCount(n int) uint64 {
	if v, err := strconv.Atoi(os.Getenv("LEDGER_SCHEDULES")); err == nil {
		n = v
	}
	return uint64(n)
}

// runSchedules runs n schedules with seeds from first on in at most 3 goroutines. It
// returns the sum of the statistics and the violation with the lowest seed.
func runSchedules(first, n uint64, defect string, stopAtFirst bool) (map[string]int, error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var found error
	foundSeed := first + n
	total := map[string]int{}
	next := first
	for range min(3, runtime.NumCPU()) {
		wg.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				stop := seed >= first+n || stopAtFirst && seed > foundSeed
				mu.Unlock()
				if stop {
					return
				}
				stats, err := runSchedule(seed, defect)
				mu.Lock()
				if err != nil && seed < foundSeed {
					found, foundSeed = err, seed
				}
				for k, v := range stats {
					total[k] += v
				}
				total["schedules"]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return total, found
}

// Guards against two leaders in a term, lost or changed committed entries, reads
// that miss an acknowledged write, overlapping membership changes, the loss of
// changes when a second host loses its disk after the first one was replaced, and data
// folders that a killed process and a later power loss leave unreadable or incomplete.
// LEDGER_SEED selects a single schedule to repeat, and LEDGER_FAULT the name of a
// defect to inject into it.
func TestSchedules(t *testing.T) {
	if seed, err := strconv.ParseUint(os.Getenv("LEDGER_SEED"), 10, 64); err == nil {
		stats, err := runSchedule(seed, os.Getenv("LEDGER_FAULT"))
		t.Log(stats)
		assert.NilError(t, err)
		return
	}
	stats, err := runSchedules(1, scheduleCount(2500), "", true)
	t.Log(fmt.Sprint(stats))
	assert.NilError(t, err)
	for _, k := range []string{"crashes", "kills", "torn", "freezes", "cuts", "isolations", "wipes", "full_disks", "replacements", "second_losses", "installs", "reads"} {
		assert.Assert(t, stats[k] > 0, "no schedule had %s", k)
	}
}

// Guards against checks that cannot fail. The schedules of TestSchedules must detect
// each of these injected defects.
func TestSchedulesDetectDefects(t *testing.T) {
	for _, defect := range []string{"vote_without_sync", "lease_ignored", "lease_from_acknowledgement",
		"lease_from_before_resume", "old_incarnation",
		"commit_any_term", "vote_after_contact", "skip_joint"} {
		t.Run(defect, func(t *testing.T) {
			stats, err := runSchedules(1, 1500, defect, true)
			assert.Assert(t, err != nil, "not detected in %d schedules", stats["schedules"])
			t.Logf("detected after %d schedules: %v", stats["schedules"], err)
		})
	}
}

// Guards against two disjoint quorums, one of the old and one of the new voters, when
// a running voter is replaced. The defect that skips joint configurations must be
// detected by its effect, since the check of membership transitions is disabled here.
func TestReplaceRunningVoter(t *testing.T) {
	for _, defect := range []string{"", "skip_joint"} {
		detected, replaced := 0, 0
		for seed := range uint64(100) {
			c := newCluster(seed, defect)
			c.loss, c.spikes, c.skipTransitionCheck = 0, 0, true
			stats, err := c.verify(seed, c.replaceRunningVoter)
			replaced += stats[string(ledger.Replace)]
			if err != nil {
				detected++
			}
			if defect == "" {
				assert.NilError(t, err)
			}
		}
		assert.Assert(t, replaced > 50, "only %d replacements were proposed", replaced)
		assert.Equal(t, detected > 0, defect != "")
		t.Logf("defect %q detected in %d of 100 schedules", defect, detected)
	}
}
