package deployment

import (
	"slices"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// MaxRollouts bounds the number of rollouts that are kept. To make room for another one, the
// oldest of those that have ended is dropped.
const MaxRollouts = 256

// StartRollout returns the command that starts a rollout, unless one of its service is in
// progress or the id of the service's last one isn't replaces. The command sets the id.
func StartRollout(r *schema.Rollout, replaces uint64) []byte {
	return encode(&schema.DeploymentCommand{Command: &schema.DeploymentCommand_RolloutStart{
		RolloutStart: &schema.RolloutStart{Rollout: r, Replaces: replaces}}})
}

// AdvanceRollout returns the command that changes the phase of a rollout. It changes nothing
// if the rollout is not in the expected phase, so that a command of an earlier leader has no
// effect.
func AdvanceRollout(a *schema.RolloutAdvance) []byte {
	return encode(&schema.DeploymentCommand{Command: &schema.DeploymentCommand_RolloutAdvance{RolloutAdvance: a}})
}

// RecordRollout returns the command that replaces the counts of a rollout in progress.
func RecordRollout(r *schema.RolloutRecord) []byte {
	return encode(&schema.DeploymentCommand{Command: &schema.DeploymentCommand_RolloutRecord{RolloutRecord: r}})
}

// ForgetRollout returns the command that drops a rollout that has ended.
func ForgetRollout(id uint64) []byte {
	return encode(&schema.DeploymentCommand{Command: &schema.DeploymentCommand_RolloutForget{RolloutForget: &schema.RolloutForget{Id: id}}})
}

// RolloutOf returns the rollout of a service, nil if there is none.
func RolloutOf(state *schema.DeploymentState, service serving.ServiceID) *schema.Rollout {
	at := indexOfRollout(state, func(r *schema.Rollout) bool { return r.GetService() == string(service) })
	if at < 0 {
		return nil
	}
	return state.GetRollouts()[at]
}

// RolloutEnded reports whether a phase is the last one of a rollout.
func RolloutEnded(p schema.RolloutPhase) bool {
	return p == schema.RolloutPhase_ROLLOUT_PHASE_COMPLETED || p == schema.RolloutPhase_ROLLOUT_PHASE_REVERTED
}

func indexOfRollout(state *schema.DeploymentState, match func(*schema.Rollout) bool) int {
	return slices.IndexFunc(state.GetRollouts(), match)
}

// applyRollout applies a command for a rollout to next, a copy of the current state that has
// the revision of the command. It reports whether the command changed anything. revision is
// that of the current state, which next keeps: entries load the rest of the state again when
// its revision changes.
func applyRollout(next *schema.DeploymentState, revision uint64, in *schema.DeploymentCommand) bool {
	index := next.GetRevision()
	next.Revision = revision
	changed := false
	switch c := in.GetCommand().(type) {
	case *schema.DeploymentCommand_RolloutStart:
		changed = startRollout(next, index, c.RolloutStart)
	case *schema.DeploymentCommand_RolloutAdvance:
		changed = replaceRollout(next, c.RolloutAdvance.GetId(), func(r *schema.Rollout) bool {
			if r.Phase != c.RolloutAdvance.GetExpected() || RolloutEnded(r.Phase) {
				return false
			}
			r.Phase, r.Reason = c.RolloutAdvance.GetPhase(), c.RolloutAdvance.GetReason()
			setRolloutCounts(r, c.RolloutAdvance.GetElapsedMs(), c.RolloutAdvance.GetCounts())
			r.PhaseAtMs = r.GetElapsedMs()
			return true
		})
	case *schema.DeploymentCommand_RolloutForget:
		at := indexOfRollout(next, func(r *schema.Rollout) bool {
			return r.GetId() == c.RolloutForget.GetId() && RolloutEnded(r.GetPhase())
		})
		if at >= 0 {
			next.Rollouts, changed = slices.Delete(slices.Clone(next.GetRollouts()), at, at+1), true
		}
	case *schema.DeploymentCommand_RolloutRecord:
		// Counts don't change the revision, because entries need none.
		return replaceRollout(next, c.RolloutRecord.GetId(), func(r *schema.Rollout) bool {
			if RolloutEnded(r.Phase) {
				return false
			}
			setRolloutCounts(r, c.RolloutRecord.GetElapsedMs(), c.RolloutRecord.GetCounts())
			return true
		})
	}
	if changed {
		next.RolloutsRevision = index
	}
	return changed
}

func startRollout(next *schema.DeploymentState, id uint64, c *schema.RolloutStart) bool {
	last := RolloutOf(next, serving.ServiceID(c.GetRollout().GetService()))
	if c.GetRollout().GetService() == "" || last.GetId() != c.GetReplaces() || last != nil && !RolloutEnded(last.GetPhase()) {
		return false
	}
	rollouts := slices.DeleteFunc(slices.Clone(next.GetRollouts()), func(r *schema.Rollout) bool { return r == last })
	if len(rollouts) >= MaxRollouts {
		at := slices.IndexFunc(rollouts, func(r *schema.Rollout) bool { return RolloutEnded(r.GetPhase()) })
		if at < 0 {
			return false
		}
		rollouts = slices.Delete(rollouts, at, at+1)
	}
	c.Rollout.Id = id
	next.Rollouts = append(rollouts, c.GetRollout())
	return true
}

// replaceRollout replaces a rollout by a copy that change has modified. It reports whether
// the rollout exists and change returned true.
func replaceRollout(next *schema.DeploymentState, id uint64, change func(*schema.Rollout) bool) bool {
	at := indexOfRollout(next, func(r *schema.Rollout) bool { return r.GetId() == id })
	if at < 0 {
		return false
	}
	old := next.GetRollouts()[at]
	r := &schema.Rollout{Id: old.GetId(), Service: old.GetService(), To: old.GetTo(), DurationNs: old.GetDurationNs(), OrderedMs: old.GetOrderedMs(),
		Phase: old.GetPhase(), Reason: old.GetReason(), ElapsedMs: old.GetElapsedMs(), Counts: old.GetCounts(),
		PhaseAtMs: old.GetPhaseAtMs(), Entries: old.GetEntries()}
	if !change(r) {
		return false
	}
	next.Rollouts = slices.Clone(next.GetRollouts())
	next.Rollouts[at] = r
	return true
}

// setRolloutCounts sets the elapsed time, which never decreases, and the counts.
func setRolloutCounts(r *schema.Rollout, elapsedMs int64, counts []*schema.RolloutCounts) {
	r.ElapsedMs = max(r.GetElapsedMs(), elapsedMs)
	r.Counts = counts
}
