package control

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/answer/answertest"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/serving"
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
