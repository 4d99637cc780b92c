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

// maxBatchBytes bounds the data of one append message; an entry that is larger
// is sent alone.
const maxBatchBytes = 1 << 20

// windowBatches is the number of batches in flight to one member.
const windowBatches = 8

// Config is the configuration of a replica. Zero values mean the defaults,
// except for Self and Random, which are required.
type Config struct {
	Self                                serving.ReplicaID
	Heartbeat, ElectionMin, ElectionMax time.Duration
	// MaxBatch is the number of entries in one message.
	MaxBatch int
	// MaxDrift bounds the relative drift of the monotonic clocks of two hosts.
	MaxDrift float64
	// SnapshotChunk is the number of bytes of a snapshot in one message.
	SnapshotChunk int
	// KeepEntries is the number of entries kept in memory before a snapshot, so
	// that a member slightly behind needs no snapshot; negative means none.
	KeepEntries int
	Random      serving.Random
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

// faults switches on defects that the tests must detect.
type faults struct {
	ignoreLease    bool
	leaseFromAck   bool
	commitAnyTerm  bool
	voteAfterHeard bool
	skipJoint      bool
	// staleClock lets reads use the time of the last tick.
	staleClock bool
	lastTick   time.Duration
}

// Replica is one replica of the log. It is not safe for concurrent use.
type Replica struct {
	cfg    Config
	faults faults
	log    *raftLog
	hard   HardState
	role   Role
	leader serving.ReplicaID
	commit Index
	// applied is the last index returned in Ready.Committed.
	applied Index
	// stable is the last index known to be durable here.
	stable Index
	// heard is when a leader was last heard, or the start.
	heard            time.Duration
	electionDeadline time.Duration
	votes            map[serving.ReplicaID]bool
	incoming         *incomingSnapshot

	// State of the leader.
	progress      map[serving.ReplicaID]*progress
	promotion     map[serving.ReplicaID]Index
	round         uint64
	rounds        map[uint64]time.Duration
	nextHeartbeat time.Duration
	elected       time.Duration
	// quorumUntil is a time until which the quorum check holds.
	quorumUntil time.Duration

	// Output for the next Ready.
	immediate, messages []Message
	savedHard           HardState
	unsaved             Index
	newSnapshot         *Snapshot
	install             bool
	outstanding         bool
	err                 error
}

// New returns a replica that starts from state at time now. A replica without
// any stored membership waits for a leader that has it as a member.
func New(cfg Config, state Persistent, now time.Duration) (*Replica, error) {
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
		commit: l.snapshot.Index, applied: l.snapshot.Index, stable: l.last(), unsaved: l.last() + 1, heard: now}
	if term := l.lastTerm(); term > r.hard.Term {
		// A crash between storing an installed snapshot and the hard state.
		r.hard = HardState{Term: term}
	}
	r.resetElection(now)
	return r, nil
}

// Tick advances time: it starts elections, sends heartbeats and checks the quorum.
func (r *Replica) Tick(now time.Duration) {
	if r.err != nil {
		return
	}
	r.faults.lastTick = now
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

// Step processes a message. Messages to another identity are ignored.
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

// onResult processes an answer, which counts only from a current member.
func (r *Replica) onResult(now time.Duration, m Message) {
	if _, ok := r.Membership().Find(m.From); !ok {
		return
	}
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
		r.send(Message{Type: MsgAppendResult, To: m.From, Reject: true, RejectHint: r.log.last()})
		return
	}
	if m.Term > r.hard.Term || r.role != Follower {
		r.becomeFollower(m.Term, m.From)
	}
	r.leader = m.From
	r.heard = now
	r.resetElection(now)
	switch m.Type {
	case MsgAppend:
		r.onAppend(m)
	case MsgHeartbeat:
		r.onHeartbeat(m)
	case MsgSnapshot:
		r.onSnapshot(m)
	}
}

// Propose appends a command to the log. Unless this replica leads, it returns an
// error of kind not_leader whose Detail is the address of the known leader.
func (r *Replica) Propose(now time.Duration, data []byte) (Index, Term, error) {
	if err := r.leading(now); err != nil {
		return 0, 0, err
	}
	e := r.appendEntry(EntryCommand, data)
	return e.Index, e.Term, nil
}

// leading returns an error unless this replica leads and has a recent quorum.
func (r *Replica) leading(now time.Duration) error {
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

// Ready returns what is to be done next; it is empty between a call of Ready
// that returned something and the call of Persisted.
func (r *Replica) Ready() Ready {
	if r.err != nil || r.outstanding {
		return Ready{}
	}
	if r.role == Leader {
		r.broadcastAppend()
	}
	rd := Ready{Snapshot: r.newSnapshot, Install: r.install, Immediate: r.immediate, Messages: r.messages}
	rd.Entries = r.log.slice(r.unsaved, r.log.last())
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
	r.savedHard, r.unsaved = r.hard, r.log.last()+1
	r.outstanding = !rd.Empty()
	return rd
}

// Persisted reports the outcome of persisting rd. After an error the replica
// does nothing more, since it no longer knows what is durable.
func (r *Replica) Persisted(rd Ready, err error) {
	r.outstanding = false
	if err != nil {
		r.err = serving.WrapError(err, serving.KindStorage, "persist the log")
		r.role = Follower
		return
	}
	if rd.Snapshot != nil {
		r.stable = max(r.stable, rd.Snapshot.Index)
	}
	if n := len(rd.Entries); n > 0 {
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
		MembershipCommitted: r.log.membershipIndex() <= r.commit, Heard: r.heard}
	if r.role == Leader {
		s.LeaseUntil, s.Elected = r.leaseUntil(), r.elected
		s.Match = map[serving.ReplicaID]Index{r.cfg.Self: r.stable}
		s.Acked = make(map[serving.ReplicaID]time.Duration, len(r.progress))
		for id, p := range r.progress {
			s.Match[id] = p.match
			if p.hasAcked {
				s.Acked[id] = p.acked
			}
		}
	}
	return s
}

// Err returns why the replica does nothing more: an error of persisting, or an
// entry that cannot be decoded. It is nil while the replica works.
func (r *Replica) Err() error { return r.err }

// Membership returns the membership in force, which may not be committed yet.
func (r *Replica) Membership() Membership { return r.log.membership() }

func (r *Replica) leaderAddress() string {
	m, _ := r.Membership().Find(r.leader)
	return m.Address
}

// send queues a message that depends on what the next Ready persists.
func (r *Replica) send(m Message) {
	m.From = r.cfg.Self
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	r.messages = append(r.messages, m)
}

// sendNow queues a message of the leader, which depends on nothing unsaved.
func (r *Replica) sendNow(m Message) {
	m.From, m.Term = r.cfg.Self, r.hard.Term
	r.immediate = append(r.immediate, m)
}
