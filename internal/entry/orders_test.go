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

// Guards against an order that runs twice, and against an outcome that is told or
// settled otherwise than what happened.
func TestOrderRunsAtMostOnce(t *testing.T) {
	notRun := answerStatus(http.StatusServiceUnavailable, `{"error":{"kind":"overloaded","ran":"not_run"}}`)
	tests := []struct {
		name    string
		behave  func(http.ResponseWriter, *http.Request)
		lookup  string
		status  int
		ran     serving.Ran
		arrived int // after the order was sent again to a service that answers
	}{
		{"answered", answerOK, "", 200, "", 1},
		{"refused by the service", notRun, "", 503, serving.NotRun, 2},
		{"answer lost", hangUp, "", 502, serving.RanUnknown, 1},
		{"answer lost, lookup finds run", hangUp, "ran", 200, "", 1},
		{"answer lost, lookup finds nothing", hangUp, "not_run", 502, serving.RanUnknown, 1},
		{"server error", answerStatus(500, ""), "", 502, serving.RanUnknown, 1},
		{"busy without word of run", answerStatus(429, ""), "", 502, serving.RanUnknown, 1},
		{"error of the caller", answerStatus(422, "no such stylus"), "", 422, "", 1},
	}
	for _, tt := range tests {
		path := ""
		if tt.lookup != "" {
			path = "/v1/calls/{key}"
		}
		s := newFakeService(t, "stylus-1", answerOK)
		s.lookup = tt.lookup
		e, _ := newOrderEntry(t, path, s)
		assert.Equal(t, e.order(t, testKey, "first", "a").status, 200, tt.name) // Leaves an idle connection, if any is kept.
		s.become(tt.behave)
		got := e.order(t, testKey, "k", "a")
		assert.Equal(t, got.status, tt.status, tt.name)
		assert.Equal(t, got.err.Error.Ran, tt.ran, tt.name)
		s.become(answerOK)
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

// Guards against a claim that blocks its key because nobody sends, and against a
// refusal as unknown where no byte left.
func TestOrderThatDidNotLeaveCanBeSentAgain(t *testing.T) {
	s := newFakeService(t, "stylus-1", answerOK)
	dead := newFakeService(t, "stylus-2", answerOK)
	dead.server.Close()
	e, claims := newOrderEntry(t, "", dead)
	got := e.order(t, testKey, "k", "a")
	assert.Equal(t, got.err.Error.Ran, serving.NotRun)
	e.setBoard(t, serviceConfig(""), s.Engine, dead.Engine)
	claims.lostClaim = 1
	got = e.order(t, testKey, "k", "a")
	assert.Equal(t, got.err.Error.Ran, serving.NotRun)
	assert.Equal(t, e.order(t, testKey, "k", "a").status, 200)
	assert.Equal(t, s.count(), 1)
}

// Guards against an outcome that is lost because control was away at the end.
func TestClaimIsSettledWhenControlReturns(t *testing.T) {
	s := newFakeService(t, "stylus-1", answerOK)
	e, claims := newOrderEntry(t, "", s)
	claims.failing = 1
	assert.Equal(t, e.order(t, testKey, "k", "a").status, 200)
	eventually(t, "claim is settled", func() bool {
		res, _ := claims.Lookup(context.Background(), &schema.LookupRequest{Key: &schema.ClaimKey{ClientAccount: "bench", Service: "stylus", Key: "k"}})
		return res.State == schema.ClaimState_CLAIM_STATE_DONE
	})
	assert.Equal(t, len(e.settler.unsettled), 0)
}

// Guards against a resent order that fails although the first one is about to end.
func TestResentOrderWaitsForOutcome(t *testing.T) {
	s := newFakeService(t, "stylus-1", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond) // Both calls are in progress meanwhile.
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

// Guards against an account that reads or takes over the orders of another.
func TestOrdersOfAccountsAreApart(t *testing.T) {
	s := newFakeService(t, "stylus-1", answerOK)
	s.lookup = "ran"
	e, _ := newOrderEntry(t, "/v1/calls", s)
	assert.Equal(t, e.order(t, testKey, "k", "a").status, 200)
	look := func(key string) *received { return e.do(t, http.MethodGet, "/v1/orders/stylus/k", key, nil, "") }
	assert.Equal(t, look(testKey).status, 200)
	assert.Equal(t, look(otherKey).err.Error.Kind, serving.KindNotFound)
	assert.Equal(t, look(operatorKey).err.Error.Kind, serving.KindUnauthenticated)
	s.become(hangUp)
	s.lookup = "ran"
	assert.Equal(t, e.order(t, otherKey, "k", "b").status, 200) // Its own run, by lookup.
	assert.DeepEqual(t, s.arrived, map[string]int{"bench:k": 1, "other:k": 1})
}

// Guards against a retry of a call whose route is not declared idempotent, and a
// missing one of a call whose route is.
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
		bad, good := newFakeService(t, "stylus-1", hangUp), newFakeService(t, "stylus-2", answerOK)
		good.counters.inFlight.Store(1)
		e, _ := newOrderEntry(t, "", bad, good)
		got := e.do(t, http.MethodPost, "/v1/services/stylus"+tt.path, testKey, nil, "a")
		assert.Equal(t, got.status == 200, tt.repeats, tt.path)
		assert.Equal(t, good.count() == 1, tt.repeats, tt.path)
		assert.Equal(t, bad.count(), 1, tt.path)
	}
}
