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

// localSpec is the fleet of scripts/local.sh with fewer engines.
var localSpec = spec{entries: 7, engines: 3, services: 1, centres: 3}

// quantiles formats the median, the 99th percentile and the maximum. It sorts all.
func quantiles(name string, all []time.Duration) string {
	slices.Sort(all)
	at := func(q float64) time.Duration { return all[int(q*float64(len(all)-1))].Round(time.Millisecond) }
	return fmt.Sprintf("%s: n=%d p50=%v p99=%v max=%v", name, len(all), at(0.5), at(0.99), at(1))
}

// Measures the time from an accepted change until all entries apply it.
func TestMeasureInForce(t *testing.T) {
	c := newCluster(t, localSpec)
	r := c.random(1)
	var all []time.Duration
	for i := range 60 {
		// Changes are sent at random phases of the entries' polls.
		time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
		change := c.put(schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, fmt.Sprintf("measured-%d", i), 0, accountObject(1))
		for _, e := range c.entries {
			for {
				if v, err := readVars(e); err == nil && v.Revision >= change.Revision {
					break
				}
				if time.Since(change.Accepted) > 10*time.Second {
					t.Fatalf("%s does not apply the change", e.name)
				}
				time.Sleep(2 * time.Millisecond)
			}
		}
		all = append(all, time.Since(change.Accepted))
	}
	t.Log(quantiles("change in force at 7 entries", all))
}

// Measures the time without accepted changes after the control leader was killed, and
// counts the requests that are refused meanwhile.
func TestMeasureLeaderKill(t *testing.T) {
	c := newCluster(t, localSpec)
	w := c.startWorkload(load{callers: 8, orders: 2})
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
	w.stopAndCheck()
	t.Log(quantiles("time without accepted changes after a leader kill", gaps))
	t.Log(w.summary())
	refusals := map[string]int{}
	for i := range w.orders {
		if o := &w.orders[i]; o.Status != 200 && !strings.Contains(o.InterruptedBy, "deadline") {
			refusals[fmt.Sprintf("%s/%s%s", o.Kind, o.Ran, o.InterruptedBy)]++
		}
	}
	t.Logf("orders refused: %v of %d attempts", refusals, len(w.orders))
}

// Measures how long entries serve requests after the quorum is lost, and how long they
// take to serve again after it returns.
func TestMeasureQuorumLoss(t *testing.T) {
	c := newCluster(t, localSpec)
	var untilRefused, untilServed []time.Duration
	for range 5 {
		pause(time.Second)
		lostAt := time.Now()
		for _, n := range c.controls[:2] {
			n.signal(syscall.SIGSTOP)
		}
		untilRefused = append(untilRefused, timesUntil(c, lostAt, false)...)
		pause(2 * time.Second)
		restoredAt := time.Now()
		for _, n := range c.controls[:2] {
			n.signal(syscall.SIGCONT)
		}
		untilServed = append(untilServed, timesUntil(c, restoredAt, true)...)
	}
	t.Log(quantiles("time until an entry refuses after the quorum is lost", untilRefused))
	t.Log(quantiles("time until an entry serves after the quorum is back", untilServed))
}

// timesUntil returns, for each entry, the time from since until it answers a call
// (wantServed) or refuses it because its view has expired, at most 20 s.
func timesUntil(c *cluster, since time.Time, wantServed bool) []time.Duration {
	all := make([]time.Duration, len(c.entries))
	var wg sync.WaitGroup
	for i, e := range c.entries {
		wg.Go(func() {
			cl := &client{workload: &workload{c: c}, load: load{model: "guide", entries: c.entries[i : i+1]}, name: "probe", random: c.random(uint64(i)), http: probeClient}
			for time.Since(since) < 20*time.Second {
				call := cl.complete(e, false, 1)
				if call.Done == wantServed && (wantServed || call.Kind == serving.KindViewExpired) {
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
