package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/e2e/history"
	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// viewLease is the default lease of entries' views.
	viewLease = 2500 * time.Millisecond
	// slotTTL is the lifetime of a slot, the permission of an entry to run a generation
	// at an engine. The entry that grants the slots of an engine is its owner. A new owner
	// waits until the slots that the old one granted have expired. The default of 2 s
	// would lengthen this wait.
	slotTTL = time.Second
	// maxClusters bounds the clusters that run at the same time.
	maxClusters = 8
	// coldLimit is the number of generations that a cold stand-in engine can hold without
	// being restarted by overload.
	coldLimit = 2
	account   = "bench"
)

var clusterSemaphore = make(chan struct{}, maxClusters)

// spec describes a cluster.
type spec struct {
	entries, engines, services int
	// centres is the number of data centres over which the processes are distributed;
	// default 2.
	centres int
	// links puts a link in front of each process.
	links bool
	// coldFor is how long an engine is cold after its start; default 500 ms.
	coldFor time.Duration
	// stepTime is the generation time of one token; default 5 ms.
	stepTime time.Duration
	// onExpired is the setting on_expired_view of the entries.
	onExpired string
	// engineArgs are additional arguments of the engines.
	engineArgs []string
}

// node is one process of a cluster, with its arguments for a restart.
type node struct {
	*process
	name string
	// listenAddress is the address on which the process listens. Other processes use
	// process.address, which is that of the link, if there is one.
	listenAddress string
	centre        string
	link          *link
	// args are the program and its arguments.
	args []string
	// dataDir is the data folder of a control replica.
	dataDir string
}

// cluster is a running fleet that was configured by newCluster.
type cluster struct {
	*fleet
	spec
	seed       uint64
	controls   []*node
	entries    []*node
	engines    []*node
	services   []*node
	admin      *rpc.Client
	changes    []history.Change
	silentCold []history.SilentCold
}

// centreLetter returns the letter of the data centre of process i.
func centreLetter(i, centres int) string { return string(rune('a' + i%max(centres, 1))) }

// newCluster starts and configures a cluster and waits until every entry has
// discovered all engines and answers calls.
func newCluster(t *testing.T, s spec) *cluster {
	t.Helper()
	clusterSemaphore <- struct{}{}
	t.Cleanup(func() { <-clusterSemaphore })
	if s.centres == 0 {
		s.centres = 2
	}
	if s.stepTime == 0 {
		s.stepTime = 5 * time.Millisecond
	}
	if s.coldFor == 0 {
		s.coldFor = 500 * time.Millisecond
	}
	c := &cluster{fleet: newFleet(t), spec: s, seed: seedOf(t)}
	for i := range 3 {
		c.controls = append(c.controls, c.newNode("control", i, 3))
	}
	for i := range s.entries {
		c.entries = append(c.entries, c.newNode("entry", i, s.centres))
	}
	for i := range s.engines {
		c.engines = append(c.engines, c.newNode("engine", i, s.centres))
	}
	for i := range s.services {
		c.services = append(c.services, c.newNode("counter", i, s.centres))
	}
	for _, n := range c.controls {
		n.dataDir = filepath.Join(c.dir, n.name+".data")
		n.args = []string{"turmericdrum", "control", "--settings", c.writeSettings(n.name, c.controlSettings(n))}
		n.process = c.start(n.name, n.address, n.args[0], append(n.args[1:], "--bootstrap")...)
	}
	for _, n := range c.entries {
		n.args = []string{"turmericdrum", "entry", "--settings", c.writeSettings(n.name, c.entrySettingsOf(n))}
		c.launch(n)
	}
	for _, n := range c.engines {
		n.args = append(c.standinArgs(n), "--model", "guide@1", "--cold-for", s.coldFor.String(),
			"--cold-running", fmt.Sprint(coldLimit), "--step-base", s.stepTime.String(), "--record", c.recordPath(n.name))
		n.args = append(n.args, s.engineArgs...)
		c.launch(n)
	}
	for _, n := range c.services {
		n.args = append(c.standinArgs(n), "--kind", "service", "--service", "counter", "--record", c.recordPath("counter"))
		c.launch(n)
	}
	c.configure()
	return c
}

// seedOf derives the seed of a test from its name, so that it is the same in every run,
// and logs it.
func seedOf(t *testing.T) uint64 {
	seed := uint64(1)
	for _, b := range []byte(t.Name()) {
		seed = seed*31 + uint64(b)
	}
	t.Logf("seed %d", seed)
	return seed
}

func (c *cluster) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(c.seed, stream)) }

func (c *cluster) newNode(kind string, i, centres int) *node {
	n := &node{name: fmt.Sprintf("%s-%s%d", kind, centreLetter(i, centres), i/max(centres, 1)+1), centre: "dc-" + centreLetter(i, centres)}
	n.listenAddress = freeAddress(c.t)
	n.process = &process{name: n.name, address: n.listenAddress}
	if c.links {
		n.link = newLink(c.t, n.listenAddress)
		n.address = n.link.address()
	}
	return n
}

func addresses(nodes []*node) []string {
	var all []string
	for _, n := range nodes {
		all = append(all, n.address)
	}
	return all
}

func (c *cluster) controlSettings(n *node) *settings.Settings {
	s := &settings.Settings{
		Host: serving.HostID(n.name), DataCentre: serving.DataCentreID(n.centre), Region: serving.RegionID("region-" + n.centre),
		Listen: settings.Address(n.listenAddress), Advertise: settings.Address(n.address), ClusterKey: clusterKey,
		Control: &settings.Control{Data: n.dataDir, OperatorKeyHash: hexHash(operatorKey)},
	}
	for _, o := range c.controls {
		s.Control.Replicas = append(s.Control.Replicas, settings.Replica{Host: serving.HostID(o.name), Address: settings.Address(o.address)})
	}
	return s
}

func (c *cluster) entrySettingsOf(n *node) *settings.Settings {
	var peers []string
	for _, o := range c.entries {
		if o != n {
			peers = append(peers, o.address)
		}
	}
	s := c.entrySettings(n.name, n.listenAddress, addresses(c.controls), peers...)
	s.Advertise = settings.Address(n.address)
	s.DataCentre, s.Region = serving.DataCentreID(n.centre), serving.RegionID("region-"+n.centre)
	s.Entry.SlotTTL.Duration = slotTTL
	s.Entry.OnExpiredView = c.onExpired
	return s
}

func (c *cluster) standinArgs(n *node) []string {
	args := []string{"standin-engine", "--name", n.name, "--data-centre", n.centre, "--listen", n.listenAddress, "--advertise", n.address, "--cluster-key", clusterKey}
	for _, e := range c.entries {
		args = append(args, "--entry", e.address)
	}
	return args
}

func (c *cluster) recordPath(name string) string { return filepath.Join(c.dir, name+".record.jsonl") }

// launch starts or restarts the process of a node.
func (c *cluster) launch(n *node) { n.process = c.start(n.name, n.address, n.args[0], n.args[1:]...) }

func (c *cluster) configure() {
	c.t.Helper()
	c.admin = &rpc.Client{Addresses: addresses(c.controls), Key: operatorKey, Timeout: 20 * time.Second}
	c.put(schema.ObjectKind_OBJECT_KIND_MODEL, "guide", 0, &schema.Object{Spec: &schema.Object_Model{Model: &schema.Model{Versions: []*schema.ModelVersion{{Version: "1", Share: 1}}}}})
	c.put(schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, account, 0, accountObject(1, callerKey))
	c.put(schema.ObjectKind_OBJECT_KIND_SERVICE, "counter", 0, &schema.Object{Spec: &schema.Object_Service{Service: &schema.Service{
		Routes: []*schema.Route{{PathPrefix: "/", TimeoutMs: 3000}}, LookupPath: "/v1/calls/",
	}}})
	for i := range c.centres {
		name := "dc-" + centreLetter(i, c.centres)
		c.put(schema.ObjectKind_OBJECT_KIND_DATA_CENTRE, name, 0, &schema.Object{Spec: &schema.Object_DataCentre{DataCentre: &schema.DataCentre{Region: "region-" + name}}})
	}
	for _, e := range c.entries {
		c.awaitEntry(e, len(c.engines)+len(c.services))
	}
	for _, e := range c.entries {
		c.awaitAnswer(e)
	}
}

func accountObject(weight float64, keys ...string) *schema.Object {
	a := &schema.ClientAccount{Weight: weight}
	for _, k := range keys {
		a.KeyHashes = append(a.KeyHashes, keyHash(k))
	}
	return &schema.Object{Spec: &schema.Object_ClientAccount{ClientAccount: a}}
}

// apply sends a change, requires that it is accepted, and records it in c.changes.
func (c *cluster) apply(expected uint64, change *schema.Change) history.Change {
	c.t.Helper()
	change.CommandId = fmt.Sprintf("test-%d-%d", len(c.changes), time.Now().UnixNano())
	change.ExpectedRevision, change.IssuedAtMs = expected, time.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	res, err := c.admin.Apply(ctx, change)
	assert.NilError(c.t, err)
	assert.NilError(c.t, rpc.OutcomeError(res))
	accepted := history.Change{Revision: res.Revision, Accepted: time.Now()}
	c.changes = append(c.changes, accepted)
	return accepted
}

func (c *cluster) put(kind schema.ObjectKind, id string, expected uint64, o *schema.Object) history.Change {
	c.t.Helper()
	o.Kind, o.Id = kind, id
	return c.apply(expected, &schema.Change{Action: &schema.Change_Put{Put: o}})
}

// revision returns the current revision of an object.
func (c *cluster) revision(kind schema.ObjectKind, name string) uint64 {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	res, err := c.admin.Read(ctx, &schema.ReadRequest{Kind: kind, Name: name})
	assert.NilError(c.t, err)
	assert.Equal(c.t, len(res.Objects), 1)
	return res.Objects[0].Revision
}

func (c *cluster) takeOut(centre string) history.Change {
	c.t.Helper()
	kind := schema.ObjectKind_OBJECT_KIND_DATA_CENTRE
	return c.apply(c.revision(kind, centre), &schema.Change{Action: &schema.Change_TakeOut{TakeOut: &schema.ObjectName{Kind: kind, Name: centre}}})
}

func (c *cluster) bringBack(centre string) history.Change {
	c.t.Helper()
	kind := schema.ObjectKind_OBJECT_KIND_DATA_CENTRE
	return c.apply(c.revision(kind, centre), &schema.Change{Action: &schema.Change_BringBack{BringBack: &schema.ObjectName{Kind: kind, Name: centre}}})
}

// entryVars are the variables of an entry that the tests read.
type entryVars struct {
	Engines  int    `json:"engines"`
	AgeMS    int64  `json:"view_age_ms"`
	Revision uint64 `json:"view_revision"`
}

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}

func readVars(n *node) (v entryVars, err error) {
	res, err := probeClient.Get("http://" + n.listenAddress + "/debug/vars")
	if err != nil {
		return v, err
	}
	defer res.Body.Close()
	var all struct {
		Entry entryVars `json:"entry"`
	}
	err = json.NewDecoder(res.Body).Decode(&all)
	return all.Entry, err
}

// awaitEntry waits until an entry is ready and has discovered n engines.
func (c *cluster) awaitEntry(e *node, n int) {
	c.t.Helper()
	eventually(c.t, e.name+" is ready", 20*time.Second, func() error {
		v, err := readVars(e)
		if err == nil && v.Engines < n {
			err = fmt.Errorf("%d engines discovered", v.Engines)
		}
		return errors.Join(err, checkReady(e.listenAddress))
	})
}

// awaitAnswer waits until an entry returns a complete answer.
func (c *cluster) awaitAnswer(e *node) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	eventually(c.t, "answer of "+e.name, 25*time.Second, func() error {
		a, err := complete(ctx, e.listenAddress, callerKey, map[string]any{"model": "guide", "prompt": "probe", "stream": true, "test_length": 3})
		if err != nil {
			return err
		}
		return a.checkComplete(3)
	})
}

// leader waits until a control replica is the leader and returns it.
func (c *cluster) leader() *node {
	c.t.Helper()
	var found *node
	eventually(c.t, "control leader", 15*time.Second, func() error {
		for _, n := range c.controls {
			st, err := c.status(n)
			if err == nil && st.Role == "leader" {
				found = n
				return nil
			}
		}
		return errors.New("no replica reports the role leader")
	})
	return found
}

func (c *cluster) status(n *node) (*schema.ReplicaStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	return operator(n.address).Status(ctx, &schema.StatusRequest{})
}

// follower returns a control replica that is not the leader.
func (c *cluster) follower() *node {
	c.t.Helper()
	leader := c.leader()
	return c.controls[(slices.Index(c.controls, leader)+1)%len(c.controls)]
}

// freeze suspends a process for a duration.
func freeze(n *node, d time.Duration) {
	n.signal(syscall.SIGSTOP)
	time.Sleep(d) // Separate processes have no virtual clock.
	n.signal(syscall.SIGCONT)
}

// injectFault injects a fault into a stand-in engine.
func (c *cluster) injectFault(n *node, f standin.Fault) {
	c.t.Helper()
	c.post(n, "/v1/faults", f)
	if f.Name == "cold" {
		c.silentCold = append(c.silentCold, history.SilentCold{Engine: serving.EngineID(n.name), At: time.Now()})
	}
}

func (c *cluster) post(n *node, path string, body any) {
	c.t.Helper()
	b, err := json.Marshal(body)
	assert.NilError(c.t, err)
	res, err := probeClient.Post("http://"+n.listenAddress+path, "application/json", bytes.NewReader(b))
	assert.NilError(c.t, err)
	_ = res.Body.Close()
	assert.Equal(c.t, res.StatusCode, http.StatusOK)
}

// setEntryLinks applies a rule to the links between an entry and the control replicas and
// other entries, in both directions. Engines and callers still reach the entry.
func (c *cluster) setEntryLinks(e *node, r rule) {
	for _, n := range slices.Concat(c.controls, c.entries) {
		if n != e {
			n.link.setRule(e.name, r)
			e.link.setRule(n.name, r)
		}
	}
}

// setControlLinks applies a rule to the links between a control replica and the other
// replicas, in both directions. Operators and entries still reach the replica.
func (c *cluster) setControlLinks(n *node, r rule) {
	for _, o := range c.controls {
		if o != n {
			o.link.setRule(n.name, r)
			n.link.setRule(o.name, r)
		}
	}
}

// events returns the events in the records of all stand-in engines, sorted by time.
func (c *cluster) events() []standin.Event {
	c.t.Helper()
	paths, err := filepath.Glob(filepath.Join(c.dir, "*.record.jsonl"))
	assert.NilError(c.t, err)
	var all []standin.Event
	for _, path := range paths {
		b, err := os.ReadFile(path)
		assert.NilError(c.t, err)
		for line := range bytes.Lines(b) {
			var ev standin.Event
			assert.NilError(c.t, json.Unmarshal(line, &ev), path)
			all = append(all, ev)
		}
	}
	slices.SortStableFunc(all, func(a, b standin.Event) int { return int(a.WallMS - b.WallMS) })
	return all
}

// enginesIn lists the engines and services of a data centre.
func (c *cluster) enginesIn(centre string) []serving.EngineID {
	var all []serving.EngineID
	for _, n := range slices.Concat(c.engines, c.services) {
		if n.centre == centre {
			all = append(all, serving.EngineID(n.name))
		}
	}
	return all
}

// runAdmin runs the admin command against all control replicas.
func (c *cluster) runAdmin(args ...string) (string, error) {
	return c.run(append([]string{"admin", "--server", strings.Join(addresses(c.controls), ","), "--key", operatorKey}, args...)...)
}
