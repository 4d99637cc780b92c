package journal

import (
	"crypto/rand"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// IdentityName is the name of the identity file, which exists in every folder
// with data.
const IdentityName = "identity"

// AuxiliaryPrefix begins the names of files that other parts of the process keep in the
// folder. The journal ignores them, except that Recover removes them.
const AuxiliaryPrefix = "aux-"

const (
	temporarySuffix = ".tmp"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
)

// DefaultSegmentSize is the size in bytes at which a new segment is started.
const DefaultSegmentSize = 4 << 20

// Options are the options of Open.
type Options struct {
	Host serving.HostID
	// Incarnation is stored in a folder without data; empty means a random one.
	Incarnation string
	// Initial is stored as the first snapshot of a folder without data.
	Initial *ledger.Snapshot
	// SegmentSize is in bytes; 0 means DefaultSegmentSize.
	SegmentSize int
}

// Journal is the open storage of one replica. It is not safe for concurrent use.
// file is the last segment, open for appending. After a failed write, failed holds
// the error that every further write returns.
type Journal struct {
	disk          Disk
	self          serving.ReplicaID
	segmentSize   int
	unlock        func() error
	hard          ledger.HardState
	snapshotIndex ledger.Index
	segments      []segment
	file          File
	failed        error
	created       bool
	discarded     int
}

// segment is one file of the log. size is the size of its intact frames in bytes,
// and last the highest index stored in it.
type segment struct {
	number uint64
	size   int
	last   ledger.Index
}

func segmentName(n uint64) string            { return fmt.Sprintf("%s%016x", segmentPrefix, n) }
func snapshotName(index ledger.Index) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// fileNumbers returns the numbers in the names of the files with the given
// prefix, in ascending order.
func fileNumbers(names []string, prefix string) (out []uint64, err error) {
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, prefix)
		if !ok || strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		n, err := strconv.ParseUint(digits, 16, 64)
		if err != nil || len(digits) != 16 {
			return nil, damaged("unexpected file " + name + " in the data folder")
		}
		out = append(out, n)
	}
	slices.Sort(out)
	return out, nil
}

func damaged(message string) error { return serving.NewError(serving.KindDamaged, message) }

// Open locks the folder, verifies its contents and loads them. It discards an
// incomplete last frame and returns an error for any other damage. All that it returns
// is durable.
func Open(disk Disk, opts Options) (*Journal, ledger.PersistentState, error) {
	unlock, err := disk.Lock()
	if err != nil {
		return nil, ledger.PersistentState{}, err
	}
	j := &Journal{disk: disk, segmentSize: opts.SegmentSize, unlock: unlock}
	if j.segmentSize == 0 {
		j.segmentSize = DefaultSegmentSize
	}
	state, err := j.open(opts)
	if err != nil {
		_ = unlock()
		return nil, ledger.PersistentState{}, err
	}
	return j, state, nil
}

func (j *Journal) open(opts Options) (ledger.PersistentState, error) {
	if err := j.loadOrCreateIdentity(opts); err != nil {
		return ledger.PersistentState{}, err
	}
	c, err := load(j.disk)
	if err != nil {
		return ledger.PersistentState{}, err
	}
	j.discarded = c.tornBytes
	j.hard, j.segments, j.snapshotIndex = c.state.Hard, c.segments, c.state.Snapshot.Index
	if err := j.rewriteLastSegment(c.lastFrames); err != nil {
		return ledger.PersistentState{}, err
	}
	return c.state, j.roll()
}

// rewriteLastSegment makes the frames that were read from the last segment durable. The
// process before may have ended between the write and the sync of a frame, or its sync
// may have failed. A sync of the same file would not help after a failed one, because
// the operating system may have dropped the data and marked its pages as written.
// Earlier segments are durable, because each was the last one when the next was created.
func (j *Journal) rewriteLastSegment(frames []byte) error {
	if len(frames) == 0 {
		// roll creates an empty last segment anew, under the same number.
		j.segments = j.segments[:max(len(j.segments)-1, 0)]
		return nil
	}
	return writeFile(j.disk, segmentName(j.segments[len(j.segments)-1].number), frames)
}

// Self returns the identity stored in the folder.
func (j *Journal) Self() serving.ReplicaID { return j.self }

// Created reports whether Open found a folder without data.
func (j *Journal) Created() bool { return j.created }

// DiscardedBytes returns the size of the incomplete frame that Open discarded, 0 if
// there was none.
func (j *Journal) DiscardedBytes() int { return j.discarded }

// Segments returns the number of segments.
func (j *Journal) Segments() int { return len(j.segments) }

// loadOrCreateIdentity reads the identity, or creates it in a folder without data.
func (j *Journal) loadOrCreateIdentity(opts Options) error {
	names, err := j.disk.Names()
	if err != nil {
		return serving.WrapError(err, serving.KindStorage, "list data folder")
	}
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := j.disk.Remove(name); err != nil {
			return serving.WrapError(err, serving.KindStorage, "remove temporary file")
		}
	}
	names = slices.DeleteFunc(names, func(n string) bool {
		return strings.HasSuffix(n, temporarySuffix) || strings.HasPrefix(n, AuxiliaryPrefix)
	})
	if slices.Contains(names, IdentityName) {
		if j.self, err = readIdentity(j.disk); err != nil {
			return err
		}
		if opts.Host != "" && j.self.Host != opts.Host {
			return serving.NewError(serving.KindInvalid, "the data folder belongs to host "+string(j.self.Host)+", not "+string(opts.Host))
		}
		// The process before may have ended between a rename and the sync of the folder.
		if err := j.disk.SyncFolder(); err != nil {
			return serving.WrapError(err, serving.KindStorage, "sync data folder")
		}
		return nil
	}
	// The initial snapshot is written before the identity. A folder with only a
	// snapshot at index 1 was left by a crash in between and is treated as one
	// without data. A crash during Restore can leave a snapshot at a later index,
	// which is refused here.
	if slices.ContainsFunc(names, func(n string) bool { return n != snapshotName(1) }) {
		return damaged("the data folder has data but no identity")
	}
	j.created = true
	j.self = newIdentity(opts.Host)
	if opts.Incarnation != "" {
		j.self.Incarnation = opts.Incarnation
	}
	if opts.Initial != nil {
		if err := writeFile(j.disk, snapshotName(opts.Initial.Index), encodeSnapshot(*opts.Initial)); err != nil {
			return err
		}
	} else if err := j.disk.Remove(snapshotName(1)); err != nil && slices.Contains(names, snapshotName(1)) {
		return serving.WrapError(err, serving.KindStorage, "remove unused snapshot")
	}
	return writeIdentity(j.disk, j.self)
}

func newIdentity(host serving.HostID) serving.ReplicaID {
	return serving.ReplicaID{Host: host, Incarnation: strings.ToLower(rand.Text()[:16])}
}

func readIdentity(disk Disk) (serving.ReplicaID, error) {
	b, err := disk.Read(IdentityName)
	if err != nil {
		return serving.ReplicaID{}, serving.WrapError(err, serving.KindStorage, "read identity")
	}
	payload, _, ok := readFrame(b)
	if !ok {
		return serving.ReplicaID{}, damaged("the identity file's checksum does not match")
	}
	return serving.ParseReplicaID(string(payload))
}

func writeIdentity(disk Disk, id serving.ReplicaID) error {
	return writeFile(disk, IdentityName, appendFrame(nil, []byte(id.String())))
}

// writeFile replaces a file atomically and durably.
func writeFile(disk Disk, name string, data []byte) error {
	wrap := func(err error) error { return serving.WrapError(err, serving.KindStorage, "write "+name) }
	f, err := disk.Create(name + temporarySuffix)
	if err != nil {
		return wrap(err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = disk.Rename(name+temporarySuffix, name)
	}
	if err == nil {
		err = disk.SyncFolder()
	}
	if err != nil {
		return wrap(err)
	}
	return nil
}

// roll starts a new segment. Its first frame repeats the hard state, so that older
// segments can be removed.
func (j *Journal) roll() error {
	if j.file != nil {
		_ = j.file.Close()
	}
	var n uint64 = 1
	if len(j.segments) > 0 {
		n = j.segments[len(j.segments)-1].number + 1
	}
	f, err := j.disk.Create(segmentName(n))
	if err != nil {
		return j.fail(err, "create segment")
	}
	j.file = f
	j.segments = append(j.segments, segment{number: n})
	if err := j.write(appendHard(nil, j.hard)); err != nil {
		return err
	}
	if err := j.disk.SyncFolder(); err != nil {
		return j.fail(err, "sync data folder")
	}
	return nil
}

func (j *Journal) write(payload []byte) error {
	frame := appendFrame(nil, payload)
	if _, err := j.file.Write(frame); err != nil {
		return j.fail(err, "write log")
	}
	if err := j.file.Sync(); err != nil {
		return j.fail(err, "sync log")
	}
	j.segments[len(j.segments)-1].size += len(frame)
	return nil
}

func (j *Journal) fail(err error, message string) error {
	j.failed = serving.WrapError(err, serving.KindStorage, message)
	return j.failed
}

// Save makes the hard state, entries and snapshot of rd durable. After an error
// every further call fails.
func (j *Journal) Save(rd ledger.Ready) error {
	if j.failed != nil {
		return j.failed
	}
	if rd.Snapshot != nil {
		if err := writeFile(j.disk, snapshotName(rd.Snapshot.Index), encodeSnapshot(*rd.Snapshot)); err != nil {
			return j.fail(err, "write snapshot")
		}
		j.snapshotIndex = rd.Snapshot.Index
	}
	if err := j.saveLog(rd); err != nil {
		return err
	}
	if rd.Snapshot != nil {
		return j.removeObsoleteFiles()
	}
	return nil
}

func (j *Journal) saveLog(rd ledger.Ready) error {
	if rd.Hard == nil && len(rd.Entries) == 0 {
		return nil
	}
	if rd.Hard != nil {
		j.hard = *rd.Hard
	}
	if j.segments[len(j.segments)-1].size >= j.segmentSize {
		if err := j.roll(); err != nil {
			return err
		}
	}
	payload := appendHard(nil, j.hard)
	for _, e := range rd.Entries {
		payload = appendEntry(payload, e)
	}
	if err := j.write(payload); err != nil {
		return err
	}
	current := &j.segments[len(j.segments)-1]
	for _, e := range rd.Entries {
		current.last = max(current.last, e.Index)
	}
	return nil
}

// removeObsoleteFiles removes older snapshots and the segments that only contain
// entries up to the newest snapshot. The oldest segment is removed first, so that
// the remaining ones have no gap.
func (j *Journal) removeObsoleteFiles() error {
	names, err := j.disk.Names()
	if err != nil {
		return j.fail(err, "list data folder")
	}
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && name < snapshotName(j.snapshotIndex) {
			if err := j.removeFile(name); err != nil {
				return err
			}
		}
	}
	for len(j.segments) > 1 && j.segments[0].last <= j.snapshotIndex {
		if err := j.removeFile(segmentName(j.segments[0].number)); err != nil {
			return err
		}
		j.segments = j.segments[1:]
	}
	return nil
}

// removeFile removes a file durably. Without a sync after each removal, a power
// loss could undo the removal of one segment and not that of a later one, which
// would leave a gap.
func (j *Journal) removeFile(name string) error {
	if err := j.disk.Remove(name); err != nil {
		return j.fail(err, "remove "+name)
	}
	if err := j.disk.SyncFolder(); err != nil {
		return j.fail(err, "sync data folder")
	}
	return nil
}

// Close closes the files and releases the lock.
func (j *Journal) Close() error {
	if j.file != nil {
		_ = j.file.Close()
		j.file = nil
	}
	if j.failed == nil {
		j.failed = serving.NewError(serving.KindStorage, "the journal is closed")
	}
	return j.unlock()
}
