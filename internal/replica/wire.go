package replica

import (
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

var entryTypes = map[ledger.EntryType]string{
	ledger.EntryCommand: "command", ledger.EntryEmpty: "empty", ledger.EntryMembers: "members",
}

var entryTypesByName = func() map[string]ledger.EntryType {
	m := map[string]ledger.EntryType{}
	for t, name := range entryTypes {
		m[name] = t
	}
	return m
}()

func toWire(m ledger.Message) *schema.LogMessage {
	out := &schema.LogMessage{
		Type: m.Type.String(), From: m.From.String(), To: m.To.String(), Term: uint64(m.Term),
		LogTerm: uint64(m.LogTerm), Index: uint64(m.Index), Commit: uint64(m.Commit),
		Reject: m.Reject, RejectHint: uint64(m.RejectHint), Round: m.Round,
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, &schema.LogEntry{Index: uint64(e.Index), Term: uint64(e.Term), Type: entryTypes[e.Type], Data: e.Data})
	}
	if c := m.Snapshot; c != nil {
		out.Snapshot = &schema.SnapshotChunk{
			Index: uint64(c.Index), Term: uint64(c.Term), Offset: c.Offset, Data: c.Data, Total: c.Total,
			Members: membersToWire(c.Membership.Members, nil), OldVoters: membersToWire(c.Membership.OldVoters, nil),
		}
	}
	return out
}

func membersToWire(members []ledger.Member, match map[serving.ReplicaID]ledger.Index) (out []*schema.Member) {
	for _, m := range members {
		out = append(out, &schema.Member{Replica: m.ID.String(), Address: m.Address, Voter: m.Voter, MatchIndex: uint64(match[m.ID])})
	}
	return out
}

func fromWire(in *schema.LogMessage) (ledger.Message, error) {
	invalid := func(message string) (ledger.Message, error) {
		return ledger.Message{}, serving.NewError(serving.KindInvalid, message)
	}
	m := ledger.Message{
		Type: ledger.ParseMessageType(in.GetType()), Term: ledger.Term(in.GetTerm()), LogTerm: ledger.Term(in.GetLogTerm()),
		Index: ledger.Index(in.GetIndex()), Commit: ledger.Index(in.GetCommit()),
		Reject: in.GetReject(), RejectHint: ledger.Index(in.GetRejectHint()), Round: in.GetRound(),
	}
	if m.Type == 0 {
		return invalid("unknown message type " + in.GetType())
	}
	var err error
	if m.From, err = serving.ParseReplicaID(in.GetFrom()); err != nil {
		return m, err
	}
	if m.To, err = serving.ParseReplicaID(in.GetTo()); err != nil {
		return m, err
	}
	for i, e := range in.GetEntries() {
		t, ok := entryTypesByName[e.GetType()]
		if !ok || e.GetIndex() != in.GetIndex()+uint64(i)+1 {
			return invalid("the entries of a message are not in order or of an unknown type")
		}
		m.Entries = append(m.Entries, ledger.Entry{Index: ledger.Index(e.GetIndex()), Term: ledger.Term(e.GetTerm()), Type: t, Data: e.GetData()})
	}
	if c := in.GetSnapshot(); c != nil {
		m.Snapshot = &ledger.SnapshotChunk{Index: ledger.Index(c.GetIndex()), Term: ledger.Term(c.GetTerm()),
			Total: c.GetTotal(), Offset: c.GetOffset(), Data: c.GetData()}
		if m.Snapshot.Membership.Members, err = membersFromWire(c.GetMembers()); err != nil {
			return m, err
		}
		if m.Snapshot.Membership.OldVoters, err = membersFromWire(c.GetOldVoters()); err != nil {
			return m, err
		}
	}
	return m, m.Validate()
}

func membersFromWire(in []*schema.Member) (out []ledger.Member, err error) {
	for _, m := range in {
		id, err := serving.ParseReplicaID(m.GetReplica())
		if err != nil {
			return nil, err
		}
		out = append(out, ledger.Member{ID: id, Address: m.GetAddress(), Voter: m.GetVoter()})
	}
	return out, nil
}
