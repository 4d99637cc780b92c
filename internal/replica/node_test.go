package replica_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/replica"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/journal"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// machine is a state machine whose state is the list of applied commands.
type machine struct {
	mu    sync.Mutex
	state []byte
}

func (m *machine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = append(append(m.state, command...), ' ')
	return append([]byte("ok "), command...)
}

func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]byte{}, m.state...), nil
}

func (m *machine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(b) == 0 {
		// Only the first snapshot of a cluster is empty, and it must not be restored.
		return errors.New("empty snapshot")
	}
	m.state = append([]byte{}, b...)
	return nil
}

// host is one running replica on a loopback address.
type host struct {
	*replica.Node
	machine *machine
	path    string
	server  *http.Server
	cancel  context.CancelFunc
	done    chan error
}

func listen(t testing.TB, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	return l
}

func start(t testing.TB, l net.Listener, name, path string, initial []replica.InitialMember) *host {
	t.Helper()
	disk, err := journal.OpenFolder(path)
	assert.NilError(t, err)
	h := &host{machine: &machine{}, path: path, done: make(chan error, 1)}
	h.Node = &replica.Node{Host: serving.HostID(name), Address: "http://" + l.Addr().String(), Disk: disk,
		Machine: h.machine, Bootstrap: initial != nil, Initial: initial, SnapshotEvery: 50,
		// Longer than the defaults, so that a busy machine causes no election.
		Config: ledger.Config{ElectionMin: time.Second, ElectionMax: 1500 * time.Millisecond}}
	if _, ok := t.(*testing.B); ok {
		h.SnapshotEvery = replica.DefaultSnapshotEvery
	}
	mux := http.NewServeMux()
	mux.Handle(schema.LogPathPrefix, schema.NewLogServer(h.Node))
	h.server = &http.Server{Handler: mux}
	go func() { _ = h.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { h.done <- h.Run(ctx) }()
	t.Cleanup(h.stop)
	return h
}

func (h *host) stop() {
	h.cancel()
	err := <-h.done
	h.done <- err
	_ = h.server.Close()
}

func startCluster(t testing.TB, n int) []*host {
	t.Helper()
	var listeners []net.Listener
	var initial []replica.InitialMember
	for i := range n {
		l := listen(t, "127.0.0.1:0")
		listeners = append(listeners, l)
		initial = append(initial, replica.InitialMember{Host: serving.HostID(fmt.Sprintf("h%d", i)), Address: "http://" + l.Addr().String()})
	}
	var hosts []*host
	for i, l := range listeners {
		hosts = append(hosts, start(t, l, string(initial[i].Host), t.TempDir(), initial))
	}
	return hosts
}

func waitLeader(t testing.TB, hosts []*host) *host {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, h := range hosts {
			if _, self := h.Leader(); self && h.ReadBarrier(context.Background()) == nil {
				return h
			}
		}
	}
	t.Fatal("no leader within 10 s")
	return nil
}

func without(hosts []*host, excluded *host) (out []*host) {
	for _, h := range hosts {
		if h != excluded {
			out = append(out, h)
		}
	}
	return out
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a host that lost its data folder counting as a member, against the
// loss of accepted commands when it is replaced, and against a second bootstrap of
// the host under its earlier identity.
func TestRepairAfterLostFolder(t *testing.T) {
	hosts := startCluster(t, 3)
	ctx := testContext(t)
	leader := waitLeader(t, hosts)
	for i := range 120 {
		result, err := leader.Propose(ctx, fmt.Appendf(nil, "c%d", i))
		assert.NilError(t, err)
		assert.Equal(t, string(result), fmt.Sprintf("ok c%d", i))
	}
	lost := without(hosts, leader)[0]
	other := without(hosts, leader)[1]
	_, err := other.Propose(ctx, []byte("x"))
	assert.Equal(t, serving.KindOf(err), serving.KindNotLeader)
	assert.Equal(t, serving.AsError(err).Detail, leader.Address)

	address := strings.TrimPrefix(lost.Address, "http://")
	lost.stop()
	l := listen(t, address)
	initial := []replica.InitialMember{{Host: lost.Host, Address: "http://" + l.Addr().String()}, {Host: leader.Host, Address: leader.Address}}
	rebootstrapped := start(t, l, string(lost.Host), t.TempDir(), initial)
	assert.Equal(t, serving.KindOf(<-rebootstrapped.done), serving.KindConflict, "second bootstrap")
	rebootstrapped.done <- nil

	replacement := start(t, listen(t, "127.0.0.1:0"), string(lost.Host), t.TempDir(), nil)
	for replacement.Status().GetReplica() == "" {
		time.Sleep(time.Millisecond)
	}
	id := replacement.Status().GetReplica()
	// The second round repeats changes that are already in effect.
	for range 2 {
		res, err := leader.ChangeMember(ctx, &schema.MemberChange{Action: "add_learner", Replica: id, Address: replacement.Address})
		assert.NilError(t, err)
		assert.Assert(t, res.GetAccepted(), res.GetMessage())
		res, err = leader.ChangeMember(ctx, &schema.MemberChange{Action: "replace", Replica: id, OldReplica: string(lost.Host) + "/initial"})
		assert.NilError(t, err)
		assert.Assert(t, res.GetAccepted(), res.GetMessage())
	}
	want, _ := leader.machine.Snapshot()
	leader.stop()
	remaining := []*host{other, replacement}
	next := waitLeader(t, remaining)
	got, _ := next.machine.Snapshot()
	assert.Equal(t, string(got), string(want))
	_, err = next.Propose(ctx, []byte("after"))
	assert.NilError(t, err)
}

// Guards against a recovery that loses stored commands or leaves the replica
// waiting for the lost majority.
func TestRecoverLostMajority(t *testing.T) {
	hosts := startCluster(t, 3)
	ctx := testContext(t)
	leader := waitLeader(t, hosts)
	_, err := leader.Propose(ctx, []byte("kept"))
	assert.NilError(t, err)
	for _, h := range hosts {
		h.stop()
	}
	disk, err := journal.OpenFolder(leader.path)
	assert.NilError(t, err)
	l := listen(t, "127.0.0.1:0")
	report, err := replica.Recover(disk, "http://"+l.Addr().String())
	assert.NilError(t, err)
	assert.Assert(t, report.LastIndex >= ledger.Index(3))
	recovered := start(t, l, string(leader.Host), leader.path, nil)
	waitLeader(t, []*host{recovered})
	got, _ := recovered.machine.Snapshot()
	assert.Equal(t, string(got), "kept ")
}

// Guards against a leader without a quorum answering reads, and against a pending
// proposal being reported as not run although a later leader may commit it.
func TestLeaderWithoutQuorum(t *testing.T) {
	hosts := startCluster(t, 3)
	leader := waitLeader(t, hosts)
	for _, h := range without(hosts, leader) {
		h.stop()
	}
	_, err := leader.Propose(testContext(t), []byte("x"))
	assert.Equal(t, serving.AsError(err).Ran, serving.RanUnknown)
	assert.Equal(t, serving.AsError(leader.ReadBarrier(testContext(t))).Ran, serving.NotRun)
}

// Guards against a replica that continues after its disk failed, and against a
// command being reported as not run although it may have reached the disk.
func TestFullDiskStopsReplica(t *testing.T) {
	disk := journal.NewMemoryDisk()
	disk.Capacity = 2000
	n := &replica.Node{Host: "h", Address: "http://127.0.0.1:1", Disk: disk, Machine: &machine{}, Bootstrap: true,
		Initial: []replica.InitialMember{{Host: "h", Address: "http://127.0.0.1:1"}}}
	done := make(chan error, 1)
	go func() { done <- n.Run(testContext(t)) }()
	for _, self := n.Leader(); !self; _, self = n.Leader() {
		time.Sleep(time.Millisecond)
	}
	var err error
	for range 100 {
		if _, err = n.Propose(testContext(t), make([]byte, 100)); err != nil {
			break
		}
	}
	assert.Equal(t, serving.AsError(err).Ran, serving.RanUnknown)
	assert.Equal(t, serving.KindOf(<-done), serving.KindStorage)
}
