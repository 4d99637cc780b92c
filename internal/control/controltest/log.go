// Package controltest provides an in-memory replicated log of one node, for tests of
// code that uses a log.
//
// # Usage
//
//	l := &controltest.Log{Machine: machine}
//	result, err := l.Propose(ctx, command)
//	l.SetLeader("127.0.0.1:7100") // From now on another replica is the leader.
package controltest

import (
	"context"
	"sync"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

var _ serving.ReplicatedLog = (*Log)(nil)

// Log applies each command immediately. Its fields are set before the first call.
type Log struct {
	Machine serving.StateMachine
	// MemberError is the error of ChangeMember; nil means that changes are
	// accepted.
	MemberError error

	mu           sync.Mutex
	index        uint64
	leader       string
	failuresLeft int
}

// SetLeader sets the address of the leader; an empty one makes this log the leader.
func (l *Log) SetLeader(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = address
}

// FailAfterApply makes the next n proposals fail with an unknown outcome after they
// are applied.
func (l *Log) FailAfterApply(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failuresLeft = n
}

// Propose applies a command.
func (l *Log) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" {
		return nil, notLeader(l.leader)
	}
	l.index++
	res := l.Machine.Apply(l.index, command)
	if l.failuresLeft > 0 {
		l.failuresLeft--
		return nil, serving.NewError(serving.KindOutcomeUnknown, "the answer is lost").WithRan(serving.RanUnknown)
	}
	return res, nil
}

// ReadBarrier fails unless this log is the leader.
func (l *Log) ReadBarrier(context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" {
		return notLeader(l.leader)
	}
	return nil
}

// Leader returns the address of the leader.
func (l *Log) Leader() (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader, l.leader == ""
}

// Status returns the state of the log.
func (l *Log) Status() *schema.ReplicaStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &schema.ReplicaStatus{Replica: "memory/1", Role: "leader", Term: 1, CommitIndex: l.index, AppliedIndex: l.index,
		Members: []*schema.Member{{Replica: "memory/1", Voter: true, MatchIndex: l.index}}}
}

// ChangeMember accepts the change unless MemberError is set.
func (l *Log) ChangeMember(context.Context, *schema.MemberChange) (*schema.MemberChangeResult, error) {
	if l.MemberError != nil {
		return nil, l.MemberError
	}
	return &schema.MemberChangeResult{Accepted: true}, nil
}

func notLeader(address string) error {
	return serving.NewError(serving.KindNotLeader, "the leader is "+address).WithDetail(address)
}
