package entry

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

func serviceConfig(lookupPath string) *schema.ConfigView {
	c := testConfig()
	routes := []*schema.Route{{PathPrefix: "/stock", Idempotent: true}, {PathPrefix: "/stock/reserve"}}
	c.Objects = append(c.Objects, &schema.Object{
		Kind: schema.ObjectKind_OBJECT_KIND_SERVICE, Id: "stylus",
		Spec: &schema.Object_Service{Service: &schema.Service{Routes: routes, LookupPath: lookupPath}},
	})
	return c
}

func newOrderEntry(t testing.TB, lookupPath string, services ...*fakeService) (*testEntry, *fakeClaims) {
	t.Helper()
	e := newTestEntry(t)
	var engines []*Engine
	for _, s := range services {
		engines = append(engines, s.Engine)
	}
	e.setBoard(t, serviceConfig(lookupPath), engines...)
	f := newFakeClaims(t)
	e.claims = f
	t.Cleanup(func() { e.settler.drain(time.Second) })
	return e, f
}

func (e *testEntry) order(t testing.TB, account, key, body string) *received {
	t.Helper()
	return e.do(t, http.MethodPost, "/v1/services/stylus/stock/reserve", account, map[string]string{headerIdempotencyKey: key}, body)
}

// Guards against an order that runs twice, and against a stated or settled outcome that
// differs from what happened. The service refuses, fails or closes the connection, and
// the order is sent again.
func TestOrderRunsAtMostOnce(t *testing.T) {
	notRun := answerStatus(http.StatusServiceUnavailable, `{"error":{"kind":"overloaded","ran":"not_run"}}`)
	tests := []struct {
		name         string
		handler      func(http.ResponseWriter, *http.Request)
		lookupStatus string
		status       int
		ran          serving.Ran
		arrived      int // calls with key k that reached the service, including the repeated order
	}{
		{"answered", answerOK, "", 200, "", 1},
		{"refused by the service", notRun, "", 503, serving.NotRun, 2},
		{"answer lost", closeWithoutAnswer, "", 502, serving.RanUnknown, 1},
		{"answer lost, lookup finds run", closeWithoutAnswer, "ran", 200, "", 1},
		{"answer lost, lookup finds nothing", closeWithoutAnswer, "not_run", 502, serving.RanUnknown, 1},
		{"server error", answerStatus(500, ""), "", 502, serving.RanUnknown, 1},
		{"too many requests, not stated whether it ran", answerStatus(429, ""), "", 502, serving.RanUnknown, 1},
		{"error of the caller", answerStatus(422, "no such stylus"), "", 422, "", 1},
	}
	for _, tt := range tests {
		path := ""
		if tt.lookupStatus != "" {
			path = "/v1/calls/{key}"
		}
		s := newFakeService(t, "stylus-1", answerOK)
		s.lookupStatus = tt.lookupStatus
		e, _ := newOrderEntry(t, path, s)
		assert.Equal(t, e.order(t, testKey, "first", "a").status, 200, tt.name) // Opens a connection that a faulty pool would reuse.
		s.setHandler(tt.handler)
		got := e.order(t, testKey, "k", "a")
		assert.Equal(t, got.status, tt.status, tt.name)
		assert.Equal(t, got.err.Error.Ran, tt.ran, tt.name)
		s.setHandler(answerOK)
		again := e.order(t, testKey, "k", "a")
		assert.Equal(t, s.count(), 1+tt.arrived, tt.name)
		if tt.ran != serving.NotRun {
			assert.Equal(t, again.status, tt.status, tt.name)
		}
		other := e.order(t, testKey, "k", "b")
		assert.Equal(t, other.err.Error.Kind, serving.KindKeyReused, tt.name)
		assert.Equal(t, other.err.Error.Ran, serving.NotRun, tt.name)
		assert.Equal(t, s.count(), 1+tt.arrived, tt.name)
	}
}

// Guards against a claim that blocks its key although the order was never sent, and
// against an order that is reported as unknown although no byte was sent. The engine is
// unreachable, or the answer to the claim is lost.
func TestUnsentOrderCanBeSentAgain(t *testing.T) {
	s := newFakeService(t, "stylus-1", answerOK)
	unreachable := newFakeService(t, "stylus-2", answerOK)
	unreachable.server.Close()
	e, claims := newOrderEntry(t, "", unreachable)
	got := e.order(t, testKey, "k", "a")
	assert.Equal(t, got.err.Error.Ran, serving.NotRun)
	e.setBoard(t, serviceConfig(""), s.Engine, unreachable.Engine)
	claims.loseClaimAnswers = 1
	got = e.order(t, testKey, "k", "a")
	assert.Equal(t, got.err.Error.Ran, serving.NotRun)
	assert.Equal(t, e.order(t, testKey, "k", "a").status, 200)
	assert.Equal(t, s.count(), 1)
}

// Guards against an outcome that is lost because the control plane was unavailable when
// the order ended.
func TestClaimIsSettledWhenControlReturns(t *testing.T) {
	s := newFakeService(t, "stylus-1", answerOK)
	e, claims := newOrderEntry(t, "", s)
	claims.failSettles = 1
	assert.Equal(t, e.order(t, testKey, "k", "a").status, 200)
	eventually(t, "claim is settled", func() bool {
		res, _ := claims.Lookup(context.Background(), &schema.LookupRequest{Key: &schema.ClaimKey{ClientAccount: "bench", Service: "stylus", Key: "k"}})
		return res.State == schema.ClaimState_CLAIM_STATE_DONE
	})
	assert.Equal(t, len(e.settler.unsettled), 0)
}

// Guards against a resent order that fails although the first one is about to complete.
func TestResentOrderWaitsForOutcome(t *testing.T) {
	s := newFakeService(t, "stylus-1", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond) // Keeps both calls in progress at the same time.
		answerOK(w, r)
	})
	e, _ := newOrderEntry(t, "", s)
	var both sync.WaitGroup
	statuses := make([]int, 2)
	for i := range statuses {
		both.Go(func() { statuses[i] = e.order(t, testKey, "k", "a").status })
	}
	both.Wait()
	assert.DeepEqual(t, statuses, []int{200, 200})
	assert.Equal(t, s.count(), 1)
}

// Guards against an account that reads or takes over another account's order with the
// same key.
func TestOrdersAreIsolatedByAccount(t *testing.T) {
	s := newFakeService(t, "stylus-1", answerOK)
	s.lookupStatus = "ran"
	e, _ := newOrderEntry(t, "/v1/calls", s)
	assert.Equal(t, e.order(t, testKey, "k", "a").status, 200)
	getOrder := func(key string) *received { return e.do(t, http.MethodGet, "/v1/orders/stylus/k", key, nil, "") }
	assert.Equal(t, getOrder(testKey).status, 200)
	assert.Equal(t, getOrder(otherKey).err.Error.Kind, serving.KindNotFound)
	assert.Equal(t, getOrder(operatorKey).err.Error.Kind, serving.KindUnauthenticated)
	s.setHandler(closeWithoutAnswer)
	s.lookupStatus = "ran"
	assert.Equal(t, e.order(t, otherKey, "k", "b").status, 200) // It ran for this account, as the lookup finds.
	assert.DeepEqual(t, s.calls, map[string]int{"bench:k": 1, "other:k": 1})
}

// Guards against retries of calls whose route is not configured as idempotent, and
// against missing retries of calls whose route is.
func TestOnlyIdempotentRoutesAreRepeated(t *testing.T) {
	tests := []struct {
		path    string
		repeats bool
	}{
		{"/stock", true},
		{"/stock/needles", true},
		{"/stock/reserve", false},
		{"/stock/reserve/now", false},
		{"/stock-orders", false},
		{"/unknown", false},
	}
	for _, tt := range tests {
		bad, good := newFakeService(t, "stylus-1", closeWithoutAnswer), newFakeService(t, "stylus-2", answerOK)
		good.counters.inFlight.Store(1)
		e, _ := newOrderEntry(t, "", bad, good)
		got := e.do(t, http.MethodPost, "/v1/services/stylus"+tt.path, testKey, nil, "a")
		assert.Equal(t, got.status == 200, tt.repeats, tt.path)
		assert.Equal(t, good.count() == 1, tt.repeats, tt.path)
		assert.Equal(t, bad.count(), 1, tt.path)
	}
}
