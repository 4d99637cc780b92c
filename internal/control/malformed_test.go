package control

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/internal/answer/answertest"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/fleet"
)

// Guards against a control replica that takes a malformed answer of another replica, of an entry or of
// an engine, and keeps its connection.
func TestClientsOfControlRefuseMalformedAnswers(t *testing.T) {
	s, err := settings.Decode([]byte("{host: c, data_centre: a, region: r, listen: 127.0.0.1:1, cluster_key: k, control: {data: d, operator_key_hash: " + strings.Repeat("0", 64) + ", replicas: [{host: c, address: 127.0.0.1:1}]}}"))
	assert.NilError(t, err)
	p := &Process{Settings: s, Clock: serving.NewMonotonicClock()}
	node := p.node(nil, nil, events{})
	orders, err := p.orders(&Server{})
	assert.NilError(t, err)
	for _, tc := range []struct {
		name   string
		client *http.Client
	}{
		{"replicas", node.Client},
		{"entries", orders.entryClient},
		{"engines", orders.engineClient},
	} {
		t.Run(tc.name, func(t *testing.T) { answertest.CheckClient(t, tc.client) })
	}
}

// Guards against a control replica that takes the orders in force, or the acceptance of an order, from
// a malformed answer of an engine.
func TestReadBackAnsweredMalformed(t *testing.T) {
	const state = `{"fencing_number":7,"role":"batch"}`
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(state), state)
	for _, tc := range []struct {
		name, raw string
		role      string
	}{
		{"sound", chunked + "X-Sum: 1\r\n\r\n", "batch"},
		{"blank in a name", fmt.Sprintf("HTTP/1.1 200 OK\r\nX Bad: v\r\nContent-Length: %d\r\n\r\n%s", len(state), state), "before"},
		{"blank in a name of the trailer", chunked + "X Bad: v\r\n\r\n", "before"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := answertest.Serve(t, tc.raw, func(*http.Request) bool { return true })
			client := &http.Client{Transport: &answer.Transport{Next: &http.Transport{}}, Timeout: 5 * time.Second}
			o := &engineOrders{engineClient: client, clock: serving.NewMonotonicClock(), server: &Server{}}
			e := &fleet.Engine{ID: "e", Role: "before"}
			err := o.readBackEngine(t.Context(), &Blackboard{Addresses: map[string]string{"e": s.Address}}, e)
			assert.Equal(t, answer.IsMalformed(err), tc.role == "before", "%v", err)
			assert.Equal(t, e.Role, tc.role)
		})
	}
}
