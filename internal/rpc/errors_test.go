package rpc_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Guards against errors that lose or change a field when they are sent from one
// process to another.
func TestErrorRoundTrip(t *testing.T) {
	tests := []*serving.Error{
		serving.NewError(serving.KindNotLeader, "follower").WithDetail("10.0.0.1:7100"),
		serving.NewError(serving.KindOverloaded, "full").WithRetryAfter(1500 * time.Millisecond),
		serving.NewError(serving.KindOutcomeUnknown, "lost").WithRan(serving.RanUnknown),
		serving.NewError(serving.KindStorage, "disk").WithRan(serving.DidRun),
		serving.NewError(serving.KindConflict, "race").WithDetail("17"),
	}
	for _, want := range tests {
		err := rpc.ToTwirp(want)
		var te twirp.Error
		assert.Assert(t, errors.As(err, &te))
		if want.Kind == serving.KindNotLeader {
			assert.Equal(t, te.Code(), twirp.FailedPrecondition)
			assert.Equal(t, te.Meta("leader"), want.Detail)
		}
		got := serving.AsError(rpc.FromTwirp(err))
		assert.Equal(t, got.Kind, want.Kind)
		assert.Equal(t, got.Message, want.Message)
		assert.Equal(t, got.Remedy, want.Remedy)
		assert.Equal(t, got.Ran, want.Ran)
		assert.Equal(t, got.RetryAfter, want.RetryAfter)
		assert.Equal(t, got.Detail, want.Detail)
	}
}

// Guards against a call that failed with a broken connection being reported as not
// run, although the server may have run it.
func TestUntypedFailureHasUnknownOutcome(t *testing.T) {
	err := serving.AsError(rpc.FromTwirp(twirp.InternalErrorWith(errors.New("connection reset"))))
	assert.Equal(t, err.Kind, serving.KindOutcomeUnknown)
	assert.Equal(t, err.Ran, serving.RanUnknown)
}

// Guards against calls that are accepted without the cluster key.
func TestRequireKey(t *testing.T) {
	h := rpc.RequireKey(rpc.HashKey("secret"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	for header, want := range map[string]int{
		"Bearer secret": http.StatusNoContent,
		"bearer secret": http.StatusNoContent,
		"Bearer other":  http.StatusUnauthorized,
		"Bearer ":       http.StatusUnauthorized,
		"Basic secret":  http.StatusUnauthorized,
		"":              http.StatusUnauthorized,
	} {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.Header.Set("Authorization", header)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		assert.Equal(t, w.Code, want, header)
	}
}
