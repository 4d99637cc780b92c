package journal

import (
	"io"
	"strings"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// Report describes the contents of a data folder.
type Report struct {
	Self          serving.ReplicaID
	Term          ledger.Term
	Vote          serving.ReplicaID
	SnapshotIndex ledger.Index
	SnapshotTerm  ledger.Term
	SnapshotBytes int
	LastIndex     ledger.Index
	LastTerm      ledger.Term
	Segments      int
	// Torn is set if the last frame is incomplete, as it can be after a crash.
	Torn bool
	// Membership is the newest one stored, which may not be committed.
	Membership ledger.Membership
}

// Inspect reads a folder without changing it. The folder must not be in use. For
// damage that Open would refuse, Inspect returns an error of kind damaged.
func Inspect(disk Disk) (Report, error) {
	unlock, err := disk.Lock()
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = unlock() }()
	self, err := readIdentity(disk)
	if err != nil {
		return Report{}, err
	}
	c, err := load(disk)
	if err != nil {
		return Report{}, err
	}
	return report(self, c)
}

func report(self serving.ReplicaID, c folderContent) (Report, error) {
	s := c.state.Snapshot
	r := Report{Self: self, Term: c.state.Hard.Term, Vote: c.state.Hard.Vote, SnapshotIndex: s.Index, SnapshotTerm: s.Term,
		SnapshotBytes: len(s.Data), LastIndex: s.Index, LastTerm: s.Term, Segments: len(c.segments), Torn: c.torn, Membership: s.Membership}
	for _, e := range c.state.Entries {
		r.LastIndex, r.LastTerm = e.Index, e.Term
		if e.Type != ledger.EntryMembers {
			continue
		}
		m, err := ledger.DecodeMembership(e.Data)
		if err != nil {
			return r, err
		}
		r.Membership = m
	}
	return r, nil
}

// Backup writes the newest snapshot of a folder to w, with its checksum, and
// returns its index. Entries after the snapshot are not part of the backup.
// Since snapshots are replaced atomically, the folder may be in use.
func Backup(disk Disk, w io.Writer) (ledger.Index, error) {
	names, err := disk.Names()
	if err != nil {
		return 0, serving.WrapError(err, serving.KindStorage, "list data folder")
	}
	snapshots, err := fileNumbers(names, snapshotPrefix)
	if err != nil {
		return 0, err
	}
	if len(snapshots) == 0 {
		return 0, serving.NewError(serving.KindNotFound, "the data folder has no snapshot yet")
	}
	s, err := readSnapshot(disk, ledger.Index(snapshots[len(snapshots)-1]))
	if err != nil {
		return 0, err
	}
	if _, err := w.Write(encodeSnapshot(s)); err != nil {
		return 0, serving.WrapError(err, serving.KindStorage, "write backup")
	}
	return s.Index, nil
}

// Restore initializes an empty folder from a backup. The restored replica is a new
// incarnation of host and the only voter. Further replicas can then be added as
// learners.
func Restore(disk Disk, host serving.HostID, address string, r io.Reader) (Report, error) {
	b, err := io.ReadAll(r)
	if err != nil {
		return Report{}, serving.WrapError(err, serving.KindStorage, "read backup")
	}
	s, err := decodeSnapshot(b)
	if err != nil {
		return Report{}, err
	}
	names, err := disk.Names()
	if err != nil {
		return Report{}, serving.WrapError(err, serving.KindStorage, "list data folder")
	}
	if len(names) > 0 {
		return Report{}, serving.NewError(serving.KindConflict, "the data folder to restore into is not empty")
	}
	self := newIdentity(host)
	s.Membership = ledger.Membership{Members: []ledger.Member{{ID: self, Address: address, Voter: true}}}
	j, state, err := Open(disk, Options{Host: host, Incarnation: self.Incarnation, Initial: &s})
	if err != nil {
		return Report{}, err
	}
	// The restored replica must not reuse the snapshot's term, in which the lost
	// cluster wrote entries. It may reuse later terms of that cluster, which the
	// backup does not contain.
	err = j.Save(ledger.Ready{Hard: &ledger.HardState{Term: s.Term + 1}})
	if closeErr := j.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return Report{}, err
	}
	state.Hard.Term = s.Term + 1
	return report(self, folderContent{state: state, segments: j.segments})
}

// Recover makes the replica in a folder the only voter, under a new incarnation,
// after the majority is permanently lost. It returns the contents before the
// change. Changes that only the other replicas stored are lost, and entries after
// the snapshot that had not been committed may become committed. The folders of
// all other replicas must be wiped before they start again.
func Recover(disk Disk, address string) (Report, error) {
	before, err := Inspect(disk)
	if err != nil {
		return Report{}, err
	}
	if err := removeAuxiliary(disk); err != nil {
		return before, err
	}
	j, _, err := Open(disk, Options{Host: before.Self.Host})
	if err != nil {
		return before, err
	}
	self := newIdentity(before.Self.Host)
	soleVoter := ledger.Membership{Members: []ledger.Member{{ID: self, Address: address, Voter: true}}}
	term := before.Term + 1
	err = j.Save(ledger.Ready{
		Hard:    &ledger.HardState{Term: term},
		Entries: []ledger.Entry{{Index: before.LastIndex + 1, Term: term, Type: ledger.EntryMembers, Data: soleVoter.Encode()}},
	})
	// After a crash here the stored identity is not a voter, and Recover can be
	// repeated.
	if err == nil {
		err = writeIdentity(disk, self)
	}
	if closeErr := j.Close(); err == nil {
		err = closeErr
	}
	return before, err
}

// removeAuxiliary removes the files of other parts of the process, which describe the state
// before a recovery.
func removeAuxiliary(disk Disk) error {
	names, err := disk.Names()
	if err != nil {
		return serving.WrapError(err, serving.KindStorage, "list data folder")
	}
	for _, name := range names {
		if !strings.HasPrefix(name, AuxiliaryPrefix) {
			continue
		}
		if err := disk.Remove(name); err != nil {
			return serving.WrapError(err, serving.KindStorage, "remove "+name)
		}
	}
	return nil
}
