package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

// fakeClaims implements schema.Claims with a registry. Calls can fail before or after
// they take effect.
type fakeClaims struct {
	machine *registry.Machine

	mu               sync.Mutex
	index            uint64
	failSettles      int // calls of Settle that still have to fail without effect
	loseClaimAnswers int // calls of Claim that still have to fail after they took effect
}

func newFakeClaims(t testing.TB) *fakeClaims {
	t.Helper()
	m, err := registry.New(registry.Config{Schemes: []string{"catalogue"}})
	assert.NilError(t, err)
	return &fakeClaims{machine: m}
}

func (f *fakeClaims) apply(c *schema.Command) *schema.ClaimResult {
	f.index++
	c.NowMs = time.Now().UnixMilli()
	b, _ := proto.Marshal(c)
	var res schema.CommandResult
	_ = proto.Unmarshal(f.machine.Apply(f.index, b), &res)
	return res.GetClaim()
}

func (f *fakeClaims) Claim(_ context.Context, r *schema.ClaimRequest) (*schema.ClaimResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	res := f.apply(&schema.Command{Body: &schema.Command_Claim{Claim: r}})
	if f.loseClaimAnswers > 0 {
		f.loseClaimAnswers--
		return nil, serving.NewError(serving.KindOutcomeUnknown, "lost").WithRan(serving.RanUnknown)
	}
	return res, nil
}

func (f *fakeClaims) Settle(_ context.Context, r *schema.SettleRequest) (*schema.ClaimResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failSettles > 0 {
		f.failSettles--
		return nil, serving.NewError(serving.KindNoQuorum, "no quorum")
	}
	return f.apply(&schema.Command{Body: &schema.Command_Settle{Settle: r}}), nil
}

func (f *fakeClaims) Lookup(_ context.Context, r *schema.LookupRequest) (*schema.ClaimResult, error) {
	return f.machine.Lookup(r.Key, time.Now().UnixMilli()), nil
}

// fakeService is a plain service that counts its calls by key.
type fakeService struct {
	*Engine
	server *httptest.Server

	mu           sync.Mutex
	handler      func(w http.ResponseWriter, r *http.Request)
	lookupStatus string
	calls        map[string]int
	// interceptLookup, if set, may answer a lookup. It returns false if it does not.
	interceptLookup func(w http.ResponseWriter, r *http.Request) bool
}

func answerOK(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "reserved") }

func closeWithoutAnswer(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answerStatus(status int, body string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

func newFakeService(t testing.TB, name string, handler func(http.ResponseWriter, *http.Request)) *fakeService {
	t.Helper()
	f := &fakeService{handler: handler, calls: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/call/{path...}", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		f.mu.Lock()
		f.calls[r.Header.Get(headerIdempotencyKey)]++
		handler := f.handler
		f.mu.Unlock()
		handler(w, r)
	})
	mux.HandleFunc("GET /v1/calls/{key}", func(w http.ResponseWriter, r *http.Request) {
		if f.interceptLookup != nil && f.interceptLookup(w, r) {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		status := f.lookupStatus
		if f.calls[r.PathValue("key")] == 0 {
			status = "not_run"
		}
		fmt.Fprintf(w, `{"status":%q}`, status)
	})
	f.server = httptest.NewServer(mux)
	t.Cleanup(f.server.Close)
	f.Engine = &Engine{Announcement: &engine.Announcement{
		Engine: serving.EngineID(name), Address: f.server.Listener.Addr().String(), DataCentre: "dc-a", Kind: engine.KindService,
		Incarnation: 1, State: engine.PhaseReady, Services: []serving.ServiceID{"stylus", "quotes"},
	}, State: engine.StateAlive, counters: newEngineCounters()}
	return f
}

func (f *fakeService) setHandler(handler func(http.ResponseWriter, *http.Request)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handler = handler
}

func (f *fakeService) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.calls {
		n += c
	}
	return n
}
