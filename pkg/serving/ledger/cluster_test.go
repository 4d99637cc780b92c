package ledger_test

import (
	"bytes"
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/journal"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// event is a function that runs at a virtual time. Events with the same time run
// in the order of seq.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// violation describes a guarantee that was violated in a schedule.
type violation string

// cluster is a simulated cluster in virtual time that checks the committed entries.
type cluster struct {
	random *rand.Rand
	// defect is the name of the injected defect, empty if there is none.
	defect string
	now    time.Duration
	seq    int
	queue  eventQueue
	hosts  []*host
	cfg    ledger.Config

	// cut holds the links, as pairs of sender and receiver, that drop all messages.
	// loss, duplication and spikes are the probabilities that a message is lost,
	// duplicated or delayed by up to 900 ms, and churn is the probability that
	// disturbElection disturbs an election.
	cut                       map[[2]int]bool
	loss, duplication, spikes float64
	churn                     float64
	onElected                 func(*host)
	elections                 int
	initialVoters             int
	// skipTransitionCheck disables checkTransition.
	skipTransitionCheck bool
	// leaders holds the process that leads in each term.
	leaders map[ledger.Term]string
	// committed holds the committed entries, states the state after each of them,
	// last the last committed index and membership the last committed membership.
	committed  map[ledger.Index]ledger.Entry
	states     map[ledger.Index]string
	last       ledger.Index
	membership ledger.Membership
	history    *history
	stats      map[string]int
}

// host is a simulated machine and the replica process on it.
type host struct {
	c *cluster
	// n is the index in cluster.hosts. boot counts the starts of the process. wipes
	// is 0 while the host has the identity of an initial member. Each wipe of the disk
	// increments it, which gives the host a new identity.
	n             int
	disk          *journal.MemoryDisk
	journal       *journal.Journal
	replica       *ledger.Replica
	id            serving.ReplicaID
	boot          int
	wipes         int
	up            bool
	frozen        bool
	pendingInputs []func()
	// rate and offset convert virtual time to the host's monotonic clock.
	rate   float64
	offset time.Duration
	// crashOnSave crashes the process at its next write to the disk.
	crashOnSave bool
	// freezeAfterHeartbeat is the time for which the process is frozen at its next
	// heartbeat; 0 means that it is not.
	freezeAfterHeartbeat time.Duration
	state                map[string]string
	applied              ledger.Index
	compactedIndex       ledger.Index
	pending              map[ledger.Index]pendingWrite
	reads                []pendingRead
}

func newCluster(seed uint64, defect string) *cluster {
	random := rand.New(rand.NewPCG(seed, 7))
	c := &cluster{random: random, defect: defect, cut: map[[2]int]bool{}, leaders: map[ledger.Term]string{},
		committed: map[ledger.Index]ledger.Entry{}, states: map[ledger.Index]string{1: "map[]"}, last: 1, stats: map[string]int{}}
	c.history = newHistory(c)
	c.cfg = ledger.Config{MaxBatch: 1 + random.IntN(8), SnapshotChunk: 16 + random.IntN(64), KeepEntries: random.IntN(12) - 1, Random: random}
	c.loss, c.duplication, c.spikes = random.Float64()*0.1, random.Float64()*0.1, random.Float64()*0.05
	if random.IntN(3) == 0 {
		c.churn = 0.5
		c.cfg.MaxBatch = 1
	}
	n := 3
	if random.IntN(4) == 0 {
		n = 5
	}
	c.initialVoters = n
	for i := range n {
		c.membership.Members = append(c.membership.Members, ledger.Member{ID: identity(i, "initial"), Address: fmt.Sprint(i), Voter: true})
	}
	for range n {
		h := c.addHost(0)
		h.disk.IgnoreSyncs = defect == "vote_without_sync"
	}
	return c
}

// addHost starts a new host. If wipes is 0, it has the identity of an initial
// member, otherwise one that is not a member.
func (c *cluster) addHost(wipes int) *host {
	// Any two rates differ by less than the default drift of 5%.
	h := &host{c: c, n: len(c.hosts), wipes: wipes, rate: 1 + (c.random.Float64()-0.5)*0.048,
		offset: time.Duration(c.random.Int64N(int64(time.Hour))), disk: journal.NewMemoryDisk()}
	c.hosts = append(c.hosts, h)
	h.start()
	return h
}

func identity(n int, incarnation string) serving.ReplicaID {
	return serving.ReplicaID{Host: serving.HostID(fmt.Sprintf("h%d", n)), Incarnation: incarnation}
}

func (c *cluster) fail(format string, args ...any) {
	panic(violation(fmt.Sprintf(format, args...)))
}

func (c *cluster) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now + d, c.seq, run})
}

// between returns a random duration of at least lo and less than hi.
func (c *cluster) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(c.random.Int64N(int64(hi-lo)))
}

// runUntil processes events until a time, or until done returns true.
func (c *cluster) runUntil(end time.Duration, done func() bool) bool {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
		if done != nil && done() {
			return true
		}
	}
	c.now = end
	return false
}

func (h *host) clock() time.Duration { return h.offset + time.Duration(float64(h.c.now)*h.rate) }

func (h *host) start() {
	h.boot++
	opts := journal.Options{Host: identity(h.n, "").Host, Incarnation: "initial", SegmentSize: 512}
	if h.wipes > 0 && h.c.defect != "old_incarnation" {
		opts.Incarnation = fmt.Sprintf("w%d", h.wipes)
	} else {
		opts.Initial = &ledger.Snapshot{Index: 1, Term: 1, Membership: h.c.initial()}
	}
	j, state, err := journal.Open(h.disk, opts)
	if errors.Is(err, journal.ErrDiskFull) {
		// The host is restarted when the disk has space again.
		return
	}
	if err != nil {
		h.c.fail("host %d does not start: %v", h.n, err)
	}
	h.journal, h.id = j, j.Self()
	cfg := h.c.cfg
	cfg.Self = h.id
	if h.replica, err = ledger.New(cfg, state, h.clock()); err != nil {
		h.c.fail("host %d does not start: %v", h.n, err)
	}
	h.replica.InjectDefect(h.c.defect)
	h.up, h.frozen, h.pendingInputs, h.crashOnSave = true, false, nil, false
	h.pending, h.reads = map[ledger.Index]pendingWrite{}, nil
	h.restore(state.Snapshot)
	h.tick(h.boot)
}

func (c *cluster) initial() (m ledger.Membership) {
	for i := range c.initialVoters {
		m.Members = append(m.Members, ledger.Member{ID: identity(i, "initial"), Address: fmt.Sprint(i), Voter: true})
	}
	return m
}

func (h *host) tick(boot int) {
	h.c.after(h.c.between(10*time.Millisecond, 30*time.Millisecond), func() {
		if h.up && h.boot == boot {
			h.tick(boot)
			if !h.frozen {
				h.process(func() { h.replica.Tick(h.clock()) })
			}
		}
	})
}

// process runs an input of the replica and handles its output. A frozen process
// does so when it resumes.
func (h *host) process(input func()) {
	switch {
	case !h.up:
		return
	case h.frozen:
		h.pendingInputs = append(h.pendingInputs, input)
		return
	}
	input()
	h.flush()
}

func (h *host) flush() {
	for h.up {
		rd := h.replica.Ready()
		if term, ok := h.replica.Leads(); ok {
			self := fmt.Sprintf("%s boot %d", h.id, h.boot)
			previous, ok := h.c.leaders[term]
			if ok && previous != self {
				h.c.fail("two leaders in term %d: %s and %s", term, previous, self)
			}
			if h.c.leaders[term] = self; !ok && h.c.now < faultsEnd {
				h.c.onElected(h)
			}
		}
		if rd.Empty() {
			break
		}
		h.send(rd.Immediate)
		if h.crashOnSave && (rd.Hard != nil || len(rd.Entries) > 0 || rd.Snapshot != nil) {
			if h.c.random.IntN(4) > 0 {
				h.disk.FailSyncs = true
			}
			_ = h.journal.Save(rd)
			h.disk.FailSyncs = false
			h.stop()
			return
		}
		err := h.journal.Save(rd)
		h.replica.Persisted(rd, err)
		if err != nil {
			h.stop()
			return
		}
		h.send(rd.Messages)
		h.apply(rd)
	}
	h.answerReads()
}

func (h *host) send(messages []ledger.Message) {
	c := h.c
	for _, m := range messages {
		if m.Type == ledger.MsgHeartbeat && h.freezeAfterHeartbeat > 0 {
			c.after(h.freezeAfterHeartbeat, h.resume)
			h.freezeAfterHeartbeat, h.frozen = 0, true
		}
		for n, to := range c.hosts {
			if to.id.Host != m.To.Host || c.cut[[2]int{h.n, n}] || c.random.Float64() < c.loss {
				continue
			}
			copies := 1
			if c.random.Float64() < c.duplication {
				copies = 2
			}
			for range copies {
				d := c.between(time.Millisecond, 12*time.Millisecond)
				if c.random.Float64() < c.spikes {
					d += c.between(0, 900*time.Millisecond)
				}
				c.after(d, func() { to.process(func() { to.replica.Step(to.clock(), m) }) })
			}
		}
	}
}

func (h *host) restore(s ledger.Snapshot) {
	h.state = map[string]string{}
	for _, pair := range bytes.Fields(s.Data) {
		k, v, _ := bytes.Cut(pair, []byte("="))
		h.state[string(k)] = string(v)
	}
	h.applied, h.compactedIndex = s.Index, s.Index
	if want, ok := h.c.states[s.Index]; s.Index > 0 && (!ok || want != fmt.Sprint(h.state)) {
		h.c.fail("host %d restores a snapshot at %d that differs from the committed state", h.n, s.Index)
	}
}

func (h *host) apply(rd ledger.Ready) {
	if rd.Install {
		h.c.stats["installs"]++
		h.restore(*rd.Snapshot)
	}
	for _, e := range rd.Committed {
		if e.Index != h.applied+1 {
			h.c.fail("host %d applies %d after %d", h.n, e.Index, h.applied)
		}
		if k, v, ok := bytes.Cut(e.Data, []byte("=")); ok && e.Type == ledger.EntryCommand {
			h.state[string(k)] = string(v)
		}
		h.applied = e.Index
		h.c.recordApplied(h, e)
		h.finishWrite(e)
	}
	if h.applied >= h.compactedIndex+15 {
		h.compactedIndex = h.applied
		var b []byte
		for _, k := range keys {
			if v, ok := h.state[k]; ok {
				b = fmt.Appendf(b, "%s=%s ", k, v)
			}
		}
		h.replica.Compact(h.applied, b)
	}
}

// recordApplied records the entry that the first host applies at an index, and checks
// that other hosts apply the same entry there.
func (c *cluster) recordApplied(h *host, e ledger.Entry) {
	previous, ok := c.committed[e.Index]
	if !ok {
		if e.Index != c.last+1 {
			c.fail("host %d applies %d, but %d was not committed", h.n, e.Index, e.Index-1)
		}
		c.committed[e.Index], c.states[e.Index], c.last = e, fmt.Sprint(h.state), e.Index
		if e.Type == ledger.EntryMembers {
			next, err := ledger.DecodeMembership(e.Data)
			if err != nil {
				c.fail("committed membership: %v", err)
			}
			if !c.skipTransitionCheck {
				c.checkTransition(next)
			}
			c.membership = next
		}
		return
	}
	if previous.Term != e.Term || previous.Type != e.Type || !bytes.Equal(previous.Data, e.Data) {
		c.fail("host %d applies another entry at %d: term %d, committed was term %d", h.n, e.Index, e.Term, previous.Term)
	}
}

// checkTransition checks that a committed membership is a valid successor of the
// previous one.
func (c *cluster) checkTransition(next ledger.Membership) {
	voters := func(m ledger.Membership) (ids []string) {
		for _, v := range m.Members {
			if v.Voter {
				ids = append(ids, v.ID.String())
			}
		}
		return ids
	}
	before, after := voters(c.membership), voters(next)
	switch {
	case c.membership.Joint():
		if next.Joint() || fmt.Sprint(before) != fmt.Sprint(after) {
			c.fail("a membership change began before the previous one ended")
		}
	case next.Joint():
		if fmt.Sprint(voters(ledger.Membership{Members: next.OldVoters})) != fmt.Sprint(before) || len(before) != len(after) {
			c.fail("a replacement does not start from the committed voters")
		}
	case fmt.Sprint(before) != fmt.Sprint(after):
		c.fail("the voters changed without a joint configuration")
	}
}
