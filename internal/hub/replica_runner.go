package hub

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/internal/replica"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/deployment"
	"turmericdrum.org/turmericdrum/pkg/serving/journal"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

const (
	// reopenPause gives a faulty disk time to recover before the replica is reopened.
	reopenPause = 500 * time.Millisecond
	// snapshotEntries is the number of log entries between snapshots. It keeps the log
	// within a few megabytes when every entry is a compressed configuration of some tens
	// of kilobytes.
	snapshotEntries = 100
	// keepEntries is the number of log entries before a snapshot that are kept. A learner
	// that lacks more entries isn't made a voter.
	keepEntries = 32
	// segmentBytes is the size of the journal's segments.
	segmentBytes = 1 << 20
	// peerConnections is the number of idle connections to one other replica.
	peerConnections = 2
)

// replicaRunner runs the replica of this hub and reopens it after a failure of the disk.
// The hub continues to serve entries and engines in the meantime.
type replicaRunner struct {
	mu      sync.Mutex
	node    *replica.Node
	machine *deployment.Machine
	// replaced is closed when node and machine are replaced.
	replaced chan struct{}
}

func (r *replicaRunner) setup(h *Hub) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine = deployment.New()
	r.node = r.newNode(h, nil)
	r.replaced = make(chan struct{})
}

func (r *replicaRunner) current() *replica.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node
}

// state returns the deployment state of the replica.
func (r *replicaRunner) state() *schema.DeploymentState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.State()
}

// changes returns two channels. changed is closed when the state changes after the
// call, replaced when the replica is reopened.
func (r *replicaRunner) changes() (changed, replaced <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Changed(), r.replaced
}

// run runs the replica until ctx is canceled.
func (r *replicaRunner) run(ctx context.Context, h *Hub) error {
	bootstrap := h.Bootstrap && h.isInitial()
	for {
		err := r.runOnce(ctx, h, bootstrap)
		if ctx.Err() != nil {
			return nil
		}
		if serving.KindOf(err) == serving.KindConflict && bootstrap {
			// The disk was lost after the first start, so the hub joins with a new
			// identity.
			bootstrap = false
		}
		replicaReopened.Add(1)
		klog.ErrorS(err, "Replica stopped, reopening it", "host", h.Host, "bootstrap", bootstrap)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reopenPause):
		}
		r.mu.Lock()
		r.machine = deployment.New()
		r.node = r.newNode(h, nil)
		close(r.replaced)
		r.replaced = make(chan struct{})
		r.mu.Unlock()
	}
}

func (r *replicaRunner) runOnce(ctx context.Context, h *Hub, bootstrap bool) error {
	disk, err := h.OpenDisk(h.DataFolder)
	if err != nil {
		return err
	}
	n := r.current()
	n.Disk, n.Bootstrap = disk, bootstrap
	return n.Run(ctx)
}

func (r *replicaRunner) newNode(h *Hub, disk journal.Disk) *replica.Node {
	client := &http.Client{Transport: &answer.Transport{Next: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: peerConnections, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}}
	transport := replica.NewHTTPTransport()
	transport.Client = client
	n := &replica.Node{
		Host: h.Host, Address: h.Address, Disk: disk, Machine: r.machine, SnapshotEvery: snapshotEntries,
		SegmentSize: segmentBytes, Config: ledger.Config{KeepEntries: keepEntries}, Clock: h.Clock, Transport: transport, Client: client,
	}
	for _, address := range h.InitialHubs {
		n.Initial = append(n.Initial, replica.InitialMember{Host: hostOf(address), Address: address})
	}
	return n
}

// isInitial reports whether this hub is one of the InitialHubs.
func (h *Hub) isInitial() bool {
	for _, address := range h.InitialHubs {
		if address == h.Address {
			return true
		}
	}
	return false
}

// Deliver implements schema.Log. It forwards the messages to the current replica.
func (r *replicaRunner) Deliver(ctx context.Context, in *schema.LogMessages) (*schema.DeliverResult, error) {
	return r.current().Deliver(ctx, in)
}
