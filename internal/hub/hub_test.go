package hub

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
)

// testTimeout bounds waits that take about a second on an idle machine.
const testTimeout = 30 * time.Second

// testGrace is the time that a hub has to shut down.
const testGrace = 8 * time.Second

type testHub struct {
	*Hub
	folder string
	cancel context.CancelFunc
	done   chan error
	once   sync.Once
}

// stop stops the hub. Further calls have no effect.
func (h *testHub) stop() {
	h.once.Do(func() {
		h.cancel()
		if err := <-h.done; err != nil {
			panic(err)
		}
	})
}

// usedPorts holds the ports that freePort has returned.
var usedPorts sync.Map

// freePort returns a port that is not in use. It returns each port only once, because tests
// that run in parallel use the same addresses.
func freePort(t *testing.T) int {
	t.Helper()
	for {
		// On all addresses, because the tests listen on several loopback addresses.
		l, err := net.Listen("tcp", ":0")
		assert.NilError(t, err)
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if _, used := usedPorts.LoadOrStore(port, true); !used {
			return port
		}
	}
}

type testHubs struct {
	t       *testing.T
	port    int
	control int
	initial []string
	hubs    []*testHub
	// disks are the simulated faults of the hubs' disks.
	disks  [7]diskFaults
	clocks [7]jumpingClock
	// configure, if set, is called with each hub before its start.
	configure func(*Hub)
}

// host returns the address of hub i. Test processes that run at the same time have
// different ones, because freePort can't know the ports that the others have drawn.
func (c *testHubs) host(i int) string { return fmt.Sprintf("127.7.%d.%d", os.Getpid()%250+1, i+1) }

func (c *testHubs) address(i int) string { return fmt.Sprintf("http://%s:%d", c.host(i), c.port) }

// start starts hub i. bootstrap is set if the deployment starts for the first time.
func (c *testHubs) start(i int, folder string, bootstrap bool) *testHub {
	h := &testHub{folder: folder, done: make(chan error, 1), Hub: &Hub{
		Host: serving.HostID(c.host(i)), DataCentre: "a", Region: "a", Address: c.address(i), Listen: c.address(i)[len("http://"):],
		ControlAddress: fmt.Sprintf("%s:%d", c.host(i), c.control), Control: http.NotFoundHandler(), InitialHubs: c.initial, DataFolder: folder,
		Bootstrap: bootstrap, ToleratedDisks: 2, Grace: testGrace, HeartbeatInterval: 300 * time.Millisecond,
		OpenDisk: c.disks[i].open, Clock: &c.clocks[i],
	}}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	if c.configure != nil {
		c.configure(h.Hub)
	}
	h.Hub.once.Do(h.setup)
	go func() { h.done <- h.Run(ctx) }()
	return h
}

func startHubs(t *testing.T) *testHubs { return startHubsWith(t, nil) }

// startHubsWith is startHubs with a function that is called with each hub before its start.
func startHubsWith(t *testing.T, configure func(*Hub)) *testHubs {
	c := &testHubs{t: t, port: freePort(t), control: freePort(t), configure: configure}
	for i := range 3 {
		c.initial = append(c.initial, c.address(i))
	}
	for i := range 5 {
		c.hubs = append(c.hubs, c.start(i, t.TempDir(), true))
	}
	t.Cleanup(func() {
		for _, h := range c.hubs {
			h.stop()
		}
	})
	return c
}

// eventually repeats f until it returns no error.
func eventually(t *testing.T, f func() error) {
	t.Helper()
	var err error
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if err = f(); err == nil {
			return
		}
	}
	t.Fatal(err)
}

// onLeader calls f with each hub until f succeeds, which it does only on the leader.
func (c *testHubs) onLeader(f func(*Hub) error) error {
	var err error
	for _, h := range c.hubs {
		if err = f(h.Hub); err == nil {
			return nil
		}
	}
	return err
}

func (c *testHubs) put(version uint64) {
	c.t.Helper()
	eventually(c.t, func() error {
		return c.onLeader(func(h *Hub) error {
			return h.PutConfig(c.t.Context(), version, []byte(fmt.Sprint("document ", version)))
		})
	})
}

func (c *testHubs) expectConfig(version uint64) {
	c.t.Helper()
	eventually(c.t, func() error {
		return c.onLeader(func(h *Hub) error {
			document, got, err := h.Config(c.t.Context())
			if err == nil && (got != version || string(document) != fmt.Sprint("document ", version)) {
				c.t.Fatalf("read version %d, %q", got, document)
			}
			return err
		})
	})
}

func voters(h *Hub) (n int) {
	for _, m := range h.replica.current().State().Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// Guards against changes that are lost together with two disks. Only three of the five
// hubs are initial voters, so a change must not be accepted before all five are voters.
func TestChangesSurviveLossOfTwoDisks(t *testing.T) {
	c := startHubs(t)
	c.put(7)
	for _, h := range c.hubs {
		if h.replica.current().State().Leading {
			assert.Equal(t, voters(h.Hub), 5)
		}
	}
	assert.NilError(t, c.onLeader(func(h *Hub) error { return h.SetOutOfService(t.Context(), "b", true) }))
	// Two of the initial hubs lose their disks; the others only restart.
	for i, h := range c.hubs {
		h.stop()
		if i < 2 {
			assert.NilError(t, os.RemoveAll(h.folder))
		}
	}
	for i, h := range c.hubs {
		c.hubs[i] = c.start(i, h.folder, false)
	}
	c.expectConfig(7)
	eventually(t, func() error {
		return c.onLeader(func(h *Hub) error {
			s := h.replica.current().State()
			if !s.Leading || voters(h) != 5 {
				return fmt.Errorf("%d voters", voters(h))
			}
			for _, m := range s.Members {
				if (m.ID.Host == serving.HostID(c.host(0)) || m.ID.Host == serving.HostID(c.host(1))) && m.ID.Incarnation == "initial" {
					return fmt.Errorf("%s is still a voter", m.ID)
				}
			}
			return nil
		})
	})
	for _, h := range c.hubs {
		eventually(t, func() error {
			if out := h.State().GetOut(); len(out) != 1 || out[0] != "b" {
				return fmt.Errorf("hub %s has %v out of service", h.Host, out)
			}
			return nil
		})
	}
	c.put(9)
	c.expectConfig(9)
}

// Guards against engine changes that reach only the entries that poll the hub that
// received the heartbeat, or reach the others too late for moves.
func TestHeartbeatReachesAllEntries(t *testing.T) {
	c := startHubs(t)
	c.put(1)
	record := presence.Record{Engine: "e", Service: "s", Address: "10.0.0.9:80", DataCentre: "a", State: presence.Ready, Slots: 4, Started: 5, Sequence: 1}
	c.hubs[0].Heartbeat(record)
	watch := func(h *testHub, in *schema.WatchRequest) *schema.WatchResult {
		res, err := h.Watch(t.Context(), in)
		assert.NilError(t, err)
		return res
	}
	last := c.hubs[4]
	var initial *schema.WatchResult
	eventually(t, func() error {
		initial = watch(last, &schema.WatchRequest{Entry: "x", WaitMs: 50, Uses: []*schema.EngineUse{{Engine: "e", Running: 2}}})
		if len(initial.GetEngines()) != 1 || initial.GetState() == nil || !initial.GetConfirmed() {
			return fmt.Errorf("received %v", initial)
		}
		return nil
	})
	assert.Equal(t, initial.GetEngines()[0].GetState(), "ready")
	record.State, record.Sequence = presence.Leaving, 2
	begin := time.Now()
	c.hubs[0].Heartbeat(record)
	in := &schema.WatchRequest{Entry: "x", Revision: initial.GetState().GetRevision(), HubIncarnation: initial.GetHubIncarnation(), Cursor: initial.GetCursor(), WaitMs: 2000}
	res := watch(last, in)
	assert.Equal(t, len(res.GetEngines()), 1)
	assert.Equal(t, res.GetEngines()[0].GetState(), "leaving")
	// An engine that is reclaimed shuts down 1.5 s after its notice. Moves need most of that
	// time.
	assert.Assert(t, time.Since(begin) < time.Second)
	eventually(t, func() error {
		res := watch(c.hubs[1], &schema.WatchRequest{Entry: "y"})
		if res.GetEntries() != 2 {
			return fmt.Errorf("%d entries", res.GetEntries())
		}
		return nil
	})
}
