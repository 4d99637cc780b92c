package ledger

import (
	"fmt"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// maxSnapshotBytes bounds the snapshot that a replica accepts. It is above any state that
// the log is made for.
const maxSnapshotBytes = 1 << 30

// Validate returns an error of kind invalid if no replica could have sent the message in any
// state. A driver must not pass such a message to Step.
func (m *Message) Validate() error {
	switch m.Type {
	case MsgAppend:
		return m.validateEntries()
	case MsgSnapshot:
		return m.validateChunk()
	}
	return nil
}

func (m *Message) validateEntries() error {
	index, term := m.Index, m.LogTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != index+1 || e.Term < term || e.Term > m.Term || e.Term == 0 {
			return serving.NewError(serving.KindInvalid, fmt.Sprintf("entry %d of term %d does not follow entry %d of term %d in a message of term %d", e.Index, e.Term, index, term, m.Term))
		}
		if e.Type == EntryMembers {
			members, err := DecodeMembership(e.Data)
			if err != nil {
				return err
			}
			if err := members.validate(); err != nil {
				return err
			}
		}
		index, term = e.Index, e.Term
	}
	return nil
}

func (m *Message) validateChunk() error {
	c := m.Snapshot
	if c == nil {
		return serving.NewError(serving.KindInvalid, "a snapshot message has no snapshot")
	}
	if c.Index == 0 || c.Term == 0 || c.Term > m.Term {
		return serving.NewError(serving.KindInvalid, fmt.Sprintf("a snapshot has index %d and term %d in a message of term %d", c.Index, c.Term, m.Term))
	}
	if c.Total > maxSnapshotBytes || c.Offset > c.Total || uint64(len(c.Data)) > c.Total-c.Offset {
		return serving.NewError(serving.KindInvalid, fmt.Sprintf("%d bytes at offset %d do not fit a snapshot of %d bytes", len(c.Data), c.Offset, c.Total))
	}
	return c.Membership.validate()
}

// validate returns an error if the membership can't elect a leader.
func (m Membership) validate() error {
	if len(m.voterSets()[0]) == 0 {
		return serving.NewError(serving.KindInvalid, "a membership has no voters")
	}
	return nil
}
