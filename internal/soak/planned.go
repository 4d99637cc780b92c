package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"turmericdrum.org/turmericdrum/platform/standin"
)

// Times of the rule on calls that are lost around planned work.
const (
	// lossSlack is how long after it was sent a call may end without an answer if it was not
	// passed on to an engine.
	lossSlack = 200 * time.Millisecond
	// longCallWindow is the time after the signal within which a call may be sent that is
	// excused if its engine is still at work in the last sixth of the grace period.
	longCallWindow = 3 * time.Second
	// windowAfterGrace is how long after the grace period a stop explains the end of a call.
	windowAfterGrace = time.Second
)

const (
	// plannedCallers is the number of callers with kept connections at each entry.
	plannedCallers = 3
	// plannedAnswerTimeout is the deadline of their streams, and plannedOrderTimeout that of
	// their orders.
	plannedAnswerTimeout = standin.RouteTimeout
	plannedOrderTimeout  = 2 * time.Second
)

// plannedLengths are the lengths of streams in events of 10 ms; the longest outlast a grace
// period.
var plannedLengths = []int{3, 12, 50, 150, 400, 900}

// plannedSchedule draws planned work only: entries are stopped one after another, also while
// others still shut down, beside stops of hubs and reloads. The configuration changes all the
// time.
func (t *trial) plannedSchedule(r *rand.Rand) []fault {
	var out []fault
	next := r.IntN(len(t.entries))
	for offset := time.Duration(0); offset < t.faultTime; offset += time.Duration(200+r.IntN(1500)) * time.Millisecond {
		var f fault
		switch r.IntN(5) {
		case 0:
			p := t.hubs[r.IntN(len(t.hubs))]
			f = fault{name: "stop " + p.name, begin: func() { p.signal(syscall.SIGTERM) }}
		case 1:
			p := t.entries[r.IntN(len(t.entries))]
			f = fault{name: "reload " + p.name, begin: func() { p.signal(syscall.SIGHUP) }}
		default:
			entry := next
			next = (next + 1) % len(t.entries)
			f = fault{name: "stop " + t.entries[entry].name, begin: func() { t.stopEntry(entry) }}
		}
		f.offset = offset
		out = append(out, f)
	}
	return out
}

// stopEntry tells an entry to stop and records when.
func (t *trial) stopEntry(entry int) {
	t.mu.Lock()
	t.stops[entry] = append(t.stops[entry], time.Now())
	t.mu.Unlock()
	t.entries[entry].signal(syscall.SIGTERM)
}

// keptCall is a call on a kept connection.
type keptCall struct {
	id             string
	entry          int
	sentAt, endsAt time.Time
	timeout        time.Duration
	answer         *standin.Answer
}

// callKept sends streams of all lengths, with hints that are off, and orders on connections that
// are kept until the process behind them is gone.
func (t *trial) callKept(ctx context.Context, entry, caller int, r *rand.Rand) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", t.site.FrontendAddress(entry), time.Second); err != nil {
				conn = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		c := t.caller(entry)
		c.PromptParts = soundParts
		call := keptCall{entry: entry, sentAt: time.Now(), timeout: plannedAnswerTimeout}
		if r.IntN(3) == 0 {
			call.id, call.timeout = fmt.Sprintf("order-%d-%d-%d", entry, caller, n), plannedOrderTimeout
			c.AnswerTimeout = call.timeout
			call.answer = c.DoOn(conn, http.MethodPost, call.id, standin.OrderPath, []byte("order"))
		} else {
			call.id = fmt.Sprintf("stream-%d-%d-%d", entry, caller, n)
			c.AnswerTimeout = call.timeout
			events, hint := plannedLengths[r.IntN(len(plannedLengths))], plannedLengths[r.IntN(len(plannedLengths))]
			call.answer = c.StreamOn(conn, call.id, standin.StreamPath, events, hint)
		}
		call.endsAt = time.Now()
		t.recordKept(call)
		if a := call.answer; a.Closes || a.Err != nil && !a.Complete {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
	}
}

func (t *trial) recordKept(c keptCall) {
	kind := "kept stream"
	if c.timeout == plannedOrderTimeout {
		kind = "kept order"
	}
	t.record(c.id, kind, c.answer)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keptCalls = append(t.keptCalls, c)
}

// checkLost records a violation for each call that a stop of its entry has cut off without a
// complete answer. Nothing but planned work happens, so that every such end needs a stop and one
// of the excuses of the rule.
func (t *trial) checkLost() {
	t.mu.Lock()
	calls, stops := t.keptCalls, t.stops
	t.mu.Unlock()
	for _, c := range calls {
		ran := len(t.fleet.Runs(c.id)) > 0
		if c.isLost(ran, stops[c.entry], t.site.Grace()) {
			t.violation("%s at entry %d got no whole answer (status %d, %d events, ran: %t, %v): sent at %s, ended %v later, stops of the entry at %v",
				c.id, c.entry, c.answer.Status, c.answer.Events, ran, c.answer.Err, c.sentAt.Format("15:04:05.000"), c.endsAt.Sub(c.sentAt), formatTimes(stops[c.entry]))
		}
	}
}

// isLost reports whether a call got no whole answer and has no excuse. ran is set if an engine
// has begun to work on it, and stops are the stops of its entry.
func (c *keptCall) isLost(ran bool, stops []time.Time, grace time.Duration) bool {
	took := c.endsAt.Sub(c.sentAt)
	switch {
	case c.answer.Complete || c.answer.Err == nil, took >= c.timeout:
		return false
	case !ran && took <= lossSlack:
		return false
	case !ran && c.answer.Status == 0 && errors.Is(c.answer.Err, syscall.ECONNRESET):
		// The operating system resets a connection with bytes that the process has not read.
		// The rule is on requests that a process has read.
		return false
	}
	for _, stop := range stops {
		// The engine was still at work in the last sixth of the grace period.
		end := c.endsAt.Sub(stop)
		if ran && end >= grace*5/6 && end <= grace+windowAfterGrace && c.sentAt.Sub(stop) <= longCallWindow {
			return false
		}
	}
	return true
}

func formatTimes(times []time.Time) (out []string) {
	for _, at := range times {
		out = append(out, at.Format("15:04:05.000"))
	}
	return out
}
