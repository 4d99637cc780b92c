package history

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

var start = time.UnixMilli(1_700_000_000_000)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func event(ms int, name, engine string) standin.Event {
	return standin.Event{WallMS: at(ms).UnixMilli(), Event: name, Engine: serving.EngineID(engine)}
}

// completeStream returns a call with a complete streamed answer.
func completeStream(length int) Call {
	c := Call{Client: "c1", Entry: "e1", Stream: true, Length: length, Invoked: at(0), Answered: at(100), Status: 200, RequestID: "r1", Done: true}
	for i := range length {
		c.Frames = append(c.Frames, generation.Frame{
			RequestID: "r1", GenerationID: "g1", Index: serving.TokenIndex(i), Token: standin.TokenText("r1", "g1", i),
		})
	}
	return c
}

// completeAnswer returns a call with a complete plain answer.
func completeAnswer(length int) Call {
	c := Call{Client: "c1", Entry: "e1", Length: length, Status: 200, RequestID: "r1", Generation: "g1", Tokens: length, Done: true}
	for i := range length {
		c.Text += standin.TokenText("r1", "g1", i)
	}
	return c
}

// modified returns a copy of v after a change.
func modified[T any](v T, change func(*T)) T {
	change(&v)
	return v
}

// Guards against predicates of callers' answers that accept a history in which a
// guarantee is violated, or reject one in which it holds.
func TestAnswers(t *testing.T) {
	otherRequest := func(c *Call) {
		c.Frames[1].RequestID, c.Frames[1].Token = "r2", standin.TokenText("r2", "g1", 1)
	}
	tests := []struct {
		name    string
		check   func([]Call) error
		call    Call
		wantErr bool
	}{
		{"each token once", TokensOnce, completeStream(3), false},
		{"repeated token", TokensOnce, modified(completeStream(3), func(c *Call) { c.Frames = append(c.Frames[:2], c.Frames[1:]...) }), true},
		{"missing token", TokensOnce, modified(completeStream(3), func(c *Call) { c.Frames = append(c.Frames[:1], c.Frames[2]) }), true},
		{"swapped tokens", TokensOnce, modified(completeStream(3), func(c *Call) { c.Frames[0], c.Frames[1] = c.Frames[1], c.Frames[0] }), true},
		{"two generations", TokensOnce, modified(completeStream(3), func(c *Call) { c.Frames[2].GenerationID = "g2" }), true},
		{"complete stream", OwnWholeAnswer, completeStream(3), false},
		{"complete answer", OwnWholeAnswer, completeAnswer(3), false},
		{"error after the first token", OwnWholeAnswer, modified(completeStream(3), func(c *Call) {
			c.Frames, c.Done, c.Kind = c.Frames[:1], false, serving.KindGenerationLost
		}), false},
		{"stream ends normally but too early", OwnWholeAnswer, modified(completeStream(3), func(c *Call) { c.Frames = c.Frames[:2] }), true},
		{"stream ends without end mark or error", OwnWholeAnswer, modified(completeStream(3), func(c *Call) { c.Done = false }), true},
		{"token of another request", OwnWholeAnswer, modified(completeStream(3), otherRequest), true},
		{"wrong token", OwnWholeAnswer, modified(completeStream(3), func(c *Call) { c.Frames[1].Token = "x" }), true},
		{"text of another request", OwnWholeAnswer, modified(completeAnswer(3), func(c *Call) { c.RequestID = "r2" }), true},
		{"short text", OwnWholeAnswer, modified(completeAnswer(3), func(c *Call) { c.Length = 4 }), true},
		{"not cut off", notCutOffAt50ms, completeStream(3), false},
		{"cut off", notCutOffAt50ms, modified(completeStream(3), func(c *Call) { c.Done = false }), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.check([]Call{test.call}) != nil, test.wantErr, "%v", test.check([]Call{test.call}))
		})
	}
}

func notCutOffAt50ms(calls []Call) error { return NothingCutOff(calls, at(50)) }

// Guards against predicates of engine records that accept a history in which a
// guarantee is violated, or reject one in which it holds.
func TestRecords(t *testing.T) {
	given := func(ms int, request serving.RequestID) standin.Event {
		return modified(event(ms, "given", "n1"), func(ev *standin.Event) { ev.RequestID = request })
	}
	engineOrder := func(stale bool) standin.Event {
		return modified(event(1, "order", "n1"), func(ev *standin.Event) { ev.Order, ev.Stale = &standin.Order{FencingNumber: 1}, stale })
	}
	started := func(ms int, engine, key string) standin.Event {
		return modified(event(ms, "call_started", engine), func(ev *standin.Event) { ev.Key = key })
	}
	cold := func(ms, running int) standin.Event {
		return modified(event(ms, "given", "n1"), func(ev *standin.Event) { ev.Cold, ev.Running = true, running })
	}
	refused := Call{RequestID: "r1", Kind: serving.KindNoEngine, Ran: serving.NotRun}
	order := func(ms int, ran serving.Ran) Order {
		return Order{Account: "a", Key: "k", Invoked: at(ms), Answered: at(ms + 10), Ran: ran}
	}
	refusedNotRun := func(events []standin.Event) error { return RefusedNotRun([]Call{refused}, events) }
	orders := func(list ...Order) func([]standin.Event) error {
		return func(events []standin.Event) error { return RefusedOrderNotRun(list, events) }
	}
	coldLimit := func(silent ...SilentCold) func([]standin.Event) error {
		return func(events []standin.Event) error { return ColdLimit(events, 2, silent) }
	}
	takenOut := func(until time.Time) func([]standin.Event) error {
		return func(events []standin.Event) error {
			return NoNewWork(events, []serving.EngineID{"n1"}, at(0), until)
		}
	}
	tests := []struct {
		name    string
		check   func([]standin.Event) error
		events  []standin.Event
		wantErr bool
	}{
		{"refused and not given", refusedNotRun, []standin.Event{given(1, "r2")}, false},
		{"refused but given", refusedNotRun, []standin.Event{given(1, "r1")}, true},
		{"refused order", orders(order(0, serving.NotRun)), nil, false},
		{"refused order started", orders(order(0, serving.NotRun)), []standin.Event{started(5, "n1", "a:k")}, true},
		{"refused order started late", orders(order(0, serving.NotRun)), []standin.Event{started(5000, "n1", "a:k")}, true},
		{"refused order resent", orders(order(0, serving.NotRun), order(20, serving.DidRun)), []standin.Event{started(25, "n1", "a:k")}, false},
		{"refused order started before the resend", orders(order(0, serving.NotRun), order(20, serving.DidRun)), []standin.Event{started(15, "n1", "a:k")}, true},
		{"refused after unknown", orders(order(0, serving.RanUnknown), order(20, serving.NotRun)), []standin.Event{started(25, "n1", "a:k")}, false},
		{"one run", OrdersOnce, []standin.Event{started(1, "n1", "a:k"), started(1, "n1", "a:l")}, false},
		{"two runs", OrdersOnce, []standin.Event{started(1, "n1", "a:k"), started(2, "n2", "a:k")}, true},
		{"within the cold limit", coldLimit(), []standin.Event{cold(1, 2)}, false},
		{"over the cold limit", coldLimit(), []standin.Event{cold(1, 3)}, true},
		{"restart by overload", coldLimit(), []standin.Event{event(1, "fell_over", "n1")}, true},
		{"over the limit right after an engine turned cold unannounced", coldLimit(SilentCold{"n1", at(0)}), []standin.Event{cold(1500, 3)}, false},
		{"over the limit after the grace period of an engine that turned cold", coldLimit(SilentCold{"n1", at(0)}), []standin.Event{cold(2500, 3)}, true},
		{"work within the bound", takenOut(time.Time{}), []standin.Event{given(2900, "r1")}, false},
		{"work after the bound", takenOut(time.Time{}), []standin.Event{given(3100, "r1")}, true},
		{"call after the bound", takenOut(time.Time{}), []standin.Event{started(3100, "n1", "a:k")}, true},
		{"work after the data centre was brought back", takenOut(at(3050)), []standin.Event{given(3100, "r1")}, false},
		{"leaving engine gets no work", LeavingGetNoWork, []standin.Event{event(0, "leaving", "n1"), given(2000, "r1")}, false},
		{"leaving engine refuses work", LeavingGetNoWork, []standin.Event{event(0, "leaving", "n1"), event(4000, "refused_leaving", "n1")}, true},
		{"current order", OrdersFenced, []standin.Event{engineOrder(false)}, false},
		{"stale order", OrdersFenced, []standin.Event{engineOrder(true)}, true},
		{"leaving engine gets work", LeavingGetNoWork, []standin.Event{event(0, "leaving", "n1"), given(4000, "r1")}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.check(test.events) != nil, test.wantErr, "%v", test.check(test.events))
		})
	}
}

// Guards against a check that accepts the answer of another order.
func TestOwnOrderAnswer(t *testing.T) {
	assert.NilError(t, OwnOrderAnswer([]Order{{Account: "a", Key: "k", Status: 200, AnswerKey: "a:k"}}))
	assert.ErrorContains(t, OwnOrderAnswer([]Order{{Account: "a", Key: "k", Status: 200, AnswerKey: "a:l"}}), "P4")
}

// Guards against predicates of view samples that accept a history in which a
// guarantee is violated, or reject one in which it holds.
func TestViews(t *testing.T) {
	const lease = 2500 * time.Millisecond
	change := []Change{{Revision: 7, Accepted: at(0)}}
	inForce := func(samples []Sample) error { return InForce(change, samples, lease) }
	sample := func(ms int, revision uint64, age time.Duration) Sample {
		return Sample{Entry: "e1", At: at(ms), Revision: revision, Age: age}
	}
	tests := []struct {
		name    string
		check   func([]Sample) error
		samples []Sample
		wantErr bool
	}{
		{"change in force in time", inForce, []Sample{sample(4000, 6, 0), sample(5100, 7, 0)}, false},
		{"change in force too late", inForce, []Sample{sample(5100, 6, time.Second)}, true},
		{"view without the change expired", inForce, []Sample{sample(5100, 6, 3*time.Second)}, false},
		{"revision increases", NeverReverts, []Sample{sample(0, 6, 0), sample(1, 0, 0), sample(2, 7, 0)}, false},
		{"revision decreases", NeverReverts, []Sample{sample(0, 7, 0), sample(1, 6, 0)}, true},
		{"revision decreases over a restart", NeverReverts, []Sample{sample(0, 7, 0), sample(1, 0, 0), sample(2, 6, 0)}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.check(test.samples) != nil, test.wantErr, "%v", test.check(test.samples))
		})
	}
}

// Guards against a model of operators' changes that accepts histories that are not
// linearizable, or rejects linearizable ones.
func TestLinearizable(t *testing.T) {
	change := func(from, to int, expected uint64, outcome Outcome, revision uint64) Operation {
		return Operation{Object: "o", Invoked: at(from), Answered: at(to), Expected: expected, Value: "v", Outcome: outcome, Revision: revision}
	}
	read := func(from, to int, revision uint64, value string) Operation {
		return Operation{Object: "o", Read: true, Invoked: at(from), Answered: at(to), Revision: revision, Value: value}
	}
	tests := []struct {
		name    string
		ops     []Operation
		wantErr bool
	}{
		{"refused for another reason", []Operation{change(0, 10, 0, "invalid", 0)}, true},
		{"one of two changes accepted", []Operation{change(0, 10, 0, Accepted, 3), change(0, 10, 0, Conflict, 3)}, false},
		{"both changes accepted", []Operation{change(0, 10, 0, Accepted, 3), change(0, 10, 0, Accepted, 4)}, true},
		{"both changes in conflict", []Operation{change(0, 10, 0, Conflict, 3), change(0, 10, 0, Conflict, 3)}, true},
		{"read returns the change", []Operation{change(0, 10, 0, Accepted, 3), read(11, 20, 3, "v")}, false},
		{"later read without the change", []Operation{change(0, 10, 0, Accepted, 3), read(11, 20, 0, "")}, true},
		{"concurrent read without the change", []Operation{change(0, 10, 0, Accepted, 3), read(5, 20, 0, "")}, false},
		{"second read returns an older revision", []Operation{change(0, 50, 0, Accepted, 3), read(1, 10, 3, "v"), read(11, 20, 0, "")}, true},
		{"change of unknown outcome took effect", []Operation{change(0, 10, 0, Unknown, 0), read(11, 20, 5, "v")}, false},
		{"change of unknown outcome took effect later", []Operation{change(0, 10, 0, Unknown, 0), read(11, 20, 0, ""), read(21, 30, 5, "v")}, false},
		{"change of unknown outcome took effect and was lost", []Operation{change(0, 10, 0, Unknown, 0), read(11, 20, 5, "v"), read(21, 30, 0, "")}, true},
		{"change after one of unknown outcome", []Operation{change(0, 10, 0, Unknown, 0), change(11, 20, 5, Accepted, 6), read(21, 30, 6, "v")}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := Linearizable(test.ops)
			assert.Equal(t, err != nil, test.wantErr, "%v", err)
		})
	}
}

// Guards against a check that accepts a command that was applied twice.
func TestAppliedOnce(t *testing.T) {
	assert.NilError(t, AppliedOnce([]string{"a", "b"}))
	assert.ErrorContains(t, AppliedOnce([]string{"a", "b", "a"}), "applied twice")
}
