package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/journal"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

const (
	// DefaultSnapshotEvery is the number of entries between snapshots.
	DefaultSnapshotEvery = 10_000
	// maxPendingProposals bounds the proposals that wait for their result.
	maxPendingProposals = 16_384
	// maxEventsPerSync bounds the messages and requests handled before the next
	// sync.
	maxEventsPerSync = 4096
	inboxSize        = 4096
	// missingLeaderInterval is the time without a leader after which the state of the
	// election is logged, and the interval at which it is repeated.
	missingLeaderInterval = 2 * time.Second
	// snapshotFormat is the first byte of a snapshot. It distinguishes an empty
	// state of the machine from the first snapshot of a cluster, which has no
	// bytes.
	snapshotFormat = 1
)

var _ serving.ReplicatedLog = (*Node)(nil)
var _ schema.Log = (*Node)(nil)

// InitialMember is a voter at the first start of a cluster.
type InitialMember struct {
	Host    serving.HostID
	Address string
}

// Node is a running replica. Zero values of optional fields mean defaults.
type Node struct {
	Host serving.HostID
	// Address is the base URL at which other replicas reach this one.
	Address string
	Disk    journal.Disk
	Machine serving.StateMachine
	// Bootstrap starts a new cluster of the Initial members; see the package comment.
	Bootstrap bool
	Initial   []InitialMember

	// SnapshotEvery is the number of applied entries after which a snapshot is
	// taken and the log compacted.
	SnapshotEvery int
	// Config holds the timing of the log. Run sets Self, and Random if it is nil.
	Config ledger.Config
	// SegmentSize is the size of the journal's segments in bytes.
	SegmentSize int
	Clock       serving.Clock
	Transport   Transport
	// Client queries the initial members during bootstrap; nil means a client with
	// http.DefaultTransport.
	Client *http.Client

	once     sync.Once
	inbox    chan ledger.Message
	requests chan request
	stopped  chan struct{}
	status   atomic.Pointer[nodeStatus]
	// addresses holds the address of each identity that has sent a message.
	addresses sync.Map

	// syncEach limits a sync to one request. Benchmarks use it as a baseline.
	syncEach bool

	journal *journal.Journal
	replica *ledger.Replica
	applied ledger.Index
	// snapshotIndex is the index of the last snapshot or failed attempt to take one.
	snapshotIndex    ledger.Index
	pendingProposals map[ledger.Index]pendingProposal
	pendingReads     []pendingRead
	pendingChanges   []pendingChange
	// missingLeaderLogged is when logMissingLeader last logged.
	missingLeaderLogged time.Duration
}

// nodeStatus is the immutable status that the control goroutine publishes to other
// goroutines.
type nodeStatus struct {
	ledger.Status
	applied ledger.Index
}

// setup prepares the node for the methods that may be called before Run.
func (n *Node) setup() {
	n.once.Do(func() {
		n.inbox = make(chan ledger.Message, inboxSize)
		n.requests = make(chan request, maxEventsPerSync)
		n.stopped = make(chan struct{})
		n.pendingProposals = map[ledger.Index]pendingProposal{}
		n.status.Store(&nodeStatus{})
	})
}

// Run opens the data folder and runs the replica. It returns nil when the context
// ends, or an error if the start or storage fails. It must be called only once.
func (n *Node) Run(ctx context.Context) error {
	n.setup()
	defer close(n.stopped)
	if n.Clock == nil {
		n.Clock = serving.NewMonotonicClock()
	}
	if n.Transport == nil {
		n.Transport = NewHTTPTransport()
	}
	if n.Config.Heartbeat == 0 {
		n.Config.Heartbeat = ledger.DefaultHeartbeat
	}
	if n.SnapshotEvery == 0 {
		n.SnapshotEvery = DefaultSnapshotEvery
	}
	if err := n.open(ctx); err != nil {
		return err
	}
	defer func() { _ = n.journal.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { n.Transport.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	defer n.failPending()
	klog.InfoS("replica started", "replica", n.journal.Self(), "address", n.Address, "applied", n.applied)
	return n.loopRecovered(ctx)
}

// loopRecovered runs loop. It returns a panic as an error, so that an unexpected message
// stops this replica but not the rest of the process, which may open the replica again.
func (n *Node) loopRecovered(ctx context.Context) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = serving.NewError(serving.KindInternal, fmt.Sprint("the replica panicked: ", r))
			klog.ErrorS(err, "Replica panicked", "replica", n.journal.Self(), "stack", string(debug.Stack()))
		}
	}()
	return n.loop(ctx)
}

func (n *Node) open(ctx context.Context) error {
	opts := journal.Options{Host: n.Host, SegmentSize: n.SegmentSize}
	if n.Bootstrap {
		if err := n.prepareBootstrap(ctx, &opts); err != nil {
			return err
		}
	}
	j, state, err := journal.Open(n.Disk, opts)
	if err != nil {
		return err
	}
	n.journal = j
	if err := n.restore(state.Snapshot.Data); err != nil {
		_ = j.Close()
		return err
	}
	cfg := n.Config
	cfg.Self = j.Self()
	if cfg.Random == nil {
		cfg.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	cfg.CheckSnapshot = n.checkSnapshot
	n.replica, err = ledger.New(cfg, state, n.Clock.Now())
	if err != nil {
		_ = j.Close()
		return err
	}
	n.applied, n.snapshotIndex = state.Snapshot.Index, state.Snapshot.Index
	n.publishStatus()
	s := n.replica.Status()
	klog.InfoS("Data folder opened", "replica", j.Self(), "created", j.Created(), "segments", j.Segments(), "discarded_bytes", j.DiscardedBytes(),
		"snapshot", s.Snapshot, "last", s.Last, "term", s.Term, "vote", state.Hard.Vote, "voters", voterIDs(s.Membership))
	return nil
}

func voterIDs(m ledger.Membership) (out []string) {
	for _, member := range m.Members {
		if member.Voter {
			out = append(out, member.ID.String())
		}
	}
	return out
}

// loop runs on the control goroutine. All events that arrive during one sync are
// handled before the next sync and share it.
func (n *Node) loop(ctx context.Context) error {
	ticker := time.NewTicker(n.Config.Heartbeat / 5)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case m := <-n.inbox:
			n.replica.Step(n.Clock.Now(), m)
		case q := <-n.requests:
			n.handle(q)
		}
		n.handleQueued()
		n.replica.Tick(n.Clock.Now())
		if err := n.flush(); err != nil {
			klog.ErrorS(err, "Stopping replica after an error", "replica", n.journal.Self())
			return err
		}
	}
}

// handleQueued handles queued messages before queued requests, so that a leader
// that has received a message with a higher term steps down before it answers
// requests.
func (n *Node) handleQueued() {
	for range maxEventsPerSync {
		select {
		case m := <-n.inbox:
			n.replica.Step(n.Clock.Now(), m)
			continue
		default:
		}
		if n.syncEach {
			return
		}
		select {
		case q := <-n.requests:
			n.handle(q)
		default:
			return
		}
	}
}

// flush persists entries, sends messages and applies committed entries until the
// ledger has nothing more to persist, send or apply.
func (n *Node) flush() error {
	for {
		rd := n.replica.Ready()
		if rd.Empty() {
			break
		}
		n.send(rd.Immediate)
		err := n.journal.Save(rd)
		n.replica.Persisted(rd, err)
		if err != nil {
			return err
		}
		n.send(rd.Messages)
		if err := n.apply(rd); err != nil {
			return err
		}
		n.compact()
	}
	n.publishStatus()
	n.completePending()
	return n.replica.Err()
}

func (n *Node) apply(rd ledger.Ready) error {
	if rd.Install && rd.Snapshot.Index > n.applied {
		if err := n.restore(rd.Snapshot.Data); err != nil {
			return err
		}
		n.applied, n.snapshotIndex = rd.Snapshot.Index, rd.Snapshot.Index
	}
	for _, e := range rd.Committed {
		var result []byte
		if e.Type == ledger.EntryCommand {
			result = n.Machine.Apply(uint64(e.Index), e.Data)
		}
		n.applied = e.Index
		if p, ok := n.pendingProposals[e.Index]; ok {
			delete(n.pendingProposals, e.Index)
			if p.term == e.Term {
				p.reply <- response{result: result}
			} else {
				p.reply <- response{err: errLeadershipLost()}
			}
		}
	}
	return nil
}

func (n *Node) compact() {
	if n.applied-n.snapshotIndex < ledger.Index(n.SnapshotEvery) {
		return
	}
	n.snapshotIndex = n.applied
	state, err := n.Machine.Snapshot()
	if err != nil {
		klog.ErrorS(err, "Snapshot failed; the log is not compacted before the next snapshot", "index", n.applied)
		return
	}
	n.replica.Compact(n.applied, append([]byte{snapshotFormat}, state...))
}

// restore sets the machine to a stored snapshot. Only the first snapshot of a
// cluster is empty; the machine then keeps its initial state.
func (n *Node) restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		return nil
	}
	if snapshot[0] != snapshotFormat {
		return serving.NewError(serving.KindDamaged, "the snapshot was written by a newer version")
	}
	if err := n.Machine.Restore(snapshot[1:]); err != nil {
		return serving.WrapError(err, serving.KindDamaged, "restore the state machine")
	}
	return nil
}

// checkSnapshot returns an error for a snapshot from which the machine can't be restored.
// Once such a snapshot is stored, the replica could not be opened again.
func (n *Node) checkSnapshot(data []byte) error {
	var err error
	if len(data) > 0 && data[0] != snapshotFormat {
		err = serving.NewError(serving.KindDamaged, "the snapshot was written by a newer version")
	} else if checker, ok := n.Machine.(serving.SnapshotChecker); ok && len(data) > 0 {
		err = checker.CheckSnapshot(data[1:])
	}
	if err != nil {
		messagesRejected.Add(1)
		klog.ErrorS(err, "Snapshot of the leader rejected", "replica", n.journal.Self(), "bytes", len(data))
	}
	return err
}

func (n *Node) send(messages []ledger.Message) {
	if len(messages) == 0 {
		return
	}
	byAddress := map[string][]*schema.LogMessage{}
	membership := n.replica.Membership()
	for _, m := range messages {
		address := ""
		if member, ok := membership.Find(m.To); ok {
			address = member.Address
		} else if sender, ok := n.addresses.Load(m.To.String()); ok {
			address = sender.(string)
		}
		if address != "" {
			wire := toWire(m)
			wire.FromAddress = n.Address
			byAddress[address] = append(byAddress[address], wire)
		}
	}
	for address, batch := range byAddress {
		n.Transport.Send(address, batch)
	}
}

func (n *Node) publishStatus() {
	s := n.replica.Status()
	n.status.Store(&nodeStatus{Status: s, applied: n.applied})
	n.logMissingLeader(&s)
}

// logMissingLeader logs, at an interval, which voters have not granted their vote while
// this replica tries to become the leader.
func (n *Node) logMissingLeader(s *ledger.Status) {
	now := n.Clock.Now()
	if len(s.Granted) == 0 || now-s.LastContact < missingLeaderInterval || now-n.missingLeaderLogged < missingLeaderInterval {
		return
	}
	n.missingLeaderLogged = now
	var missing []string
	for _, m := range s.Membership.Members {
		if m.Voter && !slices.Contains(s.Granted, m.ID) {
			missing = append(missing, m.ID.String())
		}
	}
	klog.InfoS("No leader elected", "replica", s.Self, "role", s.Role, "term", s.Term, "last", s.Last, "since_contact", now-s.LastContact,
		"granted", s.Granted, "not_granted", missing, "joint", s.Membership.Joint())
}
