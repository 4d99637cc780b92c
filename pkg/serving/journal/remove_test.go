package journal_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving/journal"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// removalDisk counts the removals of segments between two syncs of the folder.
type removalDisk struct {
	*journal.MemoryDisk
	unsynced    int
	maxUnsynced int
	removed     int
}

func (d *removalDisk) Remove(name string) error {
	if strings.HasPrefix(name, "log-") {
		d.removed++
		d.unsynced++
		d.maxUnsynced = max(d.maxUnsynced, d.unsynced)
	}
	return d.MemoryDisk.Remove(name)
}

func (d *removalDisk) SyncFolder() error {
	d.unsynced = 0
	return d.MemoryDisk.SyncFolder()
}

// Guards against several segments being removed between two syncs of the folder. A
// power loss can undo each unsynced removal independently. If it undid only the
// first of two, the segments would have a gap, which the next start refuses as
// damage.
func TestSegmentsAreRemovedOneByOne(t *testing.T) {
	disk := &removalDisk{MemoryDisk: journal.NewMemoryDisk()}
	j, _, err := journal.Open(disk, journal.Options{Host: "h", SegmentSize: 100})
	assert.NilError(t, err)
	for i := ledger.Index(1); i <= 10; i++ {
		assert.NilError(t, j.Save(ledger.Ready{Entries: []ledger.Entry{{Index: i, Term: 1, Data: make([]byte, 60)}}}))
	}
	assert.NilError(t, j.Save(ledger.Ready{Snapshot: &ledger.Snapshot{Index: 9, Term: 1}}))
	assert.Assert(t, disk.removed > 1)
	assert.Equal(t, disk.maxUnsynced, 1)
}
