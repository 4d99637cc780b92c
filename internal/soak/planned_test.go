package soak

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/platform/standin"
)

// Guards against a check of the soak that excuses lost calls, or reports calls that the rule on
// planned work excuses.
func TestIsLost(t *testing.T) {
	const grace, timeout = 6 * time.Second, 30 * time.Second
	reset := fmt.Errorf("read: %w", syscall.ECONNRESET)
	cut := &standin.Answer{Status: http.StatusOK, Err: io.ErrUnexpectedEOF}
	stop := time.Unix(1000, 0)
	for _, tc := range []struct {
		name string
		// sent and end are times after the stop of the entry.
		sent, end time.Duration
		ran       bool
		answer    *standin.Answer
		want      bool
	}{
		{"whole", 0, time.Second, true, &standin.Answer{Status: http.StatusOK, Complete: true, Err: io.EOF}, false},
		{"refused", 4 * time.Second, 4 * time.Second, false, &standin.Answer{Status: http.StatusServiceUnavailable}, false},
		{"taken late and cut at the end", 3500 * time.Millisecond, 5600 * time.Millisecond, true, cut, true},
		{"taken early, engine at work at the end", 2900 * time.Millisecond, 5600 * time.Millisecond, true, cut, false},
		{"running at the signal, engine at work at the end", -8 * time.Second, 5600 * time.Millisecond, true, cut, false},
		{"running at the signal, cut early", -time.Second, 3 * time.Second, true, cut, true},
		{"cut without a stop", -20 * time.Second, -10 * time.Second, true, cut, true},
		{"its whole time", -29 * time.Second, time.Second, true, cut, false},
		{"closed at once, not passed on", 2 * time.Second, 2100 * time.Millisecond, false, &standin.Answer{Err: io.EOF}, false},
		{"read and closed later, not passed on", 2 * time.Second, 2500 * time.Millisecond, false, &standin.Answer{Err: io.EOF}, true},
		{"reset before it was read", 2450 * time.Millisecond, 2700 * time.Millisecond, false, &standin.Answer{Err: reset}, false},
		{"reset while its engine worked", 3500 * time.Millisecond, 4 * time.Second, true, &standin.Answer{Err: reset}, true},
		{"reset after the header", 3500 * time.Millisecond, 4 * time.Second, false, &standin.Answer{Status: http.StatusOK, Err: reset}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := keptCall{sentAt: stop.Add(tc.sent), endsAt: stop.Add(tc.end), timeout: timeout, answer: tc.answer}
			assert.Equal(t, c.isLost(tc.ran, []time.Time{stop}, grace), tc.want)
		})
	}
}
