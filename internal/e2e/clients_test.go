package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"turmericdrum.org/turmericdrum/internal/e2e/history"
	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

const (
	// firstLimit is the time without a first byte after which a caller gives a call
	// up; requests wait for an engine for up to 10 s.
	firstLimit = 15 * time.Second
	// idleLimit is the time without further bytes after which a caller gives a
	// stream up; it then resumes it at another entry.
	idleLimit = 4 * time.Second
	// maxResumes bounds the resumptions of one stream by its caller.
	maxResumes = 5
	// maxResends bounds the attempts at one order.
	maxResends = 8
)

// load says which clients a workload has.
type load struct {
	callers, orders, operators int
	// length is the greatest number of tokens of an answer.
	length int
	// pause is the greatest pause of a client between two calls.
	pause time.Duration
	// model is the name under which callers ask; default guide.
	model string
	// entries limits the entries that callers use; default all.
	entries []*node
}

// workload is a set of running clients and what they recorded.
type workload struct {
	c      *cluster
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	calls   []history.Call
	orders  []history.Order
	ops     []history.Operation
	samples []history.Sample
}

// begin starts clients; each draws from a random source of its own.
func (c *cluster) begin(l load) *workload {
	w := &workload{c: c}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	c.t.Cleanup(w.stop)
	if l.length == 0 {
		l.length = 40
	}
	if l.pause == 0 {
		l.pause = 60 * time.Millisecond
	}
	if l.model == "" {
		l.model = "guide"
	}
	if l.entries == nil {
		l.entries = c.entries
	}
	start := func(n int, name string, run func(*client)) {
		w.wg.Go(func() {
			run(&client{workload: w, load: l, name: name, number: n, random: c.random(uint64(n)), http: &http.Client{Transport: &http.Transport{}}})
		})
	}
	n := 0
	for _, kind := range []struct {
		name  string
		count int
		run   func(*client)
	}{{"caller", l.callers, (*client).callLoop}, {"order", l.orders, (*client).orderLoop}, {"operator", l.operators, (*client).operateLoop}} {
		for range kind.count {
			n++
			start(n, fmt.Sprintf("%s-%d", kind.name, n), kind.run)
		}
	}
	for _, e := range c.entries {
		w.wg.Go(func() { w.sample(e) })
	}
	return w
}

// stop ends the clients after their current calls.
func (w *workload) stop() {
	w.cancel()
	w.wg.Wait()
}

// sample looks at an entry's view again and again.
func (w *workload) sample(e *node) {
	for w.ctx.Err() == nil {
		asked := time.Now()
		if v, err := readVars(e); err == nil {
			s := history.Sample{Entry: e.name, At: asked, Revision: v.Revision, Age: time.Duration(v.AgeMS) * time.Millisecond}
			w.mu.Lock()
			w.samples = append(w.samples, s)
			w.mu.Unlock()
		}
		time.Sleep(50 * time.Millisecond) // Real processes: there is no virtual clock to wait on.
	}
}

// client is one client of a workload.
type client struct {
	*workload
	load
	name   string
	number int
	random *rand.Rand
	http   *http.Client
}

func (c *client) entry() *node { return c.entries[c.random.IntN(len(c.entries))] }

func (c *client) rest() {
	select {
	case <-c.ctx.Done():
	case <-time.After(time.Duration(c.random.Int64N(int64(c.pause)))):
	}
}

func (c *client) callLoop() {
	for c.ctx.Err() == nil {
		call := c.complete(c.entry(), c.random.IntN(2) == 0, 1+c.random.IntN(c.length))
		c.mu.Lock()
		c.calls = append(c.calls, call)
		c.mu.Unlock()
		c.rest()
	}
}

// complete makes one call to its end, with resumptions if it is a stream.
func (c *client) complete(e *node, stream bool, length int) history.Call {
	call := history.Call{Client: c.name, Entry: e.name, Model: c.model, Stream: stream, Length: length, Invoked: time.Now()}
	body, _ := json.Marshal(map[string]any{
		"model": c.model, "prompt": fmt.Sprintf("%s asks %d", c.name, c.random.Uint32()), "stream": stream, "test_length": length,
	})
	r, _ := http.NewRequest(http.MethodPost, "http://"+e.real+"/v1/completions", bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	last := c.read(&call, r)
	for n := 0; n < maxResumes && call.Broken != "" && last != ""; n++ {
		time.Sleep(100 * time.Millisecond) // Real processes: an entry that was killed has to be noticed.
		other := c.entry()
		r, _ := http.NewRequest(http.MethodGet, "http://"+other.real+"/v1/generations/resume", nil)
		r.Header.Set("Last-Event-ID", last)
		again := history.Call{Stream: true}
		if id := c.read(&again, r); id != "" {
			last = id
		}
		call.Frames = append(call.Frames, again.Frames...)
		call.Done, call.Kind, call.Ran, call.Broken = again.Done, again.Kind, again.Ran, again.Broken
		if again.Status != http.StatusOK && again.Ran != serving.DidRun {
			call.Broken = "resume refused: " + string(again.Kind) // Another entry may do better.
		}
	}
	call.Answered = time.Now()
	return call
}

// read sends a request and reads its answer into call; it returns the last resume token.
func (c *client) read(call *history.Call, r *http.Request) (last string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	idle := time.AfterFunc(firstLimit, cancel)
	defer idle.Stop()
	r = r.WithContext(ctx)
	r.Header.Set("Authorization", "Bearer "+callerKey)
	res, err := c.http.Do(r)
	if err != nil {
		call.Broken = err.Error()
		return ""
	}
	defer res.Body.Close()
	call.Status = res.StatusCode
	if id := res.Header.Get("X-Request-Id"); id != "" {
		call.RequestID = serving.RequestID(id)
	}
	if res.Header.Get("Content-Type") == "text/event-stream" {
		return readStream(call, res.Body, func() { idle.Reset(idleLimit) })
	}
	b, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
		call.Broken = err.Error()
	case res.StatusCode != http.StatusOK:
		readRefusal(b, &call.Kind, &call.Ran)
	default:
		var a struct {
			RequestID    serving.RequestID    `json:"request_id"`
			GenerationID serving.GenerationID `json:"generation_id"`
			Text         string               `json:"text"`
			Tokens       int                  `json:"tokens"`
		}
		if err := json.Unmarshal(b, &a); err != nil {
			call.Broken = err.Error()
			break
		}
		call.Done, call.Generation, call.Text, call.Tokens = true, a.GenerationID, a.Text, a.Tokens
		if a.RequestID != call.RequestID {
			call.RequestID = "header " + call.RequestID + ", body " + a.RequestID
		}
	}
	return ""
}

func readRefusal(b []byte, kind *serving.Kind, ran *serving.Ran) {
	var a struct {
		Error struct {
			Kind serving.Kind `json:"kind"`
			Ran  serving.Ran  `json:"ran"`
		} `json:"error"`
	}
	if json.Unmarshal(b, &a) != nil || a.Error.Kind == "" {
		a.Error.Kind = "no error body"
	}
	*kind, *ran = a.Error.Kind, a.Error.Ran
}

// readStream reads server-sent events; a stream that ends cleanly without an end
// mark has neither Done nor an error.
func readStream(call *history.Call, body io.Reader, progress func()) (last string) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	isError, id := false, ""
	for scanner.Scan() {
		progress()
		line := scanner.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id = v
		}
		isError = isError || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			call.Done = true
		case isError:
			readRefusal([]byte(data), &call.Kind, &call.Ran)
		default:
			var f generation.Frame
			if err := json.Unmarshal([]byte(data), &f); err != nil {
				continue // The last line of a connection that broke.
			}
			call.Frames = append(call.Frames, f)
			last = id
		}
	}
	if err := scanner.Err(); err != nil {
		call.Broken = err.Error()
	}
	return last
}

// orderLoop makes orders; it resends each one until its outcome is known.
func (c *client) orderLoop() {
	for n := 0; c.ctx.Err() == nil; n++ {
		key := fmt.Sprintf("%s.%d", c.name, n)
		for range maxResends {
			o := c.order(key)
			c.mu.Lock()
			c.workload.orders = append(c.workload.orders, o)
			c.mu.Unlock()
			if o.Status == http.StatusOK {
				break
			}
			time.Sleep(time.Duration(50+c.random.IntN(300)) * time.Millisecond) // Paces the resends.
		}
		c.rest()
	}
}

func (c *client) order(key string) history.Order {
	e := c.entry()
	o := history.Order{Client: c.name, Account: account, Key: key, Entry: e.name, Invoked: time.Now()}
	defer func() { o.Answered = time.Now() }()
	// Some callers give up early, so that answers get lost and orders are resent
	// while they run.
	limit := 6 * time.Second
	if c.random.IntN(4) == 0 {
		limit = time.Duration(5+c.random.IntN(30)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.real+"/v1/services/counter/orders", strings.NewReader(`{"mallets": 40}`))
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Idempotency-Key", key)
	r.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(r)
	if err != nil {
		o.Broken = err.Error()
		return o
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
		o.Broken = err.Error()
	case res.StatusCode != http.StatusOK:
		o.Status = res.StatusCode
		readRefusal(b, &o.Kind, &o.Ran)
	default:
		o.Status, o.Ran = res.StatusCode, serving.DidRun
		var a struct {
			Key string `json:"key"`
		}
		_ = json.Unmarshal(b, &a)
		o.AnswerKey = a.Key
	}
	return o
}

// contested is the number of objects that the operators of a workload race for.
const contested = 2

// operateLoop reads an object and changes it under the revision that it saw, so
// that operators often race with equal numbers. Every third change is sent with a
// time limit that loses its answer, and resent at another replica.
func (c *client) operateLoop() {
	for n := 0; c.ctx.Err() == nil; n++ {
		object := fmt.Sprintf("contested-%d", c.random.IntN(contested))
		seen, ok := c.readObject(object)
		if !ok {
			c.rest()
			continue
		}
		c.changeObject(object, seen, fmt.Sprint(c.number*100_000+n), c.random.IntN(3) == 0)
		c.rest()
	}
}

func (c *client) control() *node { return c.c.controls[c.random.IntN(len(c.c.controls))] }

// operatorClient calls one replica and follows its hints to the leader.
func operatorClient(n *node, timeout time.Duration) *rpc.Client {
	return &rpc.Client{Addresses: []string{n.address}, Key: operatorKey, Timeout: timeout, AttemptTimeout: time.Second}
}

func (c *client) note(op history.Operation) {
	op.Answered = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ops = append(c.ops, op)
}

func (c *client) readObject(object string) (uint64, bool) {
	op := history.Operation{Operator: c.number, Object: object, Read: true, Invoked: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	res, err := operatorClient(c.control(), 0).Read(ctx, &schema.ReadRequest{Kind: schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, Name: object})
	switch {
	case serving.KindOf(err) == serving.KindNotFound && err != nil:
	case err != nil || len(res.GetObjects()) != 1:
		return 0, false
	default:
		o := res.Objects[0]
		op.Revision, op.Value = o.Revision, fmt.Sprint(o.GetClientAccount().GetMaxInProgress())
	}
	c.note(op)
	return op.Revision, true
}

func (c *client) changeObject(object string, expected uint64, value string, lose bool) {
	op := history.Operation{Operator: c.number, Object: object, Expected: expected, Value: value, Outcome: history.Unknown, Invoked: time.Now()}
	o := accountObject(1)
	o.Kind, o.Id = schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, object
	_, _ = fmt.Sscan(value, &o.GetClientAccount().MaxInProgress)
	change := &schema.Change{
		CommandId: object + "-" + value, ExpectedRevision: expected, IssuedAtMs: time.Now().UnixMilli(),
		Action: &schema.Change_Put{Put: o},
	}
	if lose {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+c.random.IntN(8))*time.Millisecond)
		_, _ = operatorClient(c.control(), 0).Apply(ctx, change)
		cancel()
	}
	for range 4 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		res, err := operatorClient(c.control(), 0).Apply(ctx, change)
		cancel()
		if err != nil {
			continue
		}
		switch res.Outcome {
		case schema.Outcome_OUTCOME_ACCEPTED:
			op.Outcome, op.Revision = history.Accepted, res.Revision
		case schema.Outcome_OUTCOME_CONFLICT:
			op.Outcome, op.Revision = history.Conflict, res.Revision
		default:
			op.Outcome = history.Outcome("unexpected " + res.Outcome.String() + " " + res.Message)
		}
		break
	}
	c.note(op)
}
