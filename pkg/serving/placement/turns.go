package placement

import (
	"sync"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Turns shares room that becomes free among client accounts. Of the calls of one
// account that wait for a service with the same rank, only the first one looks for
// room, so that each account finds it as often, however many calls it has waiting.
// It is safe for concurrent use.
type Turns struct {
	mu    sync.Mutex
	lines map[turnKey][]*Turn
}

type turnKey struct {
	service serving.ServiceID
	account serving.ClientAccountID
	rank    int
}

// Turn is the place of one call in its account's line. It must be left.
type Turn struct {
	turns *Turns
	key   turnKey
	ready chan struct{}
}

// Join adds a call to the line of its account.
func (t *Turns) Join(service serving.ServiceID, account serving.ClientAccountID, rank int) *Turn {
	turn := &Turn{turns: t, key: turnKey{service, account, rank}, ready: make(chan struct{})}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lines == nil {
		t.lines = map[turnKey][]*Turn{}
	}
	line := append(t.lines[turn.key], turn)
	t.lines[turn.key] = line
	if len(line) == 1 {
		close(turn.ready)
	}
	return turn
}

// Ready returns a channel that is closed once the call is the first of its account.
func (n *Turn) Ready() <-chan struct{} { return n.ready }

// Leave takes the call out of the line; it may be called more than once.
func (n *Turn) Leave() {
	n.turns.mu.Lock()
	defer n.turns.mu.Unlock()
	line := n.turns.lines[n.key]
	for i, other := range line {
		if other != n {
			continue
		}
		line = append(line[:i:i], line[i+1:]...)
		if len(line) == 0 {
			delete(n.turns.lines, n.key)
			return
		}
		n.turns.lines[n.key] = line
		if i == 0 {
			close(line[0].ready)
		}
		return
	}
}
