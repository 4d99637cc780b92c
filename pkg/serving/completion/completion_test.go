package completion_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving/completion"
)

// Guards against a truncated answer that counts as complete, and the reverse.
func TestAssess(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  completion.Ending
		want completion.Verdict
	}{
		{"framed", completion.Ending{Framed: true}, completion.Complete},
		{"framed and empty", completion.Ending{Framed: true, Empty: true}, completion.Complete},
		{"framed, inside an event", completion.Ending{Framed: true, Partial: true}, completion.Truncated},
		{"unframed, inside an event", completion.Ending{Partial: true}, completion.Truncated},
		{"unframed and empty", completion.Ending{Empty: true}, completion.Truncated},
		{"unframed, stopped", completion.Ending{Stopped: true, Process: completion.Running}, completion.Truncated},
		{"unframed, process not checked", completion.Ending{}, completion.Undecided},
		{"unframed, process runs", completion.Ending{Process: completion.Running}, completion.Complete},
		{"unframed, process ended", completion.Ending{Process: completion.Ended}, completion.Truncated},
		{"unframed, process unreachable", completion.Ending{Process: completion.Unreachable}, completion.Truncated},
		{"unframed, short pause", completion.Ending{Pause: time.Second, Process: completion.Running}, completion.Complete},
		{"unframed, pause in which the process may have been started again", completion.Ending{Pause: time.Second + 1, Process: completion.Running}, completion.Truncated},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, tc.end.Assess(), tc.want)
		})
	}
}

// Guards against a whole stream that counts as truncated because of bytes that belong to no
// event.
func TestInsideEvent(t *testing.T) {
	for _, tc := range []struct {
		rest string
		want bool
	}{
		{"", false},
		{"\n", false},
		{"\r\n\r\n", false},
		{": keep-alive\n", false},
		{"i", true},
		{"id: 7\n", true},
		{"\nid: 7\ndata: x", true},
		{": keep-alive\nid: 7\n", true},
	} {
		t.Run(tc.rest, func(t *testing.T) {
			assert.Equal(t, completion.InsideEvent([]byte(tc.rest)), tc.want)
		})
	}
}
