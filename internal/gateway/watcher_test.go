package gateway

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/checkpoint"
	"turmericdrum.org/turmericdrum/pkg/serving/deployment"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
)

// fakeHub answers each poll with the same result.
type fakeHub struct {
	schema.Hub
	mu     sync.Mutex
	result *schema.WatchResult
	polls  int
}

// Watch implements schema.Hub.
func (h *fakeHub) Watch(ctx context.Context, in *schema.WatchRequest) (*schema.WatchResult, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.polls++
	return h.result, nil
}

func startFakeHub(t *testing.T, result *schema.WatchResult) (h *fakeHub, address string) {
	t.Helper()
	h = &fakeHub{result: result}
	s := httptest.NewServer(schema.NewHubServer(h))
	t.Cleanup(s.Close)
	return h, s.URL
}

// closedAddress returns the base URL of a hub whose process doesn't run.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	return "http://" + address
}

func newWatchingGateway(t *testing.T, hubs ...string) *Gateway {
	t.Helper()
	g := &Gateway{Host: "10.0.0.1", DataCentre: "a", Region: "a", Hubs: hubs,
		DecodeConfig: func([]byte) (*routing.Config, error) { return &routing.Config{Version: 3}, nil }}
	g.setup()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { g.watcher.run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return g
}

func unconfirmedResult(t *testing.T, age time.Duration) *schema.WatchResult {
	t.Helper()
	document, err := deployment.Compress([]byte("{}"))
	assert.NilError(t, err)
	ms := age.Milliseconds()
	return &schema.WatchResult{HubIncarnation: 5, StateAgeMs: &ms,
		State:   &schema.DeploymentState{Revision: 8, Config: &schema.DeploymentConfig{Version: 3, Document: document}},
		Engines: []*schema.EngineRecord{{Engine: "e", Service: "s", Address: "10.0.0.9:80", State: "ready", Sequence: 1, AgeMs: 1000}}}
}

// Guards against entries that refuse callers after a loss of all power until a leader is
// elected, although a hub knows what was in force a moment before. Two of the three hubs are
// not back yet.
func TestEntryServesStateOfCheckpoint(t *testing.T) {
	_, address := startFakeHub(t, unconfirmedResult(t, 2*time.Second))
	start := time.Now()
	g := newWatchingGateway(t, closedAddress(t), closedAddress(t), address)
	for g.board.view.Load() == nil {
		assert.Assert(t, time.Since(start) < checkpoint.UnconfirmedAfter-500*time.Millisecond, "no view after %v", time.Since(start))
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, g.board.view.Load().revision, uint64(8))
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	target, ok := g.board.pool.Lookup(serving.EngineID("e"))
	assert.Assert(t, ok && !target.Leaving)
}

// Guards against entries that serve at once with a state of long ago, and against entries
// that ask only the hub that answers first.
func TestEntryPrefersConfirmedStateToOldOne(t *testing.T) {
	old, oldAddress := startFakeHub(t, unconfirmedResult(t, time.Minute))
	confirmed := unconfirmedResult(t, 0)
	confirmed.Confirmed, confirmed.State.Revision = true, 9
	_, address := startFakeHub(t, confirmed)
	g := newWatchingGateway(t, oldAddress, address)
	deadline := time.Now().Add(10 * time.Second)
	for g.board.view.Load() == nil && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, g.board.view.Load() != nil)
	assert.Equal(t, g.board.view.Load().revision, uint64(9))
	old.mu.Lock()
	defer old.mu.Unlock()
	assert.Assert(t, old.polls <= 3, "the old hub was polled %d times", old.polls)
}
