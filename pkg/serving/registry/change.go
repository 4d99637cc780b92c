package registry

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

// applyChange applies a change once and returns the stored result if it is resent.
func (m *Machine) applyChange(c *schema.Change) *schema.ChangeResult {
	if msg := checkText("command id", c.GetCommandId()); msg != "" {
		return refuse(schema.Outcome_OUTCOME_INVALID, 0, msg)
	}
	hash := contentHash(c)
	if old := m.results.byID[c.GetCommandId()]; old != nil {
		if m.defects.skipContentCheck || bytes.Equal(old.GetContentHash(), hash) {
			return old.GetResult()
		}
		return refuse(schema.Outcome_OUTCOME_COMMAND_ID_REUSED, 0,
			"command id "+c.GetCommandId()+" was used before with other content")
	}
	if res := m.checkIssued(c.GetIssuedAtMs()); res != nil {
		return res
	}
	res := m.change(c)
	m.results.add(&schema.SavedResult{
		CommandId:   c.GetCommandId(),
		ContentHash: hash,
		Result:      res,
		// The result is kept for at least the retention after the issue time. A resend
		// whose result was removed is therefore always refused as expired.
		KeepUntilMs: max(m.nowMS, c.GetIssuedAtMs()) + m.cfg.ResultRetention.Milliseconds(),
	})
	return res
}

func (m *Machine) checkIssued(issuedMS int64) *schema.ChangeResult {
	switch {
	case issuedMS <= 0:
		return refuse(schema.Outcome_OUTCOME_INVALID, 0, "issued_at_ms is missing")
	case issuedMS < m.nowMS-m.cfg.ResultRetention.Milliseconds():
		return refuse(schema.Outcome_OUTCOME_EXPIRED, 0,
			fmt.Sprintf("the command was issued more than %v ago; its result is no longer kept", m.cfg.ResultRetention))
	case issuedMS > m.nowMS+maxClockLead.Milliseconds():
		return refuse(schema.Outcome_OUTCOME_INVALID, 0,
			fmt.Sprintf("issued_at_ms is more than %v ahead of the leader's clock; set the client's clock", maxClockLead))
	}
	return nil
}

// change applies a change that was not applied before.
func (m *Machine) change(c *schema.Change) *schema.ChangeResult {
	var id string
	var res *schema.ChangeResult
	switch a := c.GetAction().(type) {
	case *schema.Change_Put:
		id, res = m.put(a.Put, c.GetExpectedRevision())
	case *schema.Change_Remove:
		id, res = m.remove(a.Remove, c.GetExpectedRevision())
	case *schema.Change_TakeOut:
		id, res = m.setOut(a.TakeOut, true, c.GetExpectedRevision())
	case *schema.Change_BringBack:
		id, res = m.setOut(a.BringBack, false, c.GetExpectedRevision())
	case *schema.Change_PutAlias:
		res = m.putAlias(a.PutAlias, c.GetExpectedRevision())
	case *schema.Change_RemoveAlias:
		res = m.removeAlias(a.RemoveAlias, c.GetExpectedRevision())
	default:
		res = refuse(schema.Outcome_OUTCOME_INVALID, 0, "the change has no action")
	}
	if res.GetOutcome() == schema.Outcome_OUTCOME_ACCEPTED {
		m.record(c, id, res)
	}
	return res
}

// accept increments the revision and returns the result of the accepted change.
func (m *Machine) accept() *schema.ChangeResult {
	m.revision++
	return &schema.ChangeResult{Outcome: schema.Outcome_OUTCOME_ACCEPTED, Revision: m.revision}
}

func (m *Machine) record(c *schema.Change, id string, res *schema.ChangeResult) {
	m.history = append(m.history, &schema.HistoryEntry{
		Revision:    res.GetRevision(),
		Change:      proto.CloneOf(c),
		Result:      res,
		AtMs:        m.nowMS,
		CanonicalId: id,
	})
	if n := len(m.history) - m.cfg.HistoryLimit; n > 0 {
		clear(m.history[:n])
		m.history = m.history[n:]
	}
}

func refuse(o schema.Outcome, revision uint64, message string) *schema.ChangeResult {
	return &schema.ChangeResult{Outcome: o, Revision: revision, Message: message}
}

func conflict(subject string, expected, current uint64) *schema.ChangeResult {
	if current == 0 {
		return refuse(schema.Outcome_OUTCOME_CONFLICT, 0,
			fmt.Sprintf("%s does not exist, but revision %d was expected", subject, expected))
	}
	if expected == 0 {
		return refuse(schema.Outcome_OUTCOME_CONFLICT, current,
			fmt.Sprintf("%s exists already at revision %d", subject, current))
	}
	return refuse(schema.Outcome_OUTCOME_CONFLICT, current,
		fmt.Sprintf("%s is at revision %d, not at the expected %d", subject, current, expected))
}
