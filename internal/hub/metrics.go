package hub

import (
	"expvar"

	"turmericdrum.org/turmericdrum/internal/replica"
)

// Metrics of the membership and of blocked prompts, as known to this hub. silentVoters is 0
// unless the hub leads.
var (
	knownVoters       = expvar.NewInt("control_voters")
	neededVoters      = expvar.NewInt("control_voters_required")
	knownLearners     = expvar.NewInt("control_learners")
	silentVoters      = expvar.NewInt("control_voters_silent")
	replicaReopened   = expvar.NewInt("control_replica_reopened")
	membershipChanges = expvar.NewMap("control_membership_changes")
	blockedPrompts    = expvar.NewInt("prompts_blocked")
	unevenServices    = expvar.NewInt("control_uneven_services")
	suspectParts      = expvar.NewInt("prompt_parts_suspected")
	// checkpointsWritten and checkpointsFailed count what is stored for the next start.
	checkpointsWritten = expvar.NewInt("control_checkpoints_written")
	checkpointsFailed  = expvar.NewInt("control_checkpoints_failed")
	// machineChecks counts the load checks of engines by result.
	machineChecks = expvar.NewMap("machine_checks")
	// callsDeferred counts the answers without an engine although engines had room.
	callsDeferred = expvar.NewInt("calls_deferred")
	// rolloutPhaseChanges counts the changes that this hub has applied by the new phase.
	rolloutsInProgress  = expvar.NewInt("rollouts_in_progress")
	rolloutPhaseChanges = expvar.NewMap("rollout_phase_changes")
)

// recordMembership updates the metrics of the membership.
func recordMembership(s replica.State, required int) {
	silent := 0
	for _, m := range s.Members {
		if m.Voter && m.SinceContact > rejoinAfter {
			silent++
		}
	}
	voters := s.Voters()
	knownVoters.Set(int64(voters))
	knownLearners.Set(int64(len(s.Members) - voters))
	neededVoters.Set(int64(required))
	silentVoters.Set(int64(silent))
}
