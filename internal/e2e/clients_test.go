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
	// firstByteTimeout is the time without a first byte after which a caller cancels a
	// call. It exceeds the 10 s for which a request may wait for an engine.
	firstByteTimeout = 15 * time.Second
	// idleTimeout is the time without further bytes after which a caller cancels a
	// stream. It then resumes the stream at a random entry.
	idleTimeout = 4 * time.Second
	// maxResumes bounds the attempts of a caller to resume one stream.
	maxResumes = 5
	// maxOrderAttempts bounds the attempts at one order.
	maxOrderAttempts = 8
)

// load describes the clients of a workload.
type load struct {
	// callers is the number of clients that request completions, orders the number that
	// send orders ([history.Order]), and operators the number that read and change
	// objects of the configuration.
	callers, orders, operators int
	// maxTokens is the greatest number of tokens of an answer; default 40.
	maxTokens int
	// maxPause is the greatest pause of a client between two calls; default 60 ms.
	maxPause time.Duration
	// model is the model name in the requests; default guide.
	model string
	// entries are the entries that the clients use; default all.
	entries []*node
}

// workload is a set of running clients and the histories that they recorded.
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

// startWorkload starts clients. Each has its own random source, derived from the seed.
func (c *cluster) startWorkload(l load) *workload {
	w := &workload{c: c}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	c.t.Cleanup(w.stop)
	if l.maxTokens == 0 {
		l.maxTokens = 40
	}
	if l.maxPause == 0 {
		l.maxPause = 60 * time.Millisecond
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
	}{{"caller", l.callers, (*client).callLoop}, {"order", l.orders, (*client).orderLoop}, {"operator", l.operators, (*client).changeLoop}} {
		for range kind.count {
			n++
			start(n, fmt.Sprintf("%s-%d", kind.name, n), kind.run)
		}
	}
	for _, e := range c.entries {
		w.wg.Go(func() { w.sampleView(e) })
	}
	return w
}

// stop stops the clients and waits until their current calls have ended.
func (w *workload) stop() {
	w.cancel()
	w.wg.Wait()
}

// sampleView samples an entry's view every 50 ms until the workload stops.
func (w *workload) sampleView(e *node) {
	for w.ctx.Err() == nil {
		sampledAt := time.Now()
		if v, err := readVars(e); err == nil {
			s := history.Sample{Entry: e.name, At: sampledAt, Revision: v.Revision, Age: time.Duration(v.AgeMS) * time.Millisecond}
			w.mu.Lock()
			w.samples = append(w.samples, s)
			w.mu.Unlock()
		}
		time.Sleep(50 * time.Millisecond) // Separate processes have no virtual clock.
	}
}

// client is one caller or operator of a workload.
type client struct {
	*workload
	load
	name   string
	number int
	random *rand.Rand
	http   *http.Client
}

func (c *client) randomEntry() *node { return c.entries[c.random.IntN(len(c.entries))] }

func (c *client) pauseBetweenCalls() {
	select {
	case <-c.ctx.Done():
	case <-time.After(time.Duration(c.random.Int64N(int64(c.maxPause)))):
	}
}

func (c *client) callLoop() {
	for c.ctx.Err() == nil {
		call := c.complete(c.randomEntry(), c.random.IntN(2) == 0, 1+c.random.IntN(c.maxTokens))
		c.mu.Lock()
		c.calls = append(c.calls, call)
		c.mu.Unlock()
		c.pauseBetweenCalls()
	}
}

// complete makes one call and waits for its end. It resumes an interrupted stream.
func (c *client) complete(e *node, stream bool, length int) history.Call {
	call := history.Call{Client: c.name, Entry: e.name, Model: c.model, Stream: stream, Length: length, Invoked: time.Now()}
	body, _ := json.Marshal(map[string]any{
		"model": c.model, "prompt": fmt.Sprintf("%s asks %d", c.name, c.random.Uint32()), "stream": stream, "test_length": length,
	})
	r, _ := http.NewRequest(http.MethodPost, "http://"+e.listenAddress+"/v1/completions", bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	resumeToken := c.sendAndRead(&call, r)
	for n := 0; n < maxResumes && call.InterruptedBy != "" && resumeToken != ""; n++ {
		time.Sleep(100 * time.Millisecond) // Other entries detect a killed entry only after a delay.
		resumeEntry := c.randomEntry()
		r, _ := http.NewRequest(http.MethodGet, "http://"+resumeEntry.listenAddress+"/v1/generations/resume", nil)
		r.Header.Set("Last-Event-ID", resumeToken)
		resumed := history.Call{Stream: true}
		if id := c.sendAndRead(&resumed, r); id != "" {
			resumeToken = id
		}
		call.Frames = append(call.Frames, resumed.Frames...)
		call.Done, call.Kind, call.Ran, call.InterruptedBy = resumed.Done, resumed.Kind, resumed.Ran, resumed.InterruptedBy
		if resumed.Status != http.StatusOK && resumed.Ran != serving.DidRun {
			call.InterruptedBy = "resume refused: " + string(resumed.Kind) // Retried at another entry.
		}
	}
	call.Answered = time.Now()
	return call
}

// sendAndRead sends a request and reads its answer into call. It returns the resume
// token of the last frame, or "" if there is none.
func (c *client) sendAndRead(call *history.Call, r *http.Request) (resumeToken string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timeout := time.AfterFunc(firstByteTimeout, cancel)
	defer timeout.Stop()
	r = r.WithContext(ctx)
	r.Header.Set("Authorization", "Bearer "+callerKey)
	res, err := c.http.Do(r)
	if err != nil {
		call.InterruptedBy = err.Error()
		return ""
	}
	defer res.Body.Close()
	call.Status = res.StatusCode
	if id := res.Header.Get("X-Request-Id"); id != "" {
		call.RequestID = serving.RequestID(id)
	}
	if res.Header.Get("Content-Type") == "text/event-stream" {
		return readStream(call, res.Body, func() { timeout.Reset(idleTimeout) })
	}
	b, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
		call.InterruptedBy = err.Error()
	case res.StatusCode != http.StatusOK:
		readErrorBody(b, &call.Kind, &call.Ran)
	default:
		var a struct {
			RequestID    serving.RequestID    `json:"request_id"`
			GenerationID serving.GenerationID `json:"generation_id"`
			Text         string               `json:"text"`
			Tokens       int                  `json:"tokens"`
		}
		if err := json.Unmarshal(b, &a); err != nil {
			call.InterruptedBy = err.Error()
			break
		}
		call.Done, call.Generation, call.Text, call.Tokens = true, a.GenerationID, a.Text, a.Tokens
		if a.RequestID != call.RequestID {
			// No token belongs to this id, so the check of P4 fails and shows both ids.
			call.RequestID = "header " + call.RequestID + ", body " + a.RequestID
		}
	}
	return ""
}

// readErrorBody sets kind and ran from an error body. Kind is "no error body" if there
// is none.
func readErrorBody(b []byte, kind *serving.Kind, ran *serving.Ran) {
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

// readStream reads server-sent events. For a stream that ends cleanly without an end
// mark it sets neither Done nor an error.
func readStream(call *history.Call, body io.Reader, progress func()) (resumeToken string) {
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
			readErrorBody([]byte(data), &call.Kind, &call.Ran)
		default:
			var f generation.Frame
			if err := json.Unmarshal([]byte(data), &f); err != nil {
				continue // A broken connection can truncate its last line.
			}
			call.Frames = append(call.Frames, f)
			resumeToken = id
		}
	}
	if err := scanner.Err(); err != nil {
		call.InterruptedBy = err.Error()
	}
	return resumeToken
}

// orderLoop sends orders. It resends each one, with the same key, until it succeeds or
// maxOrderAttempts is reached.
func (c *client) orderLoop() {
	for n := 0; c.ctx.Err() == nil; n++ {
		key := fmt.Sprintf("%s.%d", c.name, n)
		for range maxOrderAttempts {
			o := c.sendOrder(key)
			c.mu.Lock()
			c.workload.orders = append(c.workload.orders, o)
			c.mu.Unlock()
			if o.Status == http.StatusOK {
				break
			}
			time.Sleep(time.Duration(50+c.random.IntN(300)) * time.Millisecond) // Limits the rate of resends.
		}
		c.pauseBetweenCalls()
	}
}

func (c *client) sendOrder(key string) history.Order {
	e := c.randomEntry()
	o := history.Order{Client: c.name, Account: account, Key: key, Entry: e.name, Invoked: time.Now()}
	defer func() { o.Answered = time.Now() }()
	// A quarter of the attempts has a time limit of 5 to 34 ms, so that answers get
	// lost and orders are resent while they run.
	timeout := 6 * time.Second
	if c.random.IntN(4) == 0 {
		timeout = time.Duration(5+c.random.IntN(30)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.listenAddress+"/v1/services/counter/orders", strings.NewReader(`{"mallets": 40}`))
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Idempotency-Key", key)
	r.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(r)
	if err != nil {
		o.InterruptedBy = err.Error()
		return o
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
		o.InterruptedBy = err.Error()
	case res.StatusCode != http.StatusOK:
		o.Status = res.StatusCode
		readErrorBody(b, &o.Kind, &o.Ran)
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

// contestedObjects is the number of objects that the operators of a workload change
// concurrently. The objects are client accounts; the value of an operation is the
// account's max_in_progress.
const contestedObjects = 2

// changeLoop reads an object and changes it with the revision that it read as the
// expected one, so that changes of several operators often conflict. A third of the
// changes is first sent with a time limit of a few milliseconds, so that answers get
// lost, and then resent at a random replica.
func (c *client) changeLoop() {
	for n := 0; c.ctx.Err() == nil; n++ {
		object := fmt.Sprintf("contested-%d", c.random.IntN(contestedObjects))
		revision, ok := c.readObject(object)
		if !ok {
			c.pauseBetweenCalls()
			continue
		}
		c.changeObject(object, revision, fmt.Sprint(c.number*100_000+n), c.random.IntN(3) == 0)
		c.pauseBetweenCalls()
	}
}

func (c *client) randomControl() *node { return c.c.controls[c.random.IntN(len(c.c.controls))] }

// operatorClient returns a client that calls one replica and follows its hints to the
// leader.
func operatorClient(n *node, timeout time.Duration) *rpc.Client {
	return &rpc.Client{Addresses: []string{n.address}, Key: operatorKey, Timeout: timeout, AttemptTimeout: time.Second}
}

func (c *client) recordOperation(op history.Operation) {
	op.Answered = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ops = append(c.ops, op)
}

func (c *client) readObject(object string) (uint64, bool) {
	op := history.Operation{Operator: c.number, Object: object, Read: true, Invoked: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	res, err := operatorClient(c.randomControl(), 0).Read(ctx, &schema.ReadRequest{Kind: schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, Name: object})
	switch {
	case serving.KindOf(err) == serving.KindNotFound && err != nil:
		// An object that does not exist yet has revision 0 and no value.
	case err != nil || len(res.GetObjects()) != 1:
		return 0, false
	default:
		o := res.Objects[0]
		op.Revision, op.Value = o.Revision, fmt.Sprint(o.GetClientAccount().GetMaxInProgress())
	}
	c.recordOperation(op)
	return op.Revision, true
}

func (c *client) changeObject(object string, expected uint64, value string, loseAnswer bool) {
	op := history.Operation{Operator: c.number, Object: object, Expected: expected, Value: value, Outcome: history.Unknown, Invoked: time.Now()}
	o := accountObject(1)
	o.Kind, o.Id = schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, object
	_, _ = fmt.Sscan(value, &o.GetClientAccount().MaxInProgress)
	change := &schema.Change{
		CommandId: object + "-" + value, ExpectedRevision: expected, IssuedAtMs: time.Now().UnixMilli(),
		Action: &schema.Change_Put{Put: o},
	}
	if loseAnswer {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+c.random.IntN(8))*time.Millisecond)
		_, _ = operatorClient(c.randomControl(), 0).Apply(ctx, change)
		cancel()
	}
	for range 4 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		res, err := operatorClient(c.randomControl(), 0).Apply(ctx, change)
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
	c.recordOperation(op)
}
