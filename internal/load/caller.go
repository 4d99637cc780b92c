package load

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// generator sends the calls of one command. All draws are made by one goroutine, so
// that a seed gives the same calls whatever the answers are.
type generator struct {
	*Command
	*plan
	client  *http.Client
	started time.Time
	results *results
}

func newGenerator(c *Command, p *plan) *generator {
	transport := &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute}
	return &generator{Command: c, plan: p, client: &http.Client{Transport: transport}}
}

// request is one drawn call.
type request struct {
	id       int
	at       time.Duration
	entry    string
	account  *callerAccount
	order    bool
	resend   string
	stream   bool
	priority serving.Priority
	length   int
	prompt   string
}

func (g *generator) execute(ctx context.Context) error {
	defer g.client.CloseIdleConnections()
	g.started = time.Now()
	g.results = newResults(g.Command, g.started)
	var calls, steps sync.WaitGroup
	var stepErr error
	steps.Go(func() { stepErr = g.runSteps(ctx) })
	slots := make(chan struct{}, g.MaxInFlight)
	next := g.arrivals.Next(0)
	for id := 0; id < g.MaxCalls && next < g.Duration; id++ {
		q := g.draw(id, next)
		next += g.arrivals.Next(next)
		if !sleepUntil(ctx, g.started.Add(q.at)) {
			break
		}
		select {
		case slots <- struct{}{}:
			calls.Go(func() {
				defer func() { <-slots }()
				g.call(ctx, q)
			})
		default:
			g.results.add(q, &outcome{ended: time.Now(), unsent: true})
		}
	}
	calls.Wait()
	steps.Wait()
	return stepErr
}

// draw draws a call. The number of draws does not depend on their results, so
// that a changed share leaves the other properties of the calls as they were.
func (g *generator) draw(id int, at time.Duration) *request {
	rng := g.random
	x := [6]float64{}
	for i := range x {
		x[i] = rng.Float64()
	}
	account := g.pickAccount(rng)
	prefix, own, length := rng.IntN(max(1, g.Prefixes)), g.prompt.Draw(rng), g.lengths.Draw(rng)
	entries := g.Entries
	q := &request{
		id: id, at: at, account: account, entry: entries[int(x[0]*float64(len(entries)))],
		order: x[1] < g.Orders, stream: x[2] < g.Streamed, priority: serving.PriorityNormal, length: int(length),
	}
	if x[4] < g.Resent {
		q.resend = entries[int(x[5]*float64(len(entries)))]
	}
	switch {
	case x[3] < g.Interactive:
		q.priority = serving.PriorityInteractive
	case x[3] < g.Interactive+g.Batch:
		q.priority = serving.PriorityBatch
	}
	if g.Prefixes > 0 {
		q.prompt = fill(fmt.Sprintf("%s prefix %d ", account.ID, prefix), g.PrefixTokens)
	}
	q.prompt += fill(fmt.Sprintf("seed %d call %d ", g.Seed, id), int(own))
	return q
}

func (g *generator) pickAccount(rng *rand.Rand) *callerAccount {
	total := 0.0
	for i := range g.accounts {
		total += g.accounts[i].Traffic
	}
	x := rng.Float64() * total
	for i := range g.accounts {
		if x -= g.accounts[i].Traffic; x < 0 {
			return &g.accounts[i]
		}
	}
	return &g.accounts[len(g.accounts)-1]
}

// fill repeats a text to a number of tokens of four bytes, as the stand-in counts.
func fill(text string, tokens int) string {
	return strings.Repeat(text, 4*tokens/len(text)+1)[:4*tokens]
}

// outcome is what a caller saw of one call.
type outcome struct {
	// request is the request id that the entry gave.
	request string
	// sent and ended are the times of the call; first is 0 without a token.
	sent, ended time.Time
	first       time.Duration
	gaps        []time.Duration
	tokens      int
	whole       bool
	unsent      bool
	gaveUp      bool
	// kind is the kind of a refusal, or of the error that ended a stream.
	kind string
	// wrong says what an answer must never be.
	wrong string
}

func (g *generator) call(ctx context.Context, q *request) {
	o := &outcome{sent: time.Now()}
	if q.order {
		g.order(ctx, q, o)
	} else {
		g.complete(ctx, q, o)
	}
	o.ended = time.Now()
	g.results.add(q, o)
}

// completionBody is the body of a call.
type completionBody struct {
	standin.CompletionRequest
	Stream   bool             `json:"stream"`
	Priority serving.Priority `json:"priority"`
}

// errPatience ends a call whose first token is late.
var errPatience = errors.New("no token within the caller's patience")

func (g *generator) complete(ctx context.Context, q *request, o *outcome) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := time.AfterFunc(g.Patience, func() {
		if q.stream {
			cancel(errPatience)
		}
	})
	defer patience.Stop()
	body, _ := json.Marshal(completionBody{
		CompletionRequest: standin.CompletionRequest{Model: serving.ModelID(g.Model), Prompt: q.prompt, TestLength: q.length},
		Stream:            q.stream, Priority: q.priority,
	})
	res, err := g.post(ctx, q, q.entry, "/v1/completions", body, "")
	if err == nil {
		defer res.Body.Close()
		o.request = res.Header.Get("X-Request-Id")
		a := &answerCheck{request: serving.RequestID(o.request), length: q.length}
		switch {
		case res.StatusCode != http.StatusOK:
			o.kind = refusalKind(res)
		case q.stream:
			readStream(res.Body, a, o, func() { patience.Stop() })
		default:
			readWhole(res.Body, a, o)
		}
		o.wrong = a.fault
	}
	o.gaveUp = o.first == 0 && o.kind == "" && errors.Is(context.Cause(ctx), errPatience)
}

func (g *generator) post(ctx context.Context, q *request, entry, path string, body []byte, key string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+q.account.key)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return g.client.Do(req)
}

// errorBody is the JSON of a refusal.
type errorBody struct {
	Error struct {
		Kind string      `json:"kind"`
		Ran  serving.Ran `json:"ran"`
	} `json:"error"`
}

func refusalKind(res *http.Response) string {
	var e errorBody
	_ = json.NewDecoder(io.LimitReader(res.Body, maxLine)).Decode(&e)
	return cmp.Or(e.Error.Kind, "status_"+strconv.Itoa(res.StatusCode))
}

// answerCheck compares an answer with what the stand-in sends: every token once,
// in order, of one generation, and as many as the call asked for.
type answerCheck struct {
	request    serving.RequestID
	generation serving.GenerationID
	length     int
	next       int
	finished   bool
	fault      string
}

func (a *answerCheck) fail(format string, args ...any) {
	if a.fault == "" {
		a.fault = fmt.Sprintf(format, args...)
	}
}

func (a *answerCheck) frame(f *standin.Frame) {
	if a.next == 0 {
		a.generation = f.GenerationID
	}
	switch {
	case f.RequestID != a.request:
		a.fail("frame of request %s", f.RequestID)
	case f.GenerationID != a.generation:
		a.fail("frame of generation %s after %s", f.GenerationID, a.generation)
	case f.Index != a.next:
		a.fail("index %d instead of %d", f.Index, a.next)
	case f.Token != standin.TokenText(f.RequestID, f.GenerationID, f.Index):
		a.fail("wrong token at index %d", f.Index)
	case a.finished:
		a.fail("token after the finish reason")
	}
	a.next++
	a.finished = f.FinishReason != ""
}

// end checks a whole answer.
func (a *answerCheck) end() {
	if a.next != a.length || !a.finished {
		a.fail("%d tokens instead of %d, finished %t", a.next, a.length, a.finished)
	}
}

// maxLine bounds one line of a stream, and maxWhole an answer that is not streamed.
const (
	maxLine  = 64 << 10
	maxWhole = 16 << 20
)

// readStream reads server-sent events up to [DONE], an error event or the end of
// the connection, and calls first at the first token.
func readStream(body io.Reader, a *answerCheck, o *outcome, first func()) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), maxLine)
	isError, last := false, time.Time{}
	for lines.Scan() {
		line := lines.Bytes()
		if bytes.Equal(line, []byte("event: error")) {
			isError = true
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case !ok:
			continue
		case isError:
			var e errorBody
			_ = json.Unmarshal(data, &e)
			o.kind = cmp.Or(e.Error.Kind, "unknown")
			return
		case bytes.Equal(data, []byte("[DONE]")):
			a.end()
			o.whole = a.fault == ""
			return
		}
		var f standin.Frame
		if err := json.Unmarshal(data, &f); err != nil {
			a.fail("frame is not JSON")
			return
		}
		now := time.Now()
		if o.tokens == 0 {
			first()
			o.first = now.Sub(o.sent)
		} else {
			o.gaps = append(o.gaps, now.Sub(last))
		}
		last = now
		o.tokens++
		a.frame(&f)
	}
}

// wholeBody is an answer that is not streamed.
type wholeBody struct {
	RequestID    serving.RequestID    `json:"request_id"`
	GenerationID serving.GenerationID `json:"generation_id"`
	Text         string               `json:"text"`
	Tokens       int                  `json:"tokens"`
	FinishReason string               `json:"finish_reason"`
}

func readWhole(body io.Reader, a *answerCheck, o *outcome) {
	var b wholeBody
	if err := json.NewDecoder(io.LimitReader(body, maxWhole)).Decode(&b); err != nil {
		return
	}
	var want strings.Builder
	for i := range b.Tokens {
		want.WriteString(standin.TokenText(b.RequestID, b.GenerationID, i))
	}
	if b.RequestID != a.request {
		a.fail("answer of request %s", b.RequestID)
	}
	if b.Text != want.String() {
		a.fail("the text is not that of generation %s", b.GenerationID)
	}
	a.next, a.finished = b.Tokens, b.FinishReason != ""
	a.end()
	o.tokens, o.whole = b.Tokens, a.fault == ""
}

// order sends an order and, if drawn so, sends it again with the same key. It must
// have run once whatever was sent.
func (g *generator) order(ctx context.Context, q *request, o *outcome) {
	// The start time keeps the keys of two runs with one seed apart.
	key := fmt.Sprintf("load-%d-%d-%d", g.Seed, g.started.UnixMilli(), q.id)
	first := g.sendOrder(ctx, q, q.entry, key, o)
	if q.resend == "" || o.wrong != "" {
		return
	}
	again := &outcome{}
	second := g.sendOrder(ctx, q, q.resend, key, again)
	o.wrong = again.wrong
	if o.wrong == "" && first != "" && second != "" && first != second {
		o.wrong = "a resent order got another answer"
	}
}

// sendOrder returns the answer of the service, or nothing if there was none.
func (g *generator) sendOrder(ctx context.Context, q *request, entry, key string, o *outcome) string {
	res, err := g.post(ctx, q, entry, "/v1/services/"+g.Service+g.OrderPath, []byte(`{"item":`+strconv.Itoa(q.id)+`}`), key)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	o.request = cmp.Or(res.Header.Get("X-Request-Id"), key)
	if res.StatusCode != http.StatusOK {
		o.kind = refusalKind(res)
		return ""
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxLine))
	var a standin.CallAnswer
	if err != nil || json.Unmarshal(body, &a) != nil {
		return ""
	}
	if a.Status != "ran" || a.Ran != 1 || !strings.HasSuffix(a.Key, ":"+key) {
		o.wrong = fmt.Sprintf("order %s got key %s, status %s, ran %d times", key, a.Key, a.Status, a.Ran)
		return ""
	}
	o.whole = true
	return string(body)
}
