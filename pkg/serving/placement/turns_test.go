package placement_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
)

// Load pattern: engines are full, and one place becomes free at a time, which any
// of the calls that look for one may get. A greedy account keeps ten times as many
// calls waiting as each of three small ones. Calls of small accounts must not wait
// longer than when all accounts are small.
func TestTurnsOfAccounts(t *testing.T) {
	const places = 4000
	// mean returns the mean number of places given to others while a call of a
	// small account waits, when the first account keeps greedy calls waiting.
	mean := func(greedy int) float64 {
		r := rand.New(rand.NewPCG(1, 1))
		var turns placement.Turns
		type call struct {
			account serving.ClientAccountID
			turn    *placement.Turn
			since   int
		}
		var calls []*call
		join := func(account serving.ClientAccountID, now int) {
			calls = append(calls, &call{account, turns.Join("model", account, 0), now})
		}
		for range greedy {
			join("first", 0)
		}
		for _, account := range []serving.ClientAccountID{"a", "b", "c"} {
			join(account, 0)
		}
		waits, n := 0, 0
		for now := range places {
			var looking []int
			for i, c := range calls {
				select {
				case <-c.turn.Ready():
					looking = append(looking, i)
				default:
				}
			}
			i := looking[r.IntN(len(looking))]
			c := calls[i]
			c.turn.Leave()
			calls = append(calls[:i:i], calls[i+1:]...)
			if c.account != "first" {
				waits, n = waits+now-c.since, n+1
			}
			join(c.account, now+1)
		}
		return float64(waits) / float64(n)
	}
	alone, beside := mean(1), mean(10)
	assert.Assert(t, beside <= 1.1*alone, "a small account waits for %.1f places beside a greedy one, %.1f without it", beside, alone)
}

// A call that leaves before its turn doesn't hold up the others.
func TestTurnThatIsGivenUp(t *testing.T) {
	var turns placement.Turns
	first, second, third := turns.Join("s", "a", 0), turns.Join("s", "a", 0), turns.Join("s", "a", 0)
	other := turns.Join("s", "b", 0)
	ready := func(n *placement.Turn) bool {
		select {
		case <-n.Ready():
			return true
		default:
			return false
		}
	}
	urgent := turns.Join("s", "a", -1)
	assert.Assert(t, ready(first) && !ready(second) && !ready(third) && ready(other) && ready(urgent))
	second.Leave()
	second.Leave()
	assert.Assert(t, !ready(third))
	first.Leave()
	assert.Assert(t, ready(third))
}
