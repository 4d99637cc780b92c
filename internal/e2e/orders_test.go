package e2e

import (
	"errors"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/e2e/history"
	"turmericdrum.org/turmericdrum/pkg/schema"
)

var errNothing = errors.New("nothing was ordered")

// wantRole asks for a role of an engine.
func wantRole(c *cluster, n *node, role string, expected uint64) history.Change {
	c.t.Helper()
	want := &schema.EngineWant{Role: role, Models: []*schema.ModelRef{{Model: "guide", Version: "1"}}}
	return c.put(schema.ObjectKind_OBJECT_KIND_ENGINE, n.name, expected, &schema.Object{Spec: &schema.Object_Engine{Engine: want}})
}

// roleOrders lists the roles that an engine was ordered to take.
func roleOrders(c *cluster, n *node) []string {
	var roles []string
	for _, ev := range c.events() {
		if ev.Event == "order" && string(ev.Engine) == n.name && ev.Order.Command == "set_role" {
			roles = append(roles, ev.Order.Role)
		}
	}
	return roles
}

// Guards against orders of a leader that was frozen and wakes, at engines that
// ignore the fencing number.
func TestOrdersWithoutFencing(t *testing.T) {
	t.Parallel()
	s := spec{entries: 2, engines: 2, services: 1, engineArgs: []string{"--checks-fencing", "no"}}
	c := newCluster(t, s)
	n := c.engines[0]
	first := wantRole(c, n, "before", 0)
	// A new leader orders nothing at such engines for 10 s.
	eventually(t, "first order", 20*time.Second, func() error {
		if len(roleOrders(c, n)) == 0 {
			return errNothing
		}
		return nil
	})
	second := wantRole(c, n, "while-leading", first.Revision)
	leader := c.leader()
	leader.signal(syscall.SIGSTOP)
	third := wantRole(c, n, "after", second.Revision)
	pause(5 * time.Second)
	leader.signal(syscall.SIGCONT)
	eventually(t, "order of the new leader", 20*time.Second, func() error {
		if roles := roleOrders(c, n); roles[len(roles)-1] != "after" {
			return errNothing
		}
		return nil
	})
	pause(2 * time.Second)
	assert.Assert(t, third.Revision > second.Revision)
	roles := roleOrders(c, n)
	assert.Equal(t, roles[len(roles)-1], "after", "%v", roles)
	assert.NilError(t, history.OrdersFenced(c.events()))
}
