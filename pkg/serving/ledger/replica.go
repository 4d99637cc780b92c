package ledger

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Defaults of Config.
const (
	DefaultHeartbeat     = 100 * time.Millisecond
	DefaultElectionMin   = 500 * time.Millisecond
	DefaultElectionMax   = time.Second
	DefaultMaxBatch      = 256
	DefaultMaxDrift      = 0.05
	DefaultSnapshotChunk = 256 << 10
	DefaultKeepEntries   = 1024
)

// maxBatchBytes limits the entry data of one append message. A larger entry is
// sent alone.
const maxBatchBytes = 1 << 20

// windowBatches limits the entries in flight to one member. The leader sends no
// more while windowBatches × MaxBatch entries are not acknowledged.
const windowBatches = 8

// Config is the configuration of a replica. Zero values select the defaults,
// except for Self and Random, which are required.
type Config struct {
	Self serving.ReplicaID
	// Heartbeat is the interval between heartbeats. The election timeout is random,
	// between ElectionMin and ElectionMax.
	Heartbeat, ElectionMin, ElectionMax time.Duration
	// MaxBatch is the maximum number of entries in one append message.
	MaxBatch int
	// MaxDrift is the maximum relative drift between the monotonic clocks of two
	// hosts.
	MaxDrift float64
	// SnapshotChunk is the maximum number of bytes of a snapshot in one message.
	SnapshotChunk int
	// KeepEntries is the number of entries before a snapshot that stay in memory,
	// so that a member slightly behind needs no snapshot. Negative means none.
	KeepEntries int
	Random      serving.Random
	// CheckSnapshot, if set, returns an error for the data of a snapshot that must not be
	// installed.
	CheckSnapshot func(data []byte) error
}

func (c *Config) setDefaults() {
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.ElectionMin, DefaultElectionMin)
	setDefault(&c.ElectionMax, DefaultElectionMax)
	setDefault(&c.MaxBatch, DefaultMaxBatch)
	setDefault(&c.MaxDrift, DefaultMaxDrift)
	setDefault(&c.SnapshotChunk, DefaultSnapshotChunk)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	c.KeepEntries = max(c.KeepEntries, 0)
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// defects enables deliberate defects, with which the tests verify that their checks
// work.
type defects struct {
	ignoreLease bool
	// leaseFromAck starts the lease when an acknowledgement arrives, not when the
	// heartbeat was sent.
	leaseFromAck  bool
	commitAnyTerm bool
	// voteAfterContact disables withholdsVote.
	voteAfterContact bool
	skipJoint        bool
	// staleClock makes reads use the time of the last tick.
	staleClock bool
	lastTick   time.Duration
}

// Replica is one replica of the log. It is not safe for concurrent use.
type Replica struct {
	cfg     Config
	defects defects
	log     *raftLog
	hard    HardState
	role    Role
	leader  serving.ReplicaID
	commit  Index
	// applied is the last index returned in Ready.Committed.
	applied Index
	// stable is the last index that is durable on this replica.
	stable Index
	// lastContact is the time of the last message from a leader, or the start time.
	lastContact time.Duration
	// hadLeader is set once this replica has been the leader or heard from one.
	hadLeader        bool
	electionDeadline time.Duration
	votes            map[serving.ReplicaID]bool
	incoming         *incomingSnapshot

	// State of the leader. The map rounds holds the send times of recent heartbeat
	// rounds, and promotionBarriers the index that each learner must reach before
	// it can become a voter.
	progress          map[serving.ReplicaID]*progress
	promotionBarriers map[serving.ReplicaID]Index
	round             uint64
	rounds            map[uint64]time.Duration
	nextHeartbeat     time.Duration
	electedAt         time.Duration
	// quorumUntil is the time until which checkQuorum need not check again.
	quorumUntil time.Duration

	// Output for the next Ready. savedHard is the hard state at the last Ready, and
	// firstUnsaved the first index whose entry no Ready has returned yet.
	// awaitingPersisted is set from a Ready that is not empty until the call of
	// Persisted.
	immediate, messages []Message
	savedHard           HardState
	firstUnsaved        Index
	newSnapshot         *Snapshot
	install             bool
	awaitingPersisted   bool
	err                 error
}

// New returns a replica that starts from state at time now. A replica without
// a stored membership waits until a leader that has it as a member contacts it.
func New(cfg Config, state PersistentState, now time.Duration) (*Replica, error) {
	cfg.setDefaults()
	if cfg.Self == (serving.ReplicaID{}) || cfg.Random == nil {
		return nil, serving.NewError(serving.KindInvalid, "a replica needs an identity and a source of randomness")
	}
	if cfg.Heartbeat >= cfg.ElectionMin || cfg.ElectionMin >= cfg.ElectionMax || cfg.MaxDrift < 0 || cfg.MaxDrift >= 0.5 {
		return nil, serving.NewError(serving.KindInvalid, "needed: heartbeat < election_min < election_max, 0 <= max_drift < 0.5")
	}
	l, err := newLog(state)
	if err != nil {
		return nil, err
	}
	r := &Replica{cfg: cfg, log: l, hard: state.Hard, savedHard: state.Hard,
		commit: l.snapshot.Index, applied: l.snapshot.Index, stable: l.last(), firstUnsaved: l.last() + 1, lastContact: now}
	if term := l.lastTerm(); term > r.hard.Term {
		// The process crashed between storing an installed snapshot and the hard state.
		r.hard = HardState{Term: term}
	}
	r.resetElectionDeadline(now)
	return r, nil
}

// Tick starts an election, sends heartbeats or checks the quorum if that is due
// at time now.
func (r *Replica) Tick(now time.Duration) {
	if r.err != nil {
		return
	}
	r.defects.lastTick = now
	if r.role == Leader {
		r.checkQuorum(now)
	}
	switch {
	case r.role == Leader && now >= r.nextHeartbeat:
		r.broadcastHeartbeat(now)
	case r.role != Leader && now >= r.electionDeadline:
		r.startPreVote(now)
	}
}

// Step processes a message. It ignores messages to another replica identity.
func (r *Replica) Step(now time.Duration, m Message) {
	if r.err != nil || m.To != r.cfg.Self || m.From == r.cfg.Self {
		return
	}
	if r.role == Leader {
		r.checkQuorum(now)
	}
	switch m.Type {
	case MsgPreVote:
		r.onPreVote(now, m)
	case MsgVote:
		r.onVote(now, m)
	case MsgPreVoteResult, MsgVoteResult, MsgAppendResult, MsgHeartbeatResult, MsgSnapshotResult:
		r.onResult(now, m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		r.onLeaderMessage(now, m)
	}
}

// onResult processes a response. It ignores responses of replicas that are not
// members.
func (r *Replica) onResult(now time.Duration, m Message) {
	if _, ok := r.Membership().Find(m.From); !ok {
		return
	}
	// A granted pre-vote carries the term of an election that has not started.
	if m.Term > r.hard.Term && (m.Type != MsgPreVoteResult || m.Reject) {
		r.becomeFollower(m.Term, serving.ReplicaID{})
		return
	}
	switch m.Type {
	case MsgPreVoteResult, MsgVoteResult:
		r.onVoteResult(now, m)
	default:
		if r.role == Leader && m.Term == r.hard.Term {
			r.onReplicationResult(now, m)
		}
	}
}

func (r *Replica) onLeaderMessage(now time.Duration, m Message) {
	if m.Term < r.hard.Term {
		// The higher term in this response makes an old leader step down.
		r.send(Message{Type: MsgAppendResult, To: m.From, Reject: true, RejectHint: r.log.last()})
		return
	}
	if m.Term > r.hard.Term || r.role != Follower {
		r.becomeFollower(m.Term, m.From)
	}
	r.leader = m.From
	r.lastContact, r.hadLeader = now, true
	r.resetElectionDeadline(now)
	switch m.Type {
	case MsgAppend:
		r.onAppend(m)
	case MsgHeartbeat:
		r.onHeartbeat(m)
	case MsgSnapshot:
		r.onSnapshot(m)
	}
}

// Propose appends a command to the log. If this replica is not the leader, it
// returns an error of kind not_leader whose Detail is the leader's address, or
// empty if the leader is unknown.
func (r *Replica) Propose(now time.Duration, data []byte) (Index, Term, error) {
	if err := r.requireLeader(now); err != nil {
		return 0, 0, err
	}
	e := r.appendEntry(EntryCommand, data)
	return e.Index, e.Term, nil
}

// requireLeader returns an error unless this replica is the leader and a quorum
// acknowledged its heartbeats recently.
func (r *Replica) requireLeader(now time.Duration) error {
	if r.err != nil {
		return r.err
	}
	if r.role == Leader {
		r.checkQuorum(now)
	}
	if r.role == Leader {
		return nil
	}
	address := r.leaderAddress()
	message := "this replica does not lead and knows no leader"
	if address != "" {
		message = "the leader is at " + address
	}
	return serving.NewError(serving.KindNotLeader, message).WithDetail(address).WithRetryAfter(r.cfg.Heartbeat)
}

// Ready returns the pending output. After a call that returned output, it returns
// an empty Ready until Persisted is called.
func (r *Replica) Ready() Ready {
	if r.err != nil || r.awaitingPersisted {
		return Ready{}
	}
	if r.role == Leader {
		r.broadcastAppend()
	}
	rd := Ready{Snapshot: r.newSnapshot, Install: r.install, Immediate: r.immediate, Messages: r.messages}
	rd.Entries = r.log.slice(r.firstUnsaved, r.log.last())
	if r.hard != r.savedHard {
		hard := r.hard
		rd.Hard = &hard
		// The term of these messages is not durable yet.
		rd.Messages, rd.Immediate = append(rd.Immediate, rd.Messages...), nil
	}
	if r.install {
		r.applied = max(r.applied, r.newSnapshot.Index)
	}
	rd.Committed = r.log.slice(r.applied+1, r.commit)
	r.applied = max(r.applied, r.commit)
	r.immediate, r.messages, r.newSnapshot, r.install = nil, nil, nil, false
	r.savedHard, r.firstUnsaved = r.hard, r.log.last()+1
	r.awaitingPersisted = !rd.Empty()
	return rd
}

// Persisted reports the result of persisting rd. After an error the replica
// stops processing input, because it is unknown which part of rd is durable.
func (r *Replica) Persisted(rd Ready, err error) {
	r.awaitingPersisted = false
	if err != nil {
		r.err = serving.WrapError(err, serving.KindStorage, "persist the log")
		r.role = Follower
		return
	}
	if rd.Snapshot != nil {
		r.stable = max(r.stable, rd.Snapshot.Index)
	}
	if n := len(rd.Entries); n > 0 {
		// The log may have replaced these entries since Ready returned them.
		if last := rd.Entries[n-1]; r.log.term(last.Index) == last.Term && last.Index > r.stable {
			r.stable = last.Index
		}
	}
	if r.role == Leader {
		r.maybeCommit()
	}
}

// Status returns a copy of the replica's state.
func (r *Replica) Status() Status {
	s := Status{Self: r.cfg.Self, Role: r.role, Term: r.hard.Term, Leader: r.leader, LeaderAddress: r.leaderAddress(),
		Commit: r.commit, Last: r.log.last(), Snapshot: r.log.snapshot.Index, Membership: r.Membership(),
		MembershipCommitted: r.log.membershipIndex() <= r.commit, LastContact: r.lastContact,
		CaughtUp: r.hadLeader && r.log.term(r.commit) == r.hard.Term}
	for id, granted := range r.votes {
		if granted {
			s.Granted = append(s.Granted, id)
		}
	}
	if r.role == Leader {
		s.LeaseUntil, s.ElectedAt = r.leaseUntil(), r.electedAt
		s.Match = map[serving.ReplicaID]Index{r.cfg.Self: r.stable}
		s.Contacts = make(map[serving.ReplicaID]Contact, len(r.progress))
		for id, p := range r.progress {
			s.Match[id] = p.match
			s.Contacts[id] = p.contact()
		}
	}
	return s
}

// Err returns the error that stopped the replica: a failed write, or an entry
// that cannot be decoded. It is nil while the replica is running.
func (r *Replica) Err() error { return r.err }

// Membership returns the newest membership in the log, which is in effect even
// if it is not committed yet.
func (r *Replica) Membership() Membership { return r.log.membership() }

func (r *Replica) leaderAddress() string {
	m, _ := r.Membership().Find(r.leader)
	return m.Address
}

// send queues a message that must not be sent before the next Ready is persisted.
func (r *Replica) send(m Message) {
	m.From = r.cfg.Self
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	r.messages = append(r.messages, m)
}

// sendImmediate queues a message of the leader that can be sent before the next
// Ready is persisted.
func (r *Replica) sendImmediate(m Message) {
	m.From, m.Term = r.cfg.Self, r.hard.Term
	r.immediate = append(r.immediate, m)
}
