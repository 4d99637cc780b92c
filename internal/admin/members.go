package admin

import (
	"context"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// MembersCommand changes the membership of the replicated log by one step.
type MembersCommand struct {
	AddLearner *AddLearner    `arg:"subcommand:add-learner" help:"add a replica that receives the state without a vote"`
	Replace    *ReplaceMember `arg:"subcommand:replace" help:"promote a learner and remove the replica it replaces"`
	Promote    *PromoteMember `arg:"subcommand:promote" help:"give a learner a vote without removing another replica, as after a recovery"`
	Remove     *RemoveMember  `arg:"subcommand:remove" help:"remove a replica"`
}

// AddLearner identifies a new replica and its address.
type AddLearner struct {
	Replica string `arg:"positional,required" placeholder:"HOST/INCARNATION"`
	Address string `arg:"positional,required" placeholder:"HOST:PORT"`
}

// PromoteMember identifies the learner to promote.
type PromoteMember struct {
	Replica string `arg:"positional,required" placeholder:"HOST/INCARNATION"`
}

// ReplaceMember identifies the replica to remove and the learner to promote.
type ReplaceMember struct {
	Old string `arg:"positional,required" placeholder:"OLD"`
	New string `arg:"positional,required" placeholder:"NEW"`
}

// RemoveMember identifies the replica to remove.
type RemoveMember struct {
	Replica string `arg:"positional,required" placeholder:"HOST/INCARNATION"`
}

func (s *session) members(ctx context.Context, c *MembersCommand) error {
	var m *schema.MemberChange
	switch {
	case c.AddLearner != nil:
		m = &schema.MemberChange{Action: "add_learner", Replica: c.AddLearner.Replica, Address: c.AddLearner.Address}
	case c.Promote != nil:
		m = &schema.MemberChange{Action: "promote", Replica: c.Promote.Replica}
	case c.Replace != nil:
		m = &schema.MemberChange{Action: "replace", Replica: c.Replace.New, OldReplica: c.Replace.Old}
	case c.Remove != nil:
		m = &schema.MemberChange{Action: "remove", Replica: c.Remove.Replica}
	default:
		return invalid("no subcommand of members is given", "give add-learner, replace, promote or remove")
	}
	for _, id := range []string{m.GetReplica(), m.GetOldReplica()} {
		if _, err := serving.ParseReplicaID(id); id != "" && err != nil {
			return err
		}
	}
	res, err := s.client.ChangeMember(ctx, m)
	if serving.KindOf(err) == serving.KindOutcomeUnknown && err != nil {
		e := serving.AsError(err)
		e.Remedy = "look at the members with status before repeating the command"
		return e
	}
	if err != nil {
		return err
	}
	if !res.GetAccepted() {
		e := serving.NewError(serving.KindConflict, res.GetMessage())
		e.Remedy = "look at the members with status and correct the command"
		return e
	}
	return s.out.message(res, "accepted")
}
