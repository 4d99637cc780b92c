package e2e

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/e2e/history"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// checkTakenOut checks P3 for a data centre that was taken out.
func checkTakenOut(c *cluster, centre string, out history.Change, back time.Time) error {
	return history.NoNewWork(c.events(), c.enginesIn(centre), out.Accepted, back)
}

// Guards against new work in a data centre that was taken out, while processes
// fail or are cut off from control.
func TestTakeOut(t *testing.T) {
	tests := []struct {
		name string
		spec spec
		// during is what happens once the change is accepted.
		during func(c *cluster)
	}{
		{"no fault", small, func(*cluster) { pause(5 * time.Second) }},
		{"leader killed", small, func(c *cluster) {
			restart(c, c.leader(), 3*time.Second)
			pause(2 * time.Second)
		}},
		{"entry restarted", small, func(c *cluster) {
			restart(c, c.entries[0], 100*time.Millisecond)
			pause(5 * time.Second)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, test.spec)
			w := c.begin(mixed)
			pause(time.Second)
			out := c.takeOut("dc-a")
			test.during(c)
			back := time.Now()
			c.bringBack("dc-a")
			pause(2 * time.Second)
			w.check()
			assert.NilError(t, checkTakenOut(c, "dc-a", out, back))
			assert.Assert(t, w.done(out.Accepted) > 10, w.summary())
		})
	}
}

// takeOutUnseen takes a data centre out while an entry is held up by begin, and
// ends the fault after 7 s. It returns the finding of the check of P3.
func takeOutUnseen(c *cluster, begin, end func()) error {
	// The callers use the faulty entry alone.
	w := c.begin(load{callers: 8, orders: 2, entries: c.entries[:1]})
	pause(time.Second)
	begin()
	out := c.takeOut("dc-a")
	pause(7 * time.Second)
	end()
	pause(2 * time.Second)
	w.check()
	lease := viewLease
	if c.onExpired == settings.ServeOnExpiredView {
		lease = time.Hour // The entry dispatches under views of any age.
	}
	return errors.Join(checkTakenOut(c, "dc-a", out, time.Time{}), history.InForce(c.changes, w.samples, lease))
}

// Guards against new work in a data centre that was taken out, from an entry that
// could not learn of it. With on_expired_view set to serve, the check must fail.
func TestTakeOutUnseen(t *testing.T) {
	hold := rule{holdUp: true, holdDown: true}
	tests := []struct {
		name      string
		spec      spec
		cut       rule
		frozen    bool
		onExpired string
		bad       bool
	}{
		{"cut off", linked, hold, false, settings.RefuseOnExpiredView, false},
		{"cut off by resets", linked, rule{reset: true}, false, settings.RefuseOnExpiredView, false},
		{"answers lost", linked, rule{holdDown: true}, false, settings.RefuseOnExpiredView, false},
		{"frozen", linked, rule{}, true, settings.RefuseOnExpiredView, false},
		{"cut off and serving on", linked, hold, false, settings.ServeOnExpiredView, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := test.spec
			s.onExpired = test.onExpired
			c := newCluster(t, s)
			e := c.entries[0]
			err := takeOutUnseen(c, func() {
				if test.frozen {
					e.signal(syscall.SIGSTOP)
				}
				c.isolate(e, test.cut)
			}, func() {
				e.signal(syscall.SIGCONT)
				c.isolate(e, rule{})
			})
			if test.bad {
				assert.ErrorContains(t, err, "P3")
				assert.ErrorContains(t, err, "P9")
				return
			}
			assert.NilError(t, err)
		})
	}
}

// Guards against work that a graceful shutdown cuts off, with long streams, and
// against new work for an engine that leaves.
func TestGracefulShutdown(t *testing.T) {
	tests := []struct {
		name string
		// stop ends the processes and returns them.
		stop func(c *cluster) []*node
	}{
		{"entry", func(c *cluster) []*node { return c.entries[:1] }},
		{"control leader", func(c *cluster) []*node { return []*node{c.leader()} }},
		{"engine", func(c *cluster) []*node { return c.engines[:1] }},
		{"service", func(c *cluster) []*node { return c.services[:1] }},
		{"entry and engine", func(c *cluster) []*node { return []*node{c.entries[0], c.engines[0]} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := small
			s.step = 20 * time.Millisecond // The streams take up to 8 s.
			c := newCluster(t, s)
			w := c.begin(load{callers: 5, length: 400, pause: 20 * time.Millisecond})
			// Short calls use an engine's places again and again, so that one that
			// leaves would get new work if it could.
			short := c.begin(load{callers: 12, length: 5, pause: 10 * time.Millisecond})
			o := c.begin(load{orders: 3})
			pause(3 * time.Second)
			stopped := test.stop(c)
			at := time.Now()
			for _, n := range stopped {
				n.signal(syscall.SIGTERM)
			}
			for _, n := range stopped {
				select {
				case <-n.exited:
				case <-time.After(30 * time.Second):
					t.Fatalf("%s has not ended", n.name)
				}
			}
			o.check()
			short.check()
			w.check()
			assert.NilError(t, errors.Join(history.NothingCutOff(w.calls, at), history.NothingCutOff(short.calls, at)))
			for i := range o.orders {
				order := &o.orders[i]
				underWay := order.Invoked.Before(at) && order.Answered.After(at) && !strings.Contains(order.Broken, "deadline")
				assert.Assert(t, !underWay || order.Status == http.StatusOK, "P8: %+v", order)
			}
		})
	}
}

// Guards against a revoked key or a moved alias that an entry does not follow
// within 5 s, and against an alias that means nothing for a moment.
func TestInForce(t *testing.T) {
	t.Parallel()
	s := small
	s.engineArgs = []string{"--model", "drafter@1"}
	c := newCluster(t, s)
	model := schema.ObjectKind_OBJECT_KIND_MODEL
	c.put(model, "drafter", 0, &schema.Object{Spec: &schema.Object_Model{Model: &schema.Model{Versions: []*schema.ModelVersion{{Version: "1", Share: 1}}}}})
	alias := func(target string, expected uint64) history.Change {
		return c.apply(expected, &schema.Change{Action: &schema.Change_PutAlias{PutAlias: &schema.Alias{Scheme: "legacy", Name: "needle-finder", Kind: model, Target: target}}})
	}
	put := alias("guide", 0)
	pause(history.InForceBound)
	w := c.begin(load{callers: 6, model: "needle-finder"})
	pause(time.Second)
	leader := c.leader()
	leader.signal(syscall.SIGSTOP) // The changes meet a change of leaders.
	alias("drafter", put.Revision)
	leader.signal(syscall.SIGCONT)
	pause(6 * time.Second)
	w.check()
	for i := range w.calls {
		assert.Assert(t, w.calls[i].Kind != serving.KindUnknownModel, "P9: %s: the alias means nothing", &w.calls[i])
	}
	assert.Assert(t, w.done(time.Time{}) > 20, w.summary())

	kind := schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT
	w = c.begin(mixed)
	pause(time.Second)
	revoked := c.put(kind, account, c.revision(kind, account), accountObject(1, "another key"))
	restart(c, c.leader(), time.Second)
	pause(7 * time.Second)
	w.check()
	late := 0
	for i := range w.calls {
		call := &w.calls[i]
		if call.Invoked.Sub(revoked.Accepted) > history.InForceBound {
			late++
			assert.Assert(t, call.Kind == serving.KindUnauthenticated || call.Ran == serving.NotRun && !call.Done, "P9: %s: taken with a revoked key", call)
		}
	}
	assert.Assert(t, late > 10)
}

// identityOf returns the identity of a control replica.
func identityOf(c *cluster, n *node) string {
	c.t.Helper()
	id := ""
	eventually(c.t, "identity of "+n.name, 10*time.Second, func() error {
		st, err := c.status(n)
		if err == nil {
			id = st.Replica
		} else if out, herr := replicaOf(n); herr == nil {
			id, err = out, nil
		}
		return err
	})
	return id
}

// replicaOf asks a replica that is no member yet for its identity.
func replicaOf(n *node) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res, err := schema.NewLogProtobufClient("http://"+n.address, &http.Client{Transport: bearerTransport(clusterKey)}).Deliver(ctx, &schema.LogMessages{})
	if err != nil {
		return "", err
	}
	return res.Replica, nil
}

// Guards against accepted changes that get lost when a control host returns
// without its data, is repaired, and a second host is lost right after that.
func TestRepairThenSecondLoss(t *testing.T) {
	for _, which := range []string{"leader", "follower"} {
		t.Run("wiped "+which, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, small)
			w := c.begin(load{callers: 4, orders: 2, operators: 3})
			pause(time.Second)
			wiped := c.follower()
			if which == "leader" {
				wiped = c.leader()
			}
			old := identityOf(c, wiped)
			wiped.kill()
			assert.NilError(t, os.RemoveAll(wiped.data))
			c.launch(wiped)
			fresh := identityOf(c, wiped)
			assert.Assert(t, fresh != old)
			out, err := c.runAdmin("members", "add-learner", fresh, wiped.address)
			assert.NilError(t, err, out)
			out, err = c.runAdmin("members", "replace", old, fresh)
			assert.NilError(t, err, out)
			before := c.put(schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, "right-before-the-loss", 0, accountObject(1))
			second := c.leader()
			if second == wiped {
				second = c.controls[0]
				if second == wiped {
					second = c.controls[1]
				}
			}
			second.kill()
			pause(4 * time.Second)
			// The repaired host and one old one are the quorum now.
			assert.Equal(t, c.revision(schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, "right-before-the-loss"), before.Revision)
			c.put(schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, "after-the-loss", 0, accountObject(1))
			c.launch(second)
			pause(time.Second)
			w.check()
		})
	}
}

// Guards against a claim that two attempts are granted, under racing entries and
// changes of the control leader.
func TestClaimsRace(t *testing.T) {
	t.Parallel()
	c := newCluster(t, spec{entries: 1, engines: 1, services: 1, centres: 1})
	var wg sync.WaitGroup
	var mu sync.Mutex
	granted := map[string][]string{}
	stop := time.Now().Add(6 * time.Second)
	for n := range 6 {
		wg.Go(func() {
			for i := 0; time.Now().Before(stop); i++ {
				key := fmt.Sprintf("order-%d", i/2)
				attempt := fmt.Sprintf("%d.%d", n, i)
				if claimAnyhow(c, key, attempt) {
					mu.Lock()
					granted[key] = append(granted[key], attempt)
					mu.Unlock()
				}
			}
		})
	}
	for range 2 {
		pause(1500 * time.Millisecond)
		restart(c, c.leader(), 500*time.Millisecond)
	}
	wg.Wait()
	assert.Assert(t, len(granted) > 20, "%d keys", len(granted))
	for key, attempts := range granted {
		assert.Assert(t, len(attempts) == 1, "P6: %s was granted to %v", key, attempts)
	}
}

// claimAnyhow claims a key, again with the same attempt id after a lost answer,
// and tells whether it was granted.
func claimAnyhow(c *cluster, key, attempt string) bool {
	r := &schema.ClaimRequest{
		Key:    &schema.ClaimKey{ClientAccount: account, Service: "counter", Key: key},
		Holder: "entry-x1/" + attempt, AttemptId: attempt, ContentHash: []byte("content"),
	}
	for i := range 8 {
		client := operatorClient(c.controls[i%3], 0)
		client.Key = clusterKey
		limit := time.Second
		if i == 0 {
			limit = 5 * time.Millisecond // Some answers get lost.
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		res, err := client.Claim(ctx, r)
		cancel()
		if err == nil {
			return res.State == schema.ClaimState_CLAIM_STATE_GRANTED
		}
	}
	return false
}
