package serving_test

import (
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Guards against an error that loses its kind, cause or remedy when it wraps another
// error.
func TestWrapErrorKeepsKindCauseAndRemedy(t *testing.T) {
	err := serving.WrapError(io.ErrUnexpectedEOF, serving.KindStorage, "read journal")
	assert.Equal(t, serving.KindOf(err), serving.KindStorage)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
	assert.ErrorContains(t, err, "free space")
}

// Guards against replica ids that change when they are formatted and parsed, and
// against malformed ids that are accepted.
func TestParseReplicaID(t *testing.T) {
	tests := []struct {
		text string
		ok   bool
	}{
		{"leon-1/a1", true},
		{"leon-1", false},
		{"/a1", false},
		{"leon-1/", false},
	}
	for _, tt := range tests {
		id, err := serving.ParseReplicaID(tt.text)
		assert.Equal(t, err == nil, tt.ok, tt.text)
		if tt.ok {
			assert.Equal(t, id.String(), tt.text)
		}
	}
}
