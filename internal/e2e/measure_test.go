//go:build measure

package e2e

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// full is the fleet of scripts/local.sh with fewer engines.
var full = spec{entries: 7, engines: 3, services: 1, centres: 3}

func quantiles(name string, all []time.Duration) string {
	slices.Sort(all)
	at := func(q float64) time.Duration { return all[int(q*float64(len(all)-1))].Round(time.Millisecond) }
	return fmt.Sprintf("%s: n=%d p50=%v p99=%v max=%v", name, len(all), at(0.5), at(0.99), at(1))
}

// Measures the time from an accepted change until all entries have it in force.
func TestMeasureInForce(t *testing.T) {
	c := newCluster(t, full)
	r := c.random(1)
	var all []time.Duration
	for i := range 60 {
		// Changes come at any phase of the entries' polls.
		time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
		change := c.put(schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, fmt.Sprintf("measured-%d", i), 0, accountObject(1))
		for _, e := range c.entries {
			for {
				if v, err := readVars(e); err == nil && v.Revision >= change.Revision {
					break
				}
				if time.Since(change.Accepted) > 10*time.Second {
					t.Fatalf("%s has not followed", e.name)
				}
				time.Sleep(2 * time.Millisecond)
			}
		}
		all = append(all, time.Since(change.Accepted))
	}
	t.Log(quantiles("change in force at 7 entries", all))
}

// Measures the time without accepted changes after a kill of the control leader,
// and what callers are refused meanwhile.
func TestMeasureLeaderKill(t *testing.T) {
	c := newCluster(t, full)
	w := c.begin(load{callers: 8, orders: 2})
	var gaps []time.Duration
	for i := range 10 {
		leader := c.leader()
		killed := time.Now()
		leader.kill()
		c.put(schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, fmt.Sprintf("killed-%d", i), 0, accountObject(1))
		gaps = append(gaps, time.Since(killed))
		c.launch(leader)
		pause(2 * time.Second)
	}
	w.check()
	t.Log(quantiles("time without accepted changes after a leader kill", gaps))
	t.Log(w.summary())
	orders := map[string]int{}
	for i := range w.orders {
		if o := &w.orders[i]; o.Status != 200 && !strings.Contains(o.Broken, "deadline") {
			orders[fmt.Sprintf("%s/%s%s", o.Kind, o.Ran, o.Broken)]++
		}
	}
	t.Logf("orders refused: %v of %d attempts", orders, len(w.orders))
}

// Measures how long entries go on without a quorum, and how long they need after it returns.
func TestMeasureQuorumLoss(t *testing.T) {
	c := newCluster(t, full)
	var begins, returns []time.Duration
	for range 5 {
		pause(time.Second)
		lost := time.Now()
		for _, n := range c.controls[:2] {
			n.signal(syscall.SIGSTOP)
		}
		begins = append(begins, untilAll(c, lost, false)...)
		pause(2 * time.Second)
		back := time.Now()
		for _, n := range c.controls[:2] {
			n.signal(syscall.SIGCONT)
		}
		returns = append(returns, untilAll(c, back, true)...)
	}
	t.Log(quantiles("time until an entry refuses after the quorum is lost", begins))
	t.Log(quantiles("time until an entry serves after the quorum is back", returns))
}

// untilAll returns, for each entry, the time until calls are taken or refused.
func untilAll(c *cluster, since time.Time, taken bool) []time.Duration {
	all := make([]time.Duration, len(c.entries))
	var wg sync.WaitGroup
	for i, e := range c.entries {
		wg.Go(func() {
			cl := &client{workload: &workload{c: c}, load: load{model: "guide", entries: c.entries[i : i+1]}, name: "probe", random: c.random(uint64(i)), http: probeClient}
			for time.Since(since) < 20*time.Second {
				call := cl.complete(e, false, 1)
				if call.Done == taken && (taken || call.Kind == serving.KindViewExpired) {
					all[i] = time.Since(since)
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			all[i] = time.Since(since)
		})
	}
	wg.Wait()
	return all
}
