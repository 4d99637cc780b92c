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

var errNoOrder = errors.New("the engine has not received the order")

// requestRole configures the wanted role of an engine.
func requestRole(c *cluster, n *node, role string, expected uint64) history.Change {
	c.t.Helper()
	want := &schema.EngineWant{Role: role, Models: []*schema.ModelRef{{Model: "guide", Version: "1"}}}
	return c.put(schema.ObjectKind_OBJECT_KIND_ENGINE, n.name, expected, &schema.Object{Spec: &schema.Object_Engine{Engine: want}})
}

// roleOrders lists the roles that an engine was ordered to take, sorted by time.
func roleOrders(c *cluster, n *node) []string {
	var roles []string
	for _, ev := range c.events() {
		if ev.Event == "order" && string(ev.Engine) == n.name && ev.Order.Command == "set_role" {
			roles = append(roles, ev.Order.Role)
		}
	}
	return roles
}

// Guards against orders that a control leader sends after it was frozen and replaced.
// Engines that do not check the fencing number would run them.
func TestOrdersWithoutFencing(t *testing.T) {
	t.Parallel()
	s := spec{entries: 2, engines: 2, services: 1, engineArgs: []string{"--checks-fencing", "no"}}
	c := newCluster(t, s)
	n := c.engines[0]
	first := requestRole(c, n, "before", 0)
	// A new leader sends such engines no order for 10 s.
	eventually(t, "first order", 20*time.Second, func() error {
		if len(roleOrders(c, n)) == 0 {
			return errNoOrder
		}
		return nil
	})
	second := requestRole(c, n, "while-leading", first.Revision)
	leader := c.leader()
	leader.signal(syscall.SIGSTOP)
	third := requestRole(c, n, "after", second.Revision)
	pause(5 * time.Second)
	leader.signal(syscall.SIGCONT)
	eventually(t, "order of the new leader", 20*time.Second, func() error {
		if roles := roleOrders(c, n); roles[len(roles)-1] != "after" {
			return errNoOrder
		}
		return nil
	})
	pause(2 * time.Second)
	assert.Assert(t, third.Revision > second.Revision)
	roles := roleOrders(c, n)
	assert.Equal(t, roles[len(roles)-1], "after", "%v", roles)
	assert.NilError(t, history.OrdersFenced(c.events()))
}
