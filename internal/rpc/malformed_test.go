package rpc

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/internal/answer/answertest"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Guards against a client of the control replicas that takes a malformed answer, and keeps its
// connection.
func TestClientRefusesMalformedAnswers(t *testing.T) {
	answertest.CheckClient(t, HTTPClient("key", nil))
}

// Guards against a change whose malformed answer counts as accepted, or as a statement that it has not
// run, so that it is sent again.
func TestChangeAnsweredMalformed(t *testing.T) {
	refusal := `{"code":"unavailable","msg":"draining","meta":{"kind":"draining","ran":"not_run"}}`
	for _, tc := range []struct{ name, raw string }{
		{"accepted", "HTTP/1.1 200 OK\r\nX Bad: v\r\nContent-Type: application/protobuf\r\nContent-Length: 0\r\n\r\n"},
		{"refused with status 999", fmt.Sprintf("HTTP/1.1 999 No\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(refusal), refusal)},
		{"refused with status 000", fmt.Sprintf("HTTP/1.1 000 No\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(refusal), refusal)},
		{"refused with a blank in a name", fmt.Sprintf("HTTP/1.1 503 No\r\nX Bad: v\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(refusal), refusal)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := answertest.Serve(t, tc.raw, func(*http.Request) bool { return true })
			c := &Client{Addresses: []string{s.Address}, Timeout: time.Second}
			_, err := c.ChangeMember(t.Context(), &schema.MemberChange{})
			assert.Equal(t, serving.AsError(err).Ran, serving.RanUnknown, "%v", err)
			assert.Assert(t, answer.IsMalformed(err), "%v", err)
			assert.Equal(t, s.Requests.Load(), int32(1), "the change was sent again")
		})
	}
}
