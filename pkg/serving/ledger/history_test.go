package ledger_test

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

var keys = []string{"x", "y"}

type registerInput struct {
	write bool
	key   string
	value string
}

// registers is the linearizability model of a map of registers. Each key is checked
// separately.
var registers = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		var parts [][]porcupine.Operation
		for _, k := range keys {
			var part []porcupine.Operation
			for _, op := range history {
				if op.Input.(registerInput).key == k {
					part = append(part, op)
				}
			}
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.value
		}
		return output == state, state
	},
}

// history records the calls of clients. Its clock is a logical one that counts the
// starts and ends of calls.
type history struct {
	c             *cluster
	clock         int64
	ops           []porcupine.Operation
	unknownWrites []porcupine.Operation
	writes        int
	// noWritesUntil is the end of a period without new writes, in which the logs
	// become equal.
	noWritesUntil time.Duration
	// leader is the host to which clients send most writes.
	leader int
}

type call struct {
	client int
	in     registerInput
	start  int64
	done   bool
}

type pendingWrite struct {
	term ledger.Term
	call *call
}

type pendingRead struct {
	index ledger.Index
	call  *call
}

func newHistory(c *cluster) *history { return &history{c: c} }

func (hi *history) nextTimestamp() int64 {
	hi.clock++
	return hi.clock
}

// client makes sequential calls until end.
func (hi *history) client(n int, end time.Duration) {
	c := hi.c
	if c.now > end {
		return
	}
	cl := &call{client: n, in: registerInput{key: keys[c.random.IntN(len(keys))], write: n%2 == 0 && c.now >= hi.noWritesUntil}, start: hi.nextTimestamp()}
	to := c.hosts[c.random.IntN(len(c.hosts))]
	if cl.in.write {
		hi.writes++
		cl.in.value = fmt.Sprint(hi.writes)
		if c.random.IntN(5) > 0 {
			to = c.hosts[hi.leader]
		}
	}
	c.after(c.between(time.Millisecond, 10*time.Millisecond), func() { to.process(func() { to.request(cl) }) })
	// The time-out of reads is long enough for some frozen hosts to resume.
	timeout := c.between(100*time.Millisecond, 600*time.Millisecond)
	if !cl.in.write {
		timeout *= 4
	}
	hi.wait(cl, n, end, c.now+timeout)
}

// wait starts the client's next call when this one is done or has timed out.
func (hi *history) wait(cl *call, n int, end, deadline time.Duration) {
	c := hi.c
	c.after(c.between(20*time.Millisecond, 60*time.Millisecond), func() {
		if !cl.done && c.now < deadline && c.now < end {
			hi.wait(cl, n, end, deadline)
			return
		}
		if !cl.done {
			hi.abort(cl)
		}
		hi.client(n, end)
	})
}

// abort ends a call without a result. The outcome of a write is then unknown; a
// read has no effect and is not recorded.
func (hi *history) abort(cl *call) {
	if cl.done {
		return
	}
	cl.done = true
	if cl.in.write {
		hi.unknownWrites = append(hi.unknownWrites, porcupine.Operation{ClientId: 1000 + len(hi.unknownWrites), Input: cl.in, Call: cl.start, Return: math.MaxInt64})
	}
}

func (hi *history) finish(cl *call, output string) {
	if cl.done {
		return
	}
	cl.done = true
	hi.ops = append(hi.ops, porcupine.Operation{ClientId: cl.client, Input: cl.in, Call: cl.start, Output: output, Return: hi.nextTimestamp()})
}

// check checks whether the history is linearizable. Writes of unknown outcome are
// included only if a read returned their value, since others have no visible
// effect.
func (hi *history) check() porcupine.CheckResult {
	read := map[any]bool{}
	for _, op := range hi.ops {
		if in := op.Input.(registerInput); !in.write {
			read[in.key+op.Output.(string)] = true
		}
	}
	ops := hi.ops
	for _, op := range hi.unknownWrites {
		if in := op.Input.(registerInput); read[in.key+in.value] {
			ops = append(ops, op)
		}
	}
	return porcupine.CheckOperationsTimeout(registers, ops, 20*time.Second)
}

func (h *host) request(cl *call) {
	if cl.in.write {
		index, term, err := h.replica.Propose(h.clock(), []byte(cl.in.key+"="+cl.in.value))
		if err != nil {
			cl.done = true
			h.c.history.leader = h.c.random.IntN(len(h.c.hosts))
			return
		}
		h.c.history.leader = h.n
		h.pending[index] = pendingWrite{term, cl}
		return
	}
	index, err := h.replica.ReadIndex(h.clock())
	if err != nil {
		cl.done = true
		return
	}
	h.reads = append(h.reads, pendingRead{index, cl})
}

func (h *host) finishWrite(e ledger.Entry) {
	p, ok := h.pending[e.Index]
	if !ok {
		return
	}
	delete(h.pending, e.Index)
	if p.term == e.Term {
		h.c.history.finish(p.call, "")
	} else {
		h.c.history.abort(p.call)
	}
}

// answerReads completes the reads whose index is applied.
func (h *host) answerReads() {
	var waiting []pendingRead
	for _, p := range h.reads {
		if h.applied < p.index {
			waiting = append(waiting, p)
			continue
		}
		h.c.stats["reads"]++
		h.c.history.finish(p.call, h.state[p.call.in.key])
	}
	h.reads = waiting
}

// abortCalls aborts the pending calls of a process that crashes.
func (h *host) abortCalls() {
	for i := ledger.Index(0); i <= h.replica.Status().Last; i++ {
		if p, ok := h.pending[i]; ok {
			h.c.history.abort(p.call)
		}
	}
	h.pending, h.reads = nil, nil
}
