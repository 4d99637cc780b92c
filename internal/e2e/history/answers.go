package history

import (
	"fmt"
	"strings"
	"time"

	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// TokensOnce checks P1: a caller receives each token once, in order, from a single
// generation. This includes resumed streams and answers that ended with an error.
func TokensOnce(calls []Call) error {
	for i := range calls {
		c := &calls[i]
		for n, f := range c.Frames {
			switch {
			case int(f.Index) != n:
				return fmt.Errorf("P1: %s: frame %d has index %d", c, n, f.Index)
			case f.GenerationID != c.Frames[0].GenerationID:
				return fmt.Errorf("P1: %s: frame %d is of generation %s, the first of %s", c, n, f.GenerationID, c.Frames[0].GenerationID)
			}
		}
	}
	return nil
}

// OwnWholeAnswer checks P4: all tokens belong to the caller's own request, an answer
// that ended normally has all of them, and an incomplete answer ends with an error or
// a broken connection.
func OwnWholeAnswer(calls []Call) error {
	for i := range calls {
		c := &calls[i]
		if err := c.checkTokens(); err != nil {
			return err
		}
		n := max(len(c.Frames), c.Tokens)
		switch {
		case c.Done && n != c.Length:
			return fmt.Errorf("P4: %s: ended normally with %d tokens instead of %d", c, n, c.Length)
		case !c.Done && c.Kind == "" && c.InterruptedBy == "":
			return fmt.Errorf("P4: %s: truncated to %d of %d tokens without an error", c, n, c.Length)
		}
	}
	return nil
}

func (c *Call) checkTokens() error {
	for n, f := range c.Frames {
		if f.RequestID != c.RequestID {
			return fmt.Errorf("P4: %s: frame %d is of request %s", c, n, f.RequestID)
		}
		if want := standin.TokenText(c.RequestID, f.GenerationID, int(f.Index)); f.Token != want {
			return fmt.Errorf("P4: %s: token %d is %q instead of %q", c, n, f.Token, want)
		}
	}
	if c.Stream || !c.Done {
		return nil
	}
	var want strings.Builder
	for n := range c.Tokens {
		want.WriteString(standin.TokenText(c.RequestID, c.Generation, n))
	}
	if c.Text != want.String() {
		return fmt.Errorf("P4: %s: the text is not that of the request", c)
	}
	return nil
}

// OwnOrderAnswer checks P4 for orders: the answer contains the key of the order.
func OwnOrderAnswer(orders []Order) error {
	for i := range orders {
		o := &orders[i]
		if o.Status == 200 && o.AnswerKey != o.serviceKey() {
			return fmt.Errorf("P4: order %s of %s got the answer of %s", o.Key, o.Client, o.AnswerKey)
		}
	}
	return nil
}

// RefusedNotRun checks P5 for completions: no engine accepted a request whose error
// states that it did not run (Ran is [serving.NotRun]).
func RefusedNotRun(calls []Call, events []standin.Event) error {
	givenEvents := map[serving.RequestID]*standin.Event{}
	for i := range events {
		if events[i].Event == "given" {
			givenEvents[events[i].RequestID] = &events[i]
		}
	}
	for i := range calls {
		c := &calls[i]
		if c.Ran != serving.NotRun || c.RequestID == "" {
			continue
		}
		if ev := givenEvents[c.RequestID]; ev != nil {
			return fmt.Errorf("P5: %s: reported as not run, but accepted by %s", c, ev.Engine)
		}
	}
	return nil
}

// RefusedOrderNotRun checks P5 for orders. If the errors of all attempts with a key so
// far state that the call did not run, it must not start before the next attempt.
func RefusedOrderNotRun(orders []Order, events []standin.Event) error {
	started := map[string]time.Time{}
	for i := range events {
		ev := &events[i]
		if _, ok := started[ev.Key]; !ok && ev.Event == "call_started" {
			started[ev.Key] = wallTime(ev)
		}
	}
	attempts := map[string][]*Order{}
	for i := range orders {
		attempts[orders[i].serviceKey()] = append(attempts[orders[i].serviceKey()], &orders[i])
	}
	for key, list := range attempts {
		startedAt, didStart := started[key]
		for i, o := range list {
			if o.Ran != serving.NotRun {
				break
			}
			// The times of events are truncated to milliseconds.
			if didStart && (i+1 == len(list) || startedAt.Before(list[i+1].Invoked.Truncate(time.Millisecond))) {
				return fmt.Errorf("P5: order %s was reported as not run (%s) at %s, but started at %s", key, o.Kind, o.Answered.Format(timeFormat), startedAt.Format(timeFormat))
			}
		}
	}
	return nil
}

// NothingCutOff checks P8: every call that was in progress at the given time ended
// normally.
func NothingCutOff(calls []Call, at time.Time) error {
	for i := range calls {
		c := &calls[i]
		if c.Invoked.Before(at) && c.Answered.After(at) && !c.Done {
			return fmt.Errorf("P8: %s: cut off after %d of %d tokens (%s %s)", c, len(c.Frames), c.Length, c.Kind, c.InterruptedBy)
		}
	}
	return nil
}

// timeFormat is the layout of times in messages.
const timeFormat = "15:04:05.000"

// String identifies a call in messages.
func (c *Call) String() string {
	return fmt.Sprintf("call of %s at %s (%s, request %s, stream %v)", c.Client, c.Entry, c.Invoked.Format(timeFormat), c.RequestID, c.Stream)
}
