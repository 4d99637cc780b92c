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

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// generator sends the calls of one command. A single goroutine makes all random
// draws, so a seed gives the same calls regardless of the answers.
type generator struct {
	*Command
	*plan
	client  *http.Client
	started time.Time
	results *results
}

func newGenerator(c *Command, p *plan) *generator {
	transport := &answer.Transport{Next: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute}}
	return &generator{Command: c, plan: p, client: &http.Client{Transport: transport}}
}

// request is a call as drawn from the seed.
type request struct {
	id int
	// at is the send time, relative to the start of the run.
	at      time.Duration
	entry   string
	account *callerAccount
	// order selects a call to the plain service, with an idempotency key, instead of a
	// completion.
	order bool
	// resendEntry is the entry to which an order is sent a second time; empty if it
	// is sent once.
	resendEntry  string
	stream       bool
	priority     serving.Priority
	answerTokens int
	prompt       string
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
// changing one share in the command line does not change the other properties of
// the calls.
func (g *generator) draw(id int, at time.Duration) *request {
	rng := g.random
	draws := [6]float64{}
	for i := range draws {
		draws[i] = rng.Float64()
	}
	account := g.pickAccount(rng)
	prefix, promptTokens, answerTokens := rng.IntN(max(1, g.Prefixes)), g.promptLengths.Draw(rng), g.answerLengths.Draw(rng)
	entries := g.Entries
	q := &request{
		id: id, at: at, account: account, entry: entries[int(draws[0]*float64(len(entries)))],
		order: draws[1] < g.Orders, stream: draws[2] < g.Streamed, priority: serving.PriorityNormal, answerTokens: int(answerTokens),
	}
	if draws[4] < g.Resent {
		q.resendEntry = entries[int(draws[5]*float64(len(entries)))]
	}
	switch {
	case draws[3] < g.Interactive:
		q.priority = serving.PriorityInteractive
	case draws[3] < g.Interactive+g.Batch:
		q.priority = serving.PriorityBatch
	}
	if g.Prefixes > 0 {
		q.prompt = repeatToTokens(fmt.Sprintf("%s prefix %d ", account.ID, prefix), g.PrefixTokens)
	}
	q.prompt += repeatToTokens(fmt.Sprintf("seed %d call %d ", g.Seed, id), int(promptTokens))
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

// repeatToTokens repeats text up to a number of tokens. A token is four bytes, as
// in the stand-in engine.
func repeatToTokens(text string, tokens int) string {
	return strings.Repeat(text, 4*tokens/len(text)+1)[:4*tokens]
}

// outcome is the result of one call as its caller observed it.
type outcome struct {
	// request is the request id that the entry returned.
	request string
	// sent and ended are the start and end of the call; firstToken is the time from
	// sent to the first token, or 0 if there was none.
	sent, ended time.Time
	firstToken  time.Duration
	// gaps are the times between successive tokens.
	gaps     []time.Duration
	tokens   int
	complete bool
	// unsent is set if the limit of calls in progress was reached.
	unsent   bool
	timedOut bool
	// kind is the kind of a refusal, or of the error that ended a stream.
	kind string
	// wrong describes an error in the content of the answer; empty if it is correct.
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

// completionBody is the request body of a completion call.
type completionBody struct {
	standin.CompletionRequest
	Stream   bool             `json:"stream"`
	Priority serving.Priority `json:"priority"`
}

// errFirstTokenTimeout is the cancellation cause of a stream that has no token within
// the first-token timeout.
var errFirstTokenTimeout = errors.New("no token within the first-token timeout")

func (g *generator) complete(ctx context.Context, q *request, o *outcome) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(g.FirstTokenTimeout, func() {
		if q.stream {
			cancel(errFirstTokenTimeout)
		}
	})
	defer timeout.Stop()
	body, _ := json.Marshal(completionBody{
		CompletionRequest: standin.CompletionRequest{Model: serving.ModelID(g.Model), Prompt: q.prompt, TestLength: q.answerTokens},
		Stream:            q.stream, Priority: q.priority,
	})
	res, err := g.post(ctx, q, q.entry, "/v1/completions", body, "")
	if err == nil {
		defer res.Body.Close()
		o.request = res.Header.Get("X-Request-Id")
		a := &answerCheck{request: serving.RequestID(o.request), answerTokens: q.answerTokens}
		switch {
		case res.StatusCode != http.StatusOK:
			o.kind = refusalKind(res)
		case q.stream:
			readStream(res.Body, a, o, func() { timeout.Stop() })
		default:
			readUnstreamed(res.Body, a, o)
		}
		o.wrong = a.wrong
	}
	o.timedOut = o.firstToken == 0 && o.kind == "" && errors.Is(context.Cause(ctx), errFirstTokenTimeout)
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

// errorBody is the body of an error response and the data of an error event.
type errorBody struct {
	Error struct {
		Kind string      `json:"kind"`
		Ran  serving.Ran `json:"ran"`
	} `json:"error"`
}

func refusalKind(res *http.Response) string {
	var e errorBody
	_ = json.NewDecoder(io.LimitReader(res.Body, maxLineBytes)).Decode(&e)
	return cmp.Or(e.Error.Kind, "status_"+strconv.Itoa(res.StatusCode))
}

// answerCheck compares an answer with what the stand-in engine sends: each token
// once and in order, all from one generation, and as many as the call requested.
// It keeps the first error that it finds.
type answerCheck struct {
	request      serving.RequestID
	generation   serving.GenerationID
	answerTokens int
	next         int
	finished     bool
	wrong        string
}

func (a *answerCheck) fail(format string, args ...any) {
	if a.wrong == "" {
		a.wrong = fmt.Sprintf(format, args...)
	}
}

func (a *answerCheck) checkFrame(f *standin.Frame) {
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

// checkEnd checks, after the last frame, that the answer is complete.
func (a *answerCheck) checkEnd() {
	if a.next != a.answerTokens || !a.finished {
		a.fail("%d tokens instead of %d, finished %t", a.next, a.answerTokens, a.finished)
	}
}

// Limits of responses: maxLineBytes bounds a line of a stream, an error body and the
// answer to an order; maxUnstreamedBytes bounds a completion that is not streamed.
const (
	maxLineBytes       = 64 << 10
	maxUnstreamedBytes = 16 << 20
)

// readStream reads server-sent events up to [DONE], an error event or the end of
// the connection. It calls onFirstToken when the first token arrives.
func readStream(body io.Reader, a *answerCheck, o *outcome, onFirstToken func()) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
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
			a.checkEnd()
			o.complete = a.wrong == ""
			return
		}
		var f standin.Frame
		if err := json.Unmarshal(data, &f); err != nil {
			a.fail("frame is not JSON")
			return
		}
		now := time.Now()
		if o.tokens == 0 {
			onFirstToken()
			o.firstToken = now.Sub(o.sent)
		} else {
			o.gaps = append(o.gaps, now.Sub(last))
		}
		last = now
		o.tokens++
		a.checkFrame(&f)
	}
}

// unstreamedBody is the body of a completion that is not streamed.
type unstreamedBody struct {
	RequestID    serving.RequestID    `json:"request_id"`
	GenerationID serving.GenerationID `json:"generation_id"`
	Text         string               `json:"text"`
	Tokens       int                  `json:"tokens"`
	FinishReason string               `json:"finish_reason"`
}

func readUnstreamed(body io.Reader, a *answerCheck, o *outcome) {
	var b unstreamedBody
	if err := json.NewDecoder(io.LimitReader(body, maxUnstreamedBytes)).Decode(&b); err != nil {
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
	a.checkEnd()
	o.tokens, o.complete = b.Tokens, a.wrong == ""
}

// order sends an order and, if q.resendEntry is set, sends it again with the same
// key. The order must run exactly once, and both answers must be equal.
func (g *generator) order(ctx context.Context, q *request, o *outcome) {
	// The start time distinguishes the keys of two runs with the same seed.
	key := fmt.Sprintf("load-%d-%d-%d", g.Seed, g.started.UnixMilli(), q.id)
	first := g.sendOrder(ctx, q, q.entry, key, o)
	if q.resendEntry == "" || o.wrong != "" {
		return
	}
	resent := &outcome{}
	second := g.sendOrder(ctx, q, q.resendEntry, key, resent)
	o.wrong = resent.wrong
	if o.wrong == "" && first != "" && second != "" && first != second {
		o.wrong = "a resent order got another answer"
	}
}

// sendOrder returns the body of a valid answer of the service, or an empty string.
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
	body, err := io.ReadAll(io.LimitReader(res.Body, maxLineBytes))
	var a standin.CallAnswer
	if err != nil || json.Unmarshal(body, &a) != nil {
		return ""
	}
	if a.Status != "ran" || a.Ran != 1 || !strings.HasSuffix(a.Key, ":"+key) {
		o.wrong = fmt.Sprintf("order %s got key %s, status %s, ran %d times", key, a.Key, a.Status, a.Ran)
		return ""
	}
	o.complete = true
	return string(body)
}
