package journal_test

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/journal"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

func entries(term ledger.Term, from, to ledger.Index) (out []ledger.Entry) {
	for i := from; i <= to; i++ {
		out = append(out, ledger.Entry{Index: i, Term: term, Data: []byte{byte(i), byte(term)}})
	}
	return out
}

func open(t *testing.T, d journal.Disk) (*journal.Journal, ledger.PersistentState) {
	t.Helper()
	j, state, err := journal.Open(d, journal.Options{Host: "leon-1", SegmentSize: 128})
	assert.NilError(t, err)
	return j, state
}

func save(t *testing.T, j *journal.Journal, rd ledger.Ready) {
	t.Helper()
	assert.NilError(t, j.Save(rd))
}

// Guards against a journal on a real file system that loses state when it is
// closed and opened again, or that can be open twice.
func TestFolderKeepsState(t *testing.T) {
	d, err := journal.OpenFolder(t.TempDir() + "/data")
	assert.NilError(t, err)
	j, _ := open(t, d)
	self := j.Self()
	_, _, err = journal.Open(d, journal.Options{Host: "leon-1"})
	assert.Equal(t, serving.KindOf(err), serving.KindConflict)
	save(t, j, ledger.Ready{Hard: &ledger.HardState{Term: 3, Vote: self}, Entries: entries(3, 1, 40)})
	save(t, j, ledger.Ready{Entries: entries(3, 30, 35)})
	save(t, j, ledger.Ready{Snapshot: &ledger.Snapshot{Index: 20, Term: 3, Data: []byte("state")}})
	assert.NilError(t, j.Close())
	j, state := open(t, d)
	assert.Equal(t, j.Self(), self)
	assert.DeepEqual(t, state.Entries, entries(3, 21, 35))
	assert.Equal(t, state.Hard, ledger.HardState{Term: 3, Vote: self})
	assert.Equal(t, string(state.Snapshot.Data), "state")
	assert.NilError(t, j.Close())
}

// Guards against the loss of synced entries in a crash, and against unsynced bytes
// that prevent the journal from being opened.
func TestCrashKeepsSyncedEntries(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		d := journal.NewMemoryDisk()
		j, _ := open(t, d)
		self := j.Self()
		var want ledger.Index
		for range 1 + random.IntN(20) {
			n := want + ledger.Index(1+random.IntN(5))
			save(t, j, ledger.Ready{Entries: entries(1, want+1, n)})
			want = n
			if random.IntN(6) == 0 {
				save(t, j, ledger.Ready{Snapshot: &ledger.Snapshot{Index: want - 1, Term: 1}})
			}
		}
		d.FailSyncs = true
		assert.Equal(t, serving.KindOf(j.Save(ledger.Ready{Entries: entries(1, want+1, want+3)})), serving.KindStorage)
		d.FailSyncs = false
		assert.Equal(t, serving.KindOf(j.Save(ledger.Ready{Entries: entries(1, want+1, want+1)})), serving.KindStorage, "write after failed sync")
		d.Crash(random)
		j, state := open(t, d)
		assert.Equal(t, j.Self(), self)
		got := state.Snapshot.Index + ledger.Index(len(state.Entries))
		assert.Assert(t, got == want || got == want+3, "seed %d: last index %d, want %d, or 3 more if the unsynced entries survived", seed, got, want)
		d.Crash(random)
		_, reopened := open(t, d)
		assert.DeepEqual(t, reopened, state)
	}
}

// Guards against damage in synced data that is treated as an incomplete last frame
// and truncated.
func TestDamageIsRefused(t *testing.T) {
	sample := journal.NewMemoryDisk()
	fill := func(d *journal.MemoryDisk) {
		j, _ := open(t, d)
		for i := ledger.Index(1); i <= 9; i++ {
			save(t, j, ledger.Ready{Entries: entries(1, i, i)})
		}
		save(t, j, ledger.Ready{Snapshot: &ledger.Snapshot{Index: 2, Term: 1, Data: []byte("state")}})
		assert.NilError(t, j.Close())
	}
	fill(sample)
	names, _ := sample.Names()
	refused := 0
	for i, name := range names {
		b, _ := sample.Read(name)
		// In the last segment only the first frame, of 25 bytes, is corrupted. No intact
		// frame follows the segment's last frame, so damage to that frame looks like a crash.
		limit := len(b)
		if i == len(names)-2 {
			assert.Assert(t, strings.HasPrefix(name, "log-"))
			limit = 25
		}
		for offset := range limit {
			d := journal.NewMemoryDisk()
			fill(d)
			d.Corrupt(name, offset)
			_, _, err := journal.Open(d, journal.Options{Host: "leon-1"})
			assert.Equal(t, serving.KindOf(err), serving.KindDamaged, "%s offset %d", name, offset)
			refused++
		}
	}
	assert.Assert(t, refused > 300)
}

// Guards against a full disk that is not reported or that damages stored entries.
func TestFullDisk(t *testing.T) {
	d := journal.NewMemoryDisk()
	j, _ := open(t, d)
	save(t, j, ledger.Ready{Entries: entries(1, 1, 3)})
	d.Capacity = 1
	assert.ErrorIs(t, j.Save(ledger.Ready{Entries: entries(1, 4, 4)}), journal.ErrDiskFull)
	d.Capacity = 0
	d.Crash(rand.New(rand.NewPCG(1, 1)))
	_, state := open(t, d)
	assert.DeepEqual(t, state.Entries, entries(1, 1, 3))
}

// Guards against entries of a replaced log that reappear at the next start. This
// can happen when an installed snapshot replaces conflicting entries and some of
// the segments that contain them are removed.
func TestInstalledSnapshotReplacesConflictingLog(t *testing.T) {
	for last := ledger.Index(5); last < 40; last++ {
		d := journal.NewMemoryDisk()
		j, _ := open(t, d)
		for i := ledger.Index(1); i <= last; i++ {
			save(t, j, ledger.Ready{Hard: &ledger.HardState{Term: 5}, Entries: entries(5, i, i)})
		}
		save(t, j, ledger.Ready{Hard: &ledger.HardState{Term: 7}, Snapshot: &ledger.Snapshot{Index: 20, Term: 7}, Install: true})
		assert.NilError(t, j.Close())
		j, state := open(t, d)
		assert.Equal(t, len(state.Entries), 0)
		save(t, j, ledger.Ready{Entries: entries(7, 21, 22)})
		assert.NilError(t, j.Close())
		_, state = open(t, d)
		assert.DeepEqual(t, state.Entries, entries(7, 21, 22))
	}
}

// Guards against a backup or a recovery that loses state, or that reuses an
// identity that may already have voted.
func TestBackupRestoreRecover(t *testing.T) {
	d := journal.NewMemoryDisk()
	j, _ := open(t, d)
	save(t, j, ledger.Ready{Hard: &ledger.HardState{Term: 4}, Entries: entries(4, 1, 9)})
	save(t, j, ledger.Ready{Snapshot: &ledger.Snapshot{Index: 6, Term: 4, Data: []byte("state")}})
	self := j.Self()
	var backup bytes.Buffer
	index, err := journal.Backup(d, &backup)
	assert.NilError(t, err)
	assert.Equal(t, index, ledger.Index(6))
	assert.NilError(t, j.Close())

	restored := journal.NewMemoryDisk()
	_, err = journal.Restore(restored, "leon-2", "http://leon-2", bytes.NewReader(backup.Bytes()[:backup.Len()-1]))
	assert.Equal(t, serving.KindOf(err), serving.KindDamaged)
	report, err := journal.Restore(restored, "leon-2", "http://leon-2", &backup)
	assert.NilError(t, err)
	assert.Equal(t, report.LastIndex, ledger.Index(6))
	inspected, err := journal.Inspect(restored)
	assert.NilError(t, err)
	assert.Equal(t, inspected.Membership.Members[0].ID, inspected.Self)

	before, err := journal.Recover(d, "http://leon-1")
	assert.NilError(t, err)
	assert.Equal(t, before.Self, self)
	after, err := journal.Inspect(d)
	assert.NilError(t, err)
	assert.Assert(t, after.Self != self && after.Term > before.Term && after.LastIndex == 10)
	assert.Assert(t, after.Membership.IsVoter(after.Self) && !after.Membership.IsVoter(self))
}

// Guards against a data folder that is refused because of a file that another part of the
// process keeps in it, and against such a file that outlives a recovery, whose state it
// contradicts.
func TestAuxiliaryFiles(t *testing.T) {
	d, err := journal.OpenFolder(t.TempDir() + "/data")
	assert.NilError(t, err)
	write := func() {
		f, err := d.Create(journal.AuxiliaryPrefix + "notes")
		assert.NilError(t, err)
		assert.NilError(t, f.Close())
	}
	write()
	j, _ := open(t, d)
	save(t, j, ledger.Ready{Hard: &ledger.HardState{Term: 3}, Entries: entries(3, 1, 2)})
	assert.NilError(t, j.Close())
	_, err = d.Read(journal.AuxiliaryPrefix + "notes")
	assert.NilError(t, err)
	_, err = journal.Recover(d, "http://10.0.0.1:80")
	assert.NilError(t, err)
	_, err = d.Read(journal.AuxiliaryPrefix + "notes")
	assert.Assert(t, err != nil)
}
