package control

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/timeline"
)

// statusInterval is the time between reads of the replica's status for the event
// log.
const statusInterval = 100 * time.Millisecond

// Kinds of events of a control process.
const (
	eventStarted        = "control_started"
	eventLeaderChanged  = "leader_changed"
	eventMembersChanged = "members_changed"
	eventChange         = "change"
	eventClaim          = "claim"
	eventEntryList      = "entry_list_changed"
	eventOrderSent      = "order_sent"
)

// events writes the event log of a control process. The zero value writes nothing.
type events struct {
	// clock is the hybrid logical clock that orders the events of all processes.
	clock *timeline.Clock
	log   *timeline.Log
}

func newEvents(s *settings.Settings) events {
	if s.EventLog.Path == "" {
		return events{}
	}
	clock := &timeline.Clock{Physical: time.Now}
	log := timeline.NewLog(s.EventLog.Path, string(s.Host), clock)
	log.MaxBytes = int64(s.EventLog.MaxBytes.Bytes)
	return events{clock: clock, log: log}
}

func (e events) add(kind string, request serving.RequestID, attributes ...string) {
	if e.log != nil {
		e.log.Add(kind, request, attributes...)
	}
}

// handler updates the hybrid logical clock from the time in each request.
func (e events) handler(next http.Handler) http.Handler {
	if e.clock == nil {
		return next
	}
	return timeline.Handler(e.clock, next)
}

// transport sends the time of the hybrid logical clock with each call.
func (e events) transport(next http.RoundTripper) http.RoundTripper {
	if e.clock == nil {
		return next
	}
	return timeline.RoundTripper(e.clock, next)
}

// run writes the log until ctx ends.
func (e events) run(ctx context.Context) error {
	if e.log == nil {
		return nil
	}
	return e.log.Run(ctx)
}

// watchReplica records changes of the leader and of the number of members until ctx
// ends.
func (e events) watchReplica(ctx context.Context, r Replica) {
	if e.log == nil {
		return
	}
	e.add(eventStarted, "", "replica", r.Status().GetReplica())
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	var old *schema.ReplicaStatus
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		st := r.Status()
		if old.GetLeader() != st.GetLeader() || old.GetTerm() != st.GetTerm() || old.GetRole() != st.GetRole() {
			e.add(eventLeaderChanged, "", "role", st.GetRole(), "leader", st.GetLeader(), "term", strconv.FormatUint(st.GetTerm(), 10))
		}
		if old != nil && len(old.GetMembers()) != len(st.GetMembers()) {
			e.add(eventMembersChanged, "", "members", strconv.Itoa(len(st.GetMembers())))
		}
		old = st
	}
}

// recordResult records the result of a command.
func (e events) recordResult(cmd *schema.Command, res *schema.CommandResult) {
	switch body := cmd.GetBody().(type) {
	case *schema.Command_Change:
		e.add(eventChange, "", "command_id", body.Change.GetCommandId(), "operator", body.Change.GetOperator(),
			"outcome", res.GetChange().GetOutcome().String(), "revision", strconv.FormatUint(res.GetChange().GetRevision(), 10))
	case *schema.Command_Claim:
		e.add(eventClaim, "", "service", body.Claim.GetKey().GetService(), "key", body.Claim.GetKey().GetKey(),
			"holder", body.Claim.GetHolder(), "state", res.GetClaim().GetState().String())
	case *schema.Command_Settle:
		e.add(eventClaim, "", "service", body.Settle.GetKey().GetService(), "key", body.Settle.GetKey().GetKey(),
			"holder", body.Settle.GetHolder(), "state", res.GetClaim().GetState().String())
	case *schema.Command_SetEntries:
		e.add(eventEntryList, "", "entries", strconv.Itoa(len(body.SetEntries.GetEntries())),
			"epoch", strconv.FormatUint(res.GetChange().GetRevision(), 10))
	}
}
