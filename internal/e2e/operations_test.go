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

// checkTakenOut checks P3 for a data centre that change took out of service. If
// broughtBack is zero, it was not brought back.
func checkTakenOut(c *cluster, centre string, change history.Change, broughtBack time.Time) error {
	return history.NoNewWork(c.events(), c.enginesIn(centre), change.Accepted, broughtBack)
}

// Guards against new work in a data centre that was taken out of service. The entries
// may miss the change when the control leader is killed or when they restart.
func TestTakeOut(t *testing.T) {
	tests := []struct {
		name string
		spec spec
		// during runs after the change was accepted.
		during func(c *cluster)
	}{
		{"no fault", smallSpec, func(*cluster) { pause(5 * time.Second) }},
		{"leader killed", smallSpec, func(c *cluster) {
			restart(c, c.leader(), 3*time.Second)
			pause(2 * time.Second)
		}},
		{"entry restarted", smallSpec, func(c *cluster) {
			restart(c, c.entries[0], 100*time.Millisecond)
			pause(5 * time.Second)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, test.spec)
			w := c.startWorkload(mixedLoad)
			pause(time.Second)
			out := c.takeOut("dc-a")
			test.during(c)
			back := time.Now()
			c.bringBack("dc-a")
			pause(2 * time.Second)
			w.stopAndCheck()
			assert.NilError(t, checkTakenOut(c, "dc-a", out, back))
			assert.Assert(t, w.completedSince(out.Accepted) > 10, w.summary())
		})
	}
}

// takeOutDuringFault takes a data centre out during a fault of the first entry. The
// fault lasts from startFault to endFault, 7 s later. It returns the result of the
// checks of P3 and P9.
func takeOutDuringFault(c *cluster, startFault, endFault func()) error {
	// Only the faulty entry gets calls.
	w := c.startWorkload(load{callers: 8, orders: 2, entries: c.entries[:1]})
	pause(time.Second)
	startFault()
	out := c.takeOut("dc-a")
	pause(7 * time.Second)
	endFault()
	pause(2 * time.Second)
	w.stopAndCheck()
	lease := viewLease
	if c.onExpired == settings.ServeOnExpiredView {
		lease = time.Hour // The entry dispatches under views of any age.
	}
	return errors.Join(checkTakenOut(c, "dc-a", out, time.Time{}), history.InForce(c.changes, w.samples, lease))
}

// Guards against an entry that still sends work to a data centre that was taken out of
// service, because the entry is cut off or frozen and does not receive the change. With
// on_expired_view set to serve, the entry continues under its expired view, and the
// checks must fail.
func TestTakeOutUnseen(t *testing.T) {
	hold := rule{holdRequests: true, holdResponses: true}
	tests := []struct {
		name      string
		spec      spec
		cut       rule
		frozen    bool
		onExpired string
		wantErr   bool
	}{
		{"cut off", linkedSpec, hold, false, settings.RefuseOnExpiredView, false},
		{"cut off by resets", linkedSpec, rule{reset: true}, false, settings.RefuseOnExpiredView, false},
		{"answers lost", linkedSpec, rule{holdResponses: true}, false, settings.RefuseOnExpiredView, false},
		{"frozen", linkedSpec, rule{}, true, settings.RefuseOnExpiredView, false},
		{"cut off and serving on", linkedSpec, hold, false, settings.ServeOnExpiredView, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := test.spec
			s.onExpired = test.onExpired
			c := newCluster(t, s)
			e := c.entries[0]
			err := takeOutDuringFault(c, func() {
				if test.frozen {
					e.signal(syscall.SIGSTOP)
				}
				c.setEntryLinks(e, test.cut)
			}, func() {
				e.signal(syscall.SIGCONT)
				c.setEntryLinks(e, rule{})
			})
			if test.wantErr {
				assert.ErrorContains(t, err, "P3")
				assert.ErrorContains(t, err, "P9")
				return
			}
			assert.NilError(t, err)
		})
	}
}

// Guards against a graceful shutdown that interrupts long streams or orders, and
// against new work for an engine that announced that it is leaving.
func TestGracefulShutdown(t *testing.T) {
	tests := []struct {
		name string
		// stop returns the processes to shut down.
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
			s := smallSpec
			s.stepTime = 20 * time.Millisecond // The streams take up to 8 s.
			c := newCluster(t, s)
			w := c.startWorkload(load{callers: 5, maxTokens: 400, maxPause: 20 * time.Millisecond})
			// Short calls free and reuse the slots of all engines. A leaving engine
			// would therefore get new work if the entries did not exclude it.
			short := c.startWorkload(load{callers: 12, maxTokens: 5, maxPause: 10 * time.Millisecond})
			orderLoad := c.startWorkload(load{orders: 3})
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
					t.Fatalf("%s did not exit within 30 s", n.name)
				}
			}
			orderLoad.stopAndCheck()
			short.stopAndCheck()
			w.stopAndCheck()
			assert.NilError(t, errors.Join(history.NothingCutOff(w.calls, at), history.NothingCutOff(short.calls, at)))
			for i := range orderLoad.orders {
				order := &orderLoad.orders[i]
				inProgress := order.Invoked.Before(at) && order.Answered.After(at) && !strings.Contains(order.InterruptedBy, "deadline")
				assert.Assert(t, !inProgress || order.Status == http.StatusOK, "P8: %+v", order)
			}
		})
	}
}

// Guards against an entry that does not apply a revoked key or a changed alias within
// 5 s, and against an alias that does not resolve while it changes.
func TestInForce(t *testing.T) {
	t.Parallel()
	s := smallSpec
	s.engineArgs = []string{"--model", "drafter@1"}
	c := newCluster(t, s)
	model := schema.ObjectKind_OBJECT_KIND_MODEL
	c.put(model, "drafter", 0, &schema.Object{Spec: &schema.Object_Model{Model: &schema.Model{Versions: []*schema.ModelVersion{{Version: "1", Share: 1}}}}})
	alias := func(target string, expected uint64) history.Change {
		return c.apply(expected, &schema.Change{Action: &schema.Change_PutAlias{PutAlias: &schema.Alias{Scheme: "legacy", Name: "needle-finder", Kind: model, Target: target}}})
	}
	put := alias("guide", 0)
	pause(history.InForceBound)
	w := c.startWorkload(load{callers: 6, model: "needle-finder"})
	pause(time.Second)
	leader := c.leader()
	leader.signal(syscall.SIGSTOP) // The leader changes while the alias is changed.
	alias("drafter", put.Revision)
	leader.signal(syscall.SIGCONT)
	pause(6 * time.Second)
	w.stopAndCheck()
	for i := range w.calls {
		assert.Assert(t, w.calls[i].Kind != serving.KindUnknownModel, "P9: %s: the alias did not resolve", &w.calls[i])
	}
	assert.Assert(t, w.completedSince(time.Time{}) > 20, w.summary())

	kind := schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT
	w = c.startWorkload(mixedLoad)
	pause(time.Second)
	revoked := c.put(kind, account, c.revision(kind, account), accountObject(1, "another key"))
	restart(c, c.leader(), time.Second)
	pause(7 * time.Second)
	w.stopAndCheck()
	checked := 0
	for i := range w.calls {
		call := &w.calls[i]
		if call.Invoked.Sub(revoked.Accepted) > history.InForceBound {
			checked++
			assert.Assert(t, call.Kind == serving.KindUnauthenticated || call.Ran == serving.NotRun && !call.Done, "P9: %s: accepted with a revoked key", call)
		}
	}
	assert.Assert(t, checked > 10)
}

// replicaID returns the replica id of a control replica.
func replicaID(c *cluster, n *node) string {
	c.t.Helper()
	id := ""
	eventually(c.t, "identity of "+n.name, 10*time.Second, func() error {
		st, err := c.status(n)
		if err == nil {
			id = st.Replica
		} else if replica, deliverErr := nonMemberReplicaID(n); deliverErr == nil {
			id, err = replica, nil
		}
		return err
	})
	return id
}

// nonMemberReplicaID returns the replica id of a control replica that is not a member
// yet. Such a replica reports its id only in the result of Deliver.
func nonMemberReplicaID(n *node) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res, err := schema.NewLogProtobufClient("http://"+n.address, &http.Client{Transport: bearerTransport(clusterKey)}).Deliver(ctx, &schema.LogMessages{})
	if err != nil {
		return "", err
	}
	return res.Replica, nil
}

// Guards against the loss of accepted changes when a control host loses its data, is
// replaced as a member, and a second host is lost right after that.
func TestRepairThenSecondLoss(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		t.Run("wiped "+role, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, smallSpec)
			w := c.startWorkload(load{callers: 4, orders: 2, operators: 3})
			pause(time.Second)
			wiped := c.follower()
			if role == "leader" {
				wiped = c.leader()
			}
			oldID := replicaID(c, wiped)
			wiped.kill()
			assert.NilError(t, os.RemoveAll(wiped.dataDir))
			c.launch(wiped)
			newID := replicaID(c, wiped)
			assert.Assert(t, newID != oldID)
			out, err := c.runAdmin("members", "add-learner", newID, wiped.address)
			assert.NilError(t, err, out)
			out, err = c.runAdmin("members", "replace", oldID, newID)
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
			// The new replica and one original replica are the quorum now.
			assert.Equal(t, c.revision(schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, "right-before-the-loss"), before.Revision)
			c.put(schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, "after-the-loss", 0, accountObject(1))
			c.launch(second)
			pause(time.Second)
			w.stopAndCheck()
		})
	}
}

// Guards against a claim that is granted to two attempts, which can happen when
// attempts race while the control leader changes. A claim permits one attempt to send
// an order, so the order could then run twice.
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
				if claimWithRetries(c, key, attempt) {
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

// claimWithRetries claims a key and reports whether the claim was granted. After a lost
// answer it retries with the same attempt id.
func claimWithRetries(c *cluster, key, attempt string) bool {
	r := &schema.ClaimRequest{
		Key:    &schema.ClaimKey{ClientAccount: account, Service: "counter", Key: key},
		Holder: "entry-x1/" + attempt, AttemptId: attempt, ContentHash: []byte("content"),
	}
	for i := range 8 {
		client := operatorClient(c.controls[i%3], 0)
		client.Key = clusterKey
		timeout := time.Second
		if i == 0 {
			timeout = 5 * time.Millisecond // Short enough that some answers are lost.
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		res, err := client.Claim(ctx, r)
		cancel()
		if err == nil {
			return res.State == schema.ClaimState_CLAIM_STATE_GRANTED
		}
	}
	return false
}
