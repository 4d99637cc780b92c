package journal

import (
	"fmt"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// folderContent holds the decoded contents of a data folder.
type folderContent struct {
	state    ledger.PersistentState
	segments []segment
	// torn is set if the last segment ends with an incomplete frame of tornBytes, which
	// its size does not include.
	torn      bool
	tornBytes int
	// lastFrames are the intact frames of the last segment.
	lastFrames []byte
}

// load reads a folder without changing it.
func load(disk Disk) (folderContent, error) {
	var c folderContent
	names, err := disk.Names()
	if err != nil {
		return c, serving.WrapError(err, serving.KindStorage, "list data folder")
	}
	snapshots, err := fileNumbers(names, snapshotPrefix)
	if err != nil {
		return c, err
	}
	if n := len(snapshots); n > 0 {
		if c.state.Snapshot, err = readSnapshot(disk, ledger.Index(snapshots[n-1])); err != nil {
			return c, err
		}
	}
	segments, err := fileNumbers(names, segmentPrefix)
	if err != nil {
		return c, err
	}
	for i, n := range segments {
		if i > 0 && n != segments[i-1]+1 {
			return c, damaged("segment " + segmentName(segments[i-1]+1) + " is missing")
		}
		if err := c.loadSegment(disk, n, i == len(segments)-1); err != nil {
			return c, err
		}
	}
	c.trimEntries()
	return c, nil
}

func readSnapshot(disk Disk, index ledger.Index) (ledger.Snapshot, error) {
	b, err := disk.Read(snapshotName(index))
	if err != nil {
		return ledger.Snapshot{}, serving.WrapError(err, serving.KindStorage, "read snapshot")
	}
	s, err := decodeSnapshot(b)
	if err == nil && s.Index != index {
		err = damaged("the snapshot's index differs from its file name")
	}
	return s, err
}

func (c *folderContent) loadSegment(disk Disk, n uint64, last bool) error {
	b, err := disk.Read(segmentName(n))
	if err != nil {
		return serving.WrapError(err, serving.KindStorage, "read segment")
	}
	s := segment{number: n}
	intact, torn, err := readFrames(b, func(payload []byte) error {
		hard, entries, err := decodePayload(payload)
		if err != nil {
			return err
		}
		if hard != nil {
			if hard.Term < c.state.Hard.Term {
				return damaged("the term goes back in segment " + segmentName(n))
			}
			c.state.Hard = *hard
		}
		for _, e := range entries {
			s.last = max(s.last, e.Index)
			if err := c.addEntry(e); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if intact < len(b) && (!last || !torn) {
		return damaged(fmt.Sprintf("segment %s is damaged at offset %d", segmentName(n), intact))
	}
	s.size = intact
	c.segments = append(c.segments, s)
	c.torn, c.tornBytes, c.lastFrames = intact < len(b), len(b)-intact, b[:intact]
	return nil
}

// addEntry adds an entry. It replaces the entries from its index on. A gap in the
// indexes is allowed only if the snapshot covers it.
func (c *folderContent) addEntry(e ledger.Entry) error {
	entries := c.state.Entries
	switch {
	case len(entries) == 0 || e.Index > entries[len(entries)-1].Index+1 || e.Index < entries[0].Index:
		if e.Index > c.state.Snapshot.Index+1 {
			return damaged(fmt.Sprintf("the entries before index %d are missing", e.Index))
		}
		entries = nil
	default:
		entries = entries[:e.Index-entries[0].Index]
	}
	c.state.Entries = append(entries, e)
	return nil
}

// trimEntries discards the entries that the snapshot covers, and later ones that
// do not follow from it. Entries of an earlier term than the snapshot's belong to
// a log that the snapshot replaced. Entries of its term or a later one were
// written by a leader that has the snapshot's last entry, so they follow from it.
func (c *folderContent) trimEntries() {
	s := c.state.Snapshot
	covered := 0
	for covered < len(c.state.Entries) && c.state.Entries[covered].Index <= s.Index {
		covered++
	}
	c.state.Entries = c.state.Entries[covered:]
	if len(c.state.Entries) == 0 || c.state.Entries[0].Term < s.Term {
		c.state.Entries = nil
	}
}
