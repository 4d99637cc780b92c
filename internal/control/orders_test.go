package control

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/control/controltest"
	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
	"turmericdrum.org/turmericdrum/pkg/serving/fleet"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

// memberServer answers exchanges like an entry that has a record of one engine.
type memberServer struct{ e *standin.Engine }

func (m memberServer) Exchange(context.Context, *schema.MemberExchange) (*schema.MemberExchange, error) {
	announcement := `{"engine":"e1","address":"` + m.e.Addr() + `","data_centre":"leon","incarnation":1,"kind":"model","models":[],"state":"starting"}`
	return &schema.MemberExchange{Records: []*schema.MemberRecord{{Id: "e1", Kind: string(engine.MemberEngine), Announcement: []byte(announcement)}}}, nil
}

// Guards against a model of the desired state that no engine is ordered to load,
// against a new leader that sends an order to an engine that does not check fencing
// numbers while orders of an earlier leader may still arrive (the quiet period), and
// against orders of a replica that has lost its lease.
func TestOrdersFollowDesiredState(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	g := errgroup.Group{}
	defer func() { cancel(); _ = g.Wait() }()
	e := &standin.Engine{Name: "e1", DataCentre: "leon", Incarnation: 1, LoadTime: 10 * time.Millisecond, ChecksFencing: "no"}
	assert.NilError(t, e.Listen())
	g.Go(func() error { return e.Run(ctx) })
	entry := httptest.NewServer(schema.NewMembersServer(memberServer{e}))
	defer entry.Close()

	machine, err := registry.New(registry.Config{Schemes: []string{"catalog"}})
	assert.NilError(t, err)
	log := &controltest.Log{Machine: machine}
	apply := func(c *schema.Command) {
		b, err := proto.Marshal(c)
		assert.NilError(t, err)
		_, err = log.Propose(ctx, b)
		assert.NilError(t, err)
	}
	apply(&schema.Command{Body: &schema.Command_Change{Change: &schema.Change{
		CommandId: "c1", Operator: "op", IssuedAtMs: 1,
		Action: &schema.Change_Put{Put: &schema.Object{Kind: schema.ObjectKind_OBJECT_KIND_MODEL, Id: "guide",
			Spec: &schema.Object_Model{Model: &schema.Model{MinWarm: 1, Versions: []*schema.ModelVersion{{Version: "1", Share: 1}}}}}},
	}}})
	apply(&schema.Command{Body: &schema.Command_SetEntries{SetEntries: &schema.SetEntries{
		Entries: []*schema.ListedEntry{{Host: "entry-1", Address: strings.TrimPrefix(entry.URL, "http://")}},
	}}})

	r, err := fleet.New(fleet.Config{Rate: 10, Burst: 2})
	assert.NilError(t, err)
	clock := &manualClock{}
	o := &engineOrders{
		server: &Server{Log: log, Replica: log, Machine: machine}, clock: clock, reconciler: r,
		entryClient: http.DefaultClient, engineClient: http.DefaultClient, orderedAt: map[serving.EngineID]time.Duration{},
	}
	orderCount := func() int {
		n := 0
		for _, ev := range e.Record.Events() {
			if ev.Event == "order" {
				n++
			}
		}
		return n
	}
	o.step(ctx)
	assert.Equal(t, orderCount(), 0, "the quiet period has not passed")

	clock.now = fleet.DefaultQuietPeriod + time.Second
	log.SetLeader("other:1")
	o.step(ctx)
	assert.Equal(t, orderCount(), 0, "the lease is lost")

	log.SetLeader("")
	o.step(ctx)
	clock.now += fleet.DefaultQuietPeriod + time.Second
	o.step(ctx)
	assert.Equal(t, orderCount(), 1)
	order := e.Record.Events()[0].Order
	assert.Equal(t, order.Command, "load_model")
	assert.Assert(t, order.FencingNumber > 0)
}

// Guards against a control replica that runs out of memory because a faulty engine answers a
// read-back with bytes without end.
func TestReadBackWithoutEnd(t *testing.T) {
	// maxTaken allows for the buffers of the kernel.
	const maxTaken = 12 << 20
	var taken atomic.Int64
	faulty := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		more := strings.Repeat("x", 64<<10)
		for n, err := io.WriteString(w, `{"models":[{"model":"`); err == nil; n, err = io.WriteString(w, more) {
			taken.Add(int64(n))
		}
	}))
	defer faulty.Close()
	o := &engineOrders{clock: &manualClock{}, engineClient: faulty.Client()}
	err := o.readBackEngine(t.Context(), &Blackboard{Addresses: map[string]string{"e1": strings.TrimPrefix(faulty.URL, "http://")}}, &fleet.Engine{ID: "e1"})
	assert.Equal(t, serving.KindOf(err), serving.KindEngineFailed)
	assert.Assert(t, taken.Load() < maxTaken, "the replica took %d bytes", taken.Load())
}

type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }
