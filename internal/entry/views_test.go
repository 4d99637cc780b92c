package entry

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

// fakeClock is a clock that advances only when a test advances it.
type fakeClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *fakeClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

// fakeControl is a control replica that answers view polls.
type fakeControl struct {
	address string

	mu     sync.Mutex
	config *schema.ConfigView
	err    error
}

func newFakeControl(t testing.TB, c *schema.ConfigView) *fakeControl {
	t.Helper()
	f := &fakeControl{config: c}
	s := httptest.NewServer(schema.NewViewsServer(f, twirp.WithServerInterceptors(rpc.MapErrors)))
	t.Cleanup(s.Close)
	f.address = s.Listener.Addr().String()
	return f
}

func (f *fakeControl) set(c *schema.ConfigView, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config, f.err = c, err
}

func (f *fakeControl) GetView(context.Context, *schema.ViewRequest) (*schema.ViewResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return nil, f.err
	}
	return &schema.ViewResult{Revision: f.config.Revision, Config: f.config}, nil
}

// newViewEntry returns an entry without a view that polls the given addresses.
func newViewEntry(t testing.TB, clock serving.Clock, sources ...string) *testEntry {
	t.Helper()
	e := newTestEntry(t)
	e.Clock, e.board.clock = clock, clock
	e.board.state.startedAt = clock.Now()
	e.Settings.Entry.Control = nil
	for _, s := range sources {
		e.Settings.Entry.Control = append(e.Settings.Entry.Control, settings.Address(s))
	}
	e.board.snapshot.Store(&Blackboard{})
	return e
}

// poll polls once and applies the resulting events.
func (e *testEntry) poll() {
	e.pollOnce(context.Background())
	for len(e.board.events) > 0 {
		(<-e.board.events).apply(e.board.state, e.Clock.Now())
		e.board.publish()
	}
}

func (e *testEntry) fresh() bool { return e.viewFresh(e.board.load()) }

func configAt(revision uint64) *schema.ConfigView {
	c := testConfig()
	c.Revision = revision
	return c
}

// Guards against new work under an expired view or before the first view, and against a
// view that returns to an earlier revision.
func TestViewExpiresAndRevisionNeverDecreases(t *testing.T) {
	clock := &fakeClock{}
	control := newFakeControl(t, configAt(5))
	e := newViewEntry(t, clock, control.address)
	assert.Assert(t, !e.fresh())
	e.poll()
	assert.Assert(t, e.fresh())
	clock.advance(2500 * time.Millisecond)
	assert.Assert(t, e.fresh())
	control.set(configAt(4), nil)
	e.poll()
	assert.Equal(t, int(e.board.load().View.Revision()), 5)
	clock.advance(time.Millisecond)
	assert.Assert(t, !e.fresh())
	assert.Equal(t, e.stream(t).err.Error.Kind, serving.KindViewExpired)
	control.set(configAt(6), nil)
	e.poll()
	assert.Assert(t, e.fresh())
	assert.Equal(t, int(e.board.load().View.Revision()), 6)
}

// Guards against a delayed answer that lowers the confirmation time of a view, or that
// confirms a revision which the entry does not have.
func TestLateAnswersDoNotAgeTheView(t *testing.T) {
	v, err := registry.NewView(configAt(5))
	assert.NilError(t, err)
	s := &controlState{}
	tests := []struct {
		ev          viewReceived
		revision    serving.Revision
		confirmedAt time.Duration
	}{
		{viewReceived{view: v, revision: 5, confirmedAt: 20}, 5, 20},
		{viewReceived{revision: 5, confirmedAt: 10}, 5, 20},
		{viewReceived{revision: 4, confirmedAt: 30}, 5, 20},
		{viewReceived{revision: 6, confirmedAt: 30}, 5, 20},
		{viewReceived{revision: 5, confirmedAt: 30}, 5, 30},
	}
	for _, tt := range tests {
		tt.ev.apply(s, 0)
		assert.Equal(t, s.View.Revision(), tt.revision)
		assert.Equal(t, s.View.ConfirmedAt, tt.confirmedAt)
	}
}

// Guards against entries that keep each other's views fresh without a leader. Three
// entries poll each other in a circle while control has no quorum.
func TestRelayedViewsAddTheirAge(t *testing.T) {
	clock := &fakeClock{}
	control := newFakeControl(t, configAt(5))
	a := newViewEntry(t, clock, control.address)
	b := newViewEntry(t, clock, a.server.Listener.Addr().String())
	c := newViewEntry(t, clock, b.server.Listener.Addr().String())
	clock.advance(time.Second) // A first view must have been confirmed after the start.
	a.poll()
	a.Settings.Entry.Control = append(a.Settings.Entry.Control, settings.Address(c.server.Listener.Addr().String()))
	control.set(nil, serving.NewError(serving.KindNoQuorum, "no quorum"))
	for range 24 {
		clock.advance(100 * time.Millisecond)
		b.poll()
		c.poll()
		a.poll()
		assert.Assert(t, a.fresh() && b.fresh())
	}
	clock.advance(200 * time.Millisecond)
	for _, e := range []*testEntry{b, c, a} {
		e.poll()
		assert.Assert(t, !e.fresh())
	}
	control.set(configAt(6), nil)
	a.poll()
	c.poll()
	assert.Assert(t, !c.fresh()) // b has not polled yet, and its view is expired.
	b.poll()
	c.poll()
	assert.Assert(t, c.fresh())
}

// Guards against a restarted entry that returns to an older configuration because
// another entry sends it a view that was confirmed before the restart.
func TestFirstViewIsConfirmedAfterTheStart(t *testing.T) {
	clock := &fakeClock{}
	control := newFakeControl(t, configAt(5))
	relay := newViewEntry(t, clock, control.address)
	relay.poll()
	clock.advance(100 * time.Millisecond)
	restarted := newViewEntry(t, clock, relay.server.Listener.Addr().String())
	clock.advance(100 * time.Millisecond)
	restarted.poll()
	assert.Assert(t, restarted.board.load().View == nil, "confirmed before the start")
	relay.poll()
	clock.advance(100 * time.Millisecond)
	restarted.poll()
	assert.Equal(t, restarted.board.load().View.Revision(), serving.Revision(5))
}

// Guards against a frozen replica that delays polls of the other replicas, and against
// a follower's leader hint that is ignored. The frozen replica accepts connections but
// does not answer.
func TestFrozenReplicaDoesNotDelayPolls(t *testing.T) {
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer frozen.Close()
	leader := newFakeControl(t, configAt(5))
	follower := newFakeControl(t, nil)
	follower.set(nil, serving.NewError(serving.KindNotLeader, "not the leader").WithDetail(leader.address))
	e := newViewEntry(t, serving.NewMonotonicClock(), frozen.Addr().String(), follower.address)
	begin := time.Now()
	e.poll()
	assert.Assert(t, e.fresh())
	assert.Assert(t, time.Since(begin) < 300*time.Millisecond, time.Since(begin))
	begin = time.Now()
	e.poll()
	assert.Assert(t, time.Since(begin) < 100*time.Millisecond, time.Since(begin))
}
