package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/completion"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
)

// Parts of the prompts in these tests. crashing crashes engines, and the prompts with it
// share the other parts with sound prompts.
const (
	system   quarantine.Part = 0xa1
	document quarantine.Part = 0xb2
	crashing quarantine.Part = 0xdead
	other    quarantine.Part = 0xc3
)

// event is one report to the evidence.
type event struct {
	at time.Duration
	// lost is the engine with which a call with parts was lost, sound marks parts with
	// which an answer began, and alive is an engine that sent a heartbeat.
	lost  string
	sound bool
	alive string
	parts []quarantine.Part
	// request is the id of the lost request; each event is of another one if it is empty.
	request string
	process completion.Process
}

func lost(at time.Duration, engine string, parts ...quarantine.Part) event {
	return event{at: at, lost: engine, parts: parts}
}

func (e event) after(p completion.Process) event {
	e.process = p
	return e
}

func (e event) of(request string) event {
	e.request = request
	return e
}

func sound(at time.Duration, parts ...quarantine.Part) event {
	return event{at: at, sound: true, parts: parts}
}

func alive(at time.Duration, engine string) event { return event{at: at, alive: engine} }

func collect(events []event) *quarantine.Evidence {
	e := &quarantine.Evidence{}
	for i, ev := range events {
		switch {
		case ev.lost != "":
			if ev.request == "" {
				ev.request = fmt.Sprint("r", i)
			}
			e.Lost(ev.at, quarantine.LostCall{Request: serving.RequestID(ev.request), Engine: serving.EngineID(ev.lost), EngineStarted: 1, Parts: ev.parts, At: ev.at, Process: ev.process}, true)
		case ev.alive != "":
			e.Alive(serving.EngineID(ev.alive), 1, ev.at)
		default:
			for _, part := range ev.parts {
				e.Sound(quarantine.SoundPart{Part: part, At: ev.at}, true)
			}
		}
	}
	return e
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against parts that crash engines and are not blocked in time, and against
// blocking parts for which the losses are explained by something else.
func TestFind(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events []event
		// at is when the evidence is evaluated, and want the block that is due then; nil
		// means none.
		at   time.Duration
		want []quarantine.Part
	}{
		{"one loss", []event{lost(0, "e1", system, crashing)}, seconds(60), nil},
		{"two losses with one engine", []event{lost(0, "e1", crashing), lost(seconds(1), "e1", crashing)}, seconds(60), nil},
		{"two losses at the same time, as after a loss of power", []event{lost(0, "e1", crashing), lost(seconds(0.2), "e2", crashing)}, seconds(60), nil},
		{"two losses: heartbeats may still come", []event{lost(0, "e1", crashing), lost(seconds(1), "e2", crashing)}, seconds(3), nil},
		{"two losses", []event{lost(0, "e1", crashing), lost(seconds(1), "e2", crashing)}, seconds(3.5), []quarantine.Part{crashing}},
		{"three losses need no further wait", []event{lost(0, "e1", crashing), lost(seconds(1), "e2", crashing), lost(seconds(2), "e3", crashing)}, seconds(2.5), []quarantine.Part{crashing}},
		{"two losses, both processes ended", []event{lost(0, "e1", crashing).after(completion.Ended), lost(seconds(1), "e2", crashing).after(completion.Ended)}, seconds(1.3), []quarantine.Part{crashing}},
		{"two losses, one process ended", []event{lost(0, "e1", crashing).after(completion.Ended), lost(seconds(1), "e2", crashing).after(completion.Unreachable)}, seconds(3), nil},
		{"three losses, the processes run: heartbeats may still come", []event{lost(0, "e1", crashing).after(completion.Running), lost(seconds(1), "e2", crashing).after(completion.Running), lost(seconds(2), "e3", crashing).after(completion.Running)},
			seconds(4), nil},
		{"one request, lost with one engine after the other", []event{lost(0, "e1", crashing).of("a").after(completion.Ended), lost(seconds(0.1), "e2", crashing).of("a").after(completion.Ended)}, seconds(0.4), []quarantine.Part{crashing}},
		{"two requests, lost at the same time", []event{lost(0, "e1", crashing).after(completion.Ended), lost(seconds(0.1), "e2", crashing).after(completion.Ended)}, seconds(60), nil},
		{"the other parts were sound since", []event{lost(0, "e1", system, document, crashing), lost(seconds(1), "e2", system, document, crashing), sound(seconds(1.1), system), sound(seconds(0.5), document)},
			seconds(4), []quarantine.Part{crashing}},
		{"parts that were always lost together", []event{lost(0, "e1", system, crashing), lost(seconds(1), "e2", system, crashing)}, seconds(4), []quarantine.Part{system, crashing}},
		{"the other part differs", []event{lost(0, "e1", system, crashing), lost(seconds(1), "e2", other, crashing)}, seconds(4), []quarantine.Part{crashing}},
		{"an answer began since", []event{lost(0, "e1", crashing), lost(seconds(1), "e2", crashing), sound(seconds(1.2), crashing)}, seconds(60), nil},
		{"an answer began between two losses", []event{lost(0, "e1", crashing), sound(seconds(0.5), crashing), lost(seconds(1), "e2", crashing)}, seconds(60), nil},
		{"an engine that is alive did not crash", []event{lost(0, "e1", crashing), lost(seconds(1), "e2", crashing), alive(seconds(2), "e1")}, seconds(60), nil},
		{"a heartbeat from before the crash arrives late", []event{lost(0, "e1", crashing), alive(seconds(0.3), "e1"), lost(seconds(1), "e2", crashing)}, seconds(4), []quarantine.Part{crashing}},
		{"a bystander at one of the engines", []event{lost(0, "e1", crashing), lost(0, "e1", other), lost(seconds(1), "e2", crashing)}, seconds(4), []quarantine.Part{crashing}},
		{"a bystander at all engines: undecided", []event{lost(0, "e1", crashing), lost(0, "e1", other), lost(seconds(1), "e2", crashing), lost(seconds(1), "e2", other)}, seconds(60), nil},
		{"a bystander at all engines that was sound before", []event{sound(0, other), lost(seconds(1), "e1", crashing), lost(seconds(1), "e1", other), lost(seconds(2), "e2", crashing), lost(seconds(2), "e2", other), sound(0, other)},
			seconds(60), []quarantine.Part{crashing}},
		{"a part that was sound before needs five losses", []event{sound(0, crashing), lost(seconds(1), "e1", crashing), sound(0, crashing), lost(seconds(2), "e2", crashing), lost(seconds(3), "e3", crashing), lost(seconds(4), "e4", crashing)}, seconds(60), nil},
		{"five losses of a part that was sound before", []event{lost(seconds(1), "e1", crashing), sound(0, crashing), lost(seconds(2), "e2", crashing), lost(seconds(3), "e3", crashing), lost(seconds(4), "e4", crashing), lost(seconds(5), "e5", crashing)},
			seconds(5.5), []quarantine.Part{crashing}},
		{"the other part was sound before", []event{lost(seconds(1), "e1", system, crashing), sound(0, system), lost(seconds(2), "e2", system, crashing)}, seconds(5), []quarantine.Part{crashing}},
		{"all engines go silent, noticed within a second", []event{sound(0, system, other),
			lost(seconds(1), "e1", system), lost(seconds(1), "e2", other), lost(seconds(1.3), "e3", system), lost(seconds(1.3), "e4", other), sound(0, system, other),
			lost(seconds(1.6), "e5", system), lost(seconds(1.6), "e6", other), lost(seconds(1.9), "e7", system), lost(seconds(1.9), "e8", other)}, seconds(60), nil},
		{"losses that are long past", []event{lost(0, "e1", crashing), lost(seconds(700), "e2", crashing)}, seconds(703), nil},
		{"calls without shared parts", []event{lost(0, "e1"), lost(seconds(1), "e2")}, seconds(60), nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, ok := collect(tc.events).Find(tc.at, nil)
			assert.Equal(t, ok, tc.want != nil, "%+v", f)
			if ok {
				assert.DeepEqual(t, f.Block, quarantine.NewBlock(tc.want))
			}
		})
	}
}

// Guards against a call that counts as another one: of another account, with fields that
// are divided differently, or as a prompt part that a caller chose.
func TestHashCall(t *testing.T) {
	call := quarantine.HashCall("a", "GET", "h", "/x", []byte("b"))
	assert.Equal(t, call, quarantine.HashCall("a", "GET", "h", "/x", []byte("b")))
	for _, other := range []quarantine.Part{
		quarantine.HashCall("b", "GET", "h", "/x", []byte("b")),
		quarantine.HashCall("", "aGET", "h", "/x", []byte("b")),
		quarantine.HashCall("a", "GET", "h", "/xb", nil),
		quarantine.HashCall("a", "POST", "h", "/x", []byte("b")),
		quarantine.HashCall("a", "GET", "h", "/x", []byte("c")),
		quarantine.Shareable([]serving.PromptPart{{Hash: uint64(call)}, {}})[0],
	} {
		assert.Assert(t, call != other)
	}
}

// Guards against suspects of which an answer is never reported because there are too many
// of the other kind.
func TestSuspectsOfBothKinds(t *testing.T) {
	e := &quarantine.Evidence{}
	call := quarantine.HashCall("a", "GET", "h", "/x", nil)
	for i := range 10 {
		parts := []quarantine.Part{call + quarantine.Part(i)}
		for k := range 100 {
			parts = append(parts, quarantine.Part(100*i+k))
		}
		e.Lost(0, quarantine.LostCall{Request: serving.RequestID(fmt.Sprint(i)), Engine: "e", Parts: parts}, true)
	}
	suspects := e.Suspects(0, nil)
	for i := range 10 {
		assert.Assert(t, slices.Contains(suspects, call+quarantine.Part(i)))
	}
	assert.Equal(t, len(suspects), 256+10)
}

// Guards against a block of several parts that lets through the part among them that
// crashes engines, when it comes with other parts.
func TestNarrowerBlockAfterOneMoreLoss(t *testing.T) {
	e := collect([]event{lost(0, "e1", system, crashing), lost(seconds(1), "e2", system, crashing)})
	first, ok := e.Find(seconds(4), nil)
	assert.Assert(t, ok)
	blocks := quarantine.NewBlocklist([]quarantine.Block{first.Block})
	assert.Assert(t, blocks.Match([]quarantine.Part{other, crashing}) == nil)
	assert.Assert(t, blocks.Match([]quarantine.Part{system, other}) == nil)
	e.Lost(seconds(5), quarantine.LostCall{Request: "x", Engine: "e3", Parts: []quarantine.Part{other, crashing}, At: seconds(5)}, true)
	second, ok := e.Find(seconds(5.5), blocks)
	assert.Assert(t, ok)
	assert.DeepEqual(t, second.Block, quarantine.Block{crashing})
}

// Guards against a sound part that is blocked because its calls waited at engines that
// another part crashed.
func TestBystandersAreExplainedByBlock(t *testing.T) {
	var events []event
	for i := range 6 {
		at, engine := seconds(float64(i)), fmt.Sprint("e", i)
		events = append(events, lost(at, engine, crashing), lost(at, engine, other))
	}
	events = append(events, lost(seconds(6), "e6", crashing))
	e := collect(events)
	f, ok := e.Find(seconds(7), nil)
	assert.Assert(t, ok)
	assert.DeepEqual(t, f.Block, quarantine.Block{crashing})
	blocks := quarantine.NewBlocklist([]quarantine.Block{f.Block})
	_, ok = e.Find(seconds(60), blocks)
	assert.Assert(t, !ok)
	assert.Equal(t, len(e.Suspects(seconds(60), blocks)), 0)
}

// Load pattern: an engine crashes for each call with one part; calls with many other
// parts wait at the same engines and succeed at others. Guards against any other part
// that is blocked, and against more losses than it takes to tell the parts apart.
func TestCrashingPartAmongManySoundOnes(t *testing.T) {
	for seed := range 20 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			e := &quarantine.Evidence{}
			var blocks *quarantine.Blocklist
			losses := 0
			for i := 0; i < 40 && blocks == nil; i++ {
				at := seconds(0.7 * float64(i))
				engine := serving.EngineID(fmt.Sprint("e", i))
				guilty := []quarantine.Part{system + quarantine.Part((i+seed)%3), crashing}
				e.Lost(at, quarantine.LostCall{Request: serving.RequestID(fmt.Sprint("g", i)), Engine: engine, Parts: guilty, At: at}, true)
				losses++
				for k := range 4 {
					bystander := []quarantine.Part{system + quarantine.Part(k%3), 0x1000 + quarantine.Part((i*7+k*5+seed)%30)}
					e.Lost(at, quarantine.LostCall{Request: serving.RequestID(fmt.Sprint("b", i, "-", k)), Engine: engine, Parts: bystander, At: at}, true)
				}
				for k := range 6 {
					after := at + seconds(0.1*float64(k))
					e.Sound(quarantine.SoundPart{Part: system + quarantine.Part(k%3), At: after}, true)
					e.Sound(quarantine.SoundPart{Part: 0x1000 + quarantine.Part((i*5+k*11+seed)%30), At: after}, true)
				}
				if f, ok := e.Find(at+seconds(0.65), blocks); ok {
					assert.DeepEqual(t, f.Block, quarantine.Block{crashing})
					blocks = quarantine.NewBlocklist([]quarantine.Block{f.Block})
				}
			}
			assert.Assert(t, blocks != nil)
			assert.Assert(t, losses < 5, "%d engines were lost", losses)
		})
	}
}

// Guards against a call that is repeated although it crashes each engine it is sent to, and
// against a sound call that isn't repeated because another one crashed its engine.
func TestRepeated(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events []event
		parts  []quarantine.Part
		want   bool
	}{
		{"lost once", []event{lost(0, "e1", system, crashing)}, []quarantine.Part{system, crashing}, false},
		{"lost with two engines", []event{lost(0, "e1", system, crashing), lost(0, "e2", other, crashing)}, []quarantine.Part{system, crashing}, true},
		{"shares only a sound part", []event{lost(0, "e1", system, crashing), lost(0, "e2", system, crashing), sound(0, system)}, []quarantine.Part{system, other}, false},
		{"the engines are alive", []event{lost(0, "e1", crashing), lost(0, "e2", crashing), alive(seconds(1), "e1")}, []quarantine.Part{crashing}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, collect(tc.events).Repeated(tc.parts), tc.want)
		})
	}
}

// Guards against state that grows with the number of reports.
func TestEvidenceIsBounded(t *testing.T) {
	const reports = 2000
	e := &quarantine.Evidence{}
	o := &quarantine.Observer{}
	for i := range reports {
		at := time.Duration(i) * time.Millisecond
		part := quarantine.Part(i)
		call := quarantine.LostCall{Request: serving.RequestID(fmt.Sprint(i)), Engine: "e", Parts: []quarantine.Part{part}, At: at}
		e.Lost(at, call, true)
		e.Sound(quarantine.SoundPart{Part: part, At: at - time.Second}, true)
		o.Lost(at, call)
	}
	lost, _, cursor := e.Direct(seconds(2), 0)
	assert.Assert(t, len(lost) <= 64, "%d lost calls in a report", len(lost))
	lost, _, _ = e.Direct(seconds(2), cursor)
	assert.Equal(t, len(lost), 0, "reported twice")
	assert.Assert(t, len(e.Suspects(seconds(2), nil)) <= 256)
	assert.Assert(t, len(o.Report(seconds(2))) <= 64)
	assert.Equal(t, len(o.Report(seconds(60))), 0)
	long := make([]serving.PromptPart, 5000)
	assert.Equal(t, len(quarantine.Shareable(long)), 128)
}

// Guards against an answer that began in another generation of the observer's memory and
// is not reported.
func TestObserverReportsSoundParts(t *testing.T) {
	o := &quarantine.Observer{}
	o.Sound(seconds(1), []quarantine.Part{system, other})
	for i := range 5000 {
		o.Sound(seconds(2), []quarantine.Part{0x10000 + quarantine.Part(i)})
	}
	assert.DeepEqual(t, o.SoundAmong([]quarantine.Part{system, crashing}), []quarantine.SoundPart{{Part: system, At: seconds(1)}})
}

// BenchmarkFind evaluates as many lost calls with as many parts as an Evidence holds.
func BenchmarkFind(b *testing.B) {
	const calls, parts = 512, 128
	e := &quarantine.Evidence{}
	for i := range calls {
		prompt := make([]quarantine.Part, parts)
		for k := range prompt {
			prompt[k] = quarantine.Part(k * (1 + i%8*k/parts))
		}
		at := time.Duration(i) * time.Second / 2
		e.Lost(at, quarantine.LostCall{Request: serving.RequestID(fmt.Sprint(i)), Engine: serving.EngineID(fmt.Sprint(i)), Parts: prompt, At: at}, true)
	}
	for b.Loop() {
		_, _ = e.Find(calls*time.Second/2, nil)
	}
}
