package rpc

import (
	"strconv"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

var outcomeKinds = map[schema.Outcome]serving.Kind{
	schema.Outcome_OUTCOME_CONFLICT:          serving.KindConflict,
	schema.Outcome_OUTCOME_COMMAND_ID_REUSED: serving.KindCommandIDReused,
	schema.Outcome_OUTCOME_INVALID:           serving.KindInvalid,
	schema.Outcome_OUTCOME_AMBIGUOUS_NAME:    serving.KindAmbiguousName,
	schema.Outcome_OUTCOME_NOT_FOUND:         serving.KindNotFound,
	schema.Outcome_OUTCOME_EXPIRED:           serving.KindExpired,
	schema.Outcome_OUTCOME_IN_USE:            serving.KindConflict,
}

// OutcomeError returns the typed error of a rejected change, or nil if the change
// was accepted. The detail of the error is the revision in the result, which for a
// conflict is the current revision.
func OutcomeError(r *schema.ChangeResult) error {
	if r.GetOutcome() == schema.Outcome_OUTCOME_ACCEPTED {
		return nil
	}
	kind, ok := outcomeKinds[r.GetOutcome()]
	if !ok {
		return serving.NewError(serving.KindInternal, "the server answered with an unknown outcome").WithRan(serving.RanUnknown)
	}
	e := serving.NewError(kind, r.GetMessage()).WithDetail(strconv.FormatUint(r.GetRevision(), 10))
	if r.GetOutcome() == schema.Outcome_OUTCOME_IN_USE {
		e.Remedy = "change or remove what refers to the object first"
	}
	return e
}
