package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const entryYAML = `host: leon-1
data_centre: leon-a
region: leon
listen: 127.0.0.1:7101
cluster_key: secret
entry:
  control: [127.0.0.1:7201, 127.0.0.1:7202]
  view_poll: 500ms
`

const controlYAML = `host: leon-1
data_centre: leon-a
region: leon
listen: 127.0.0.1:7201
cluster_key: secret
control:
  data: /var/lib/turmericdrum
  operator_key_hash: 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
  replicas:
    - {host: leon-1, address: 127.0.0.1:7201}
    - {host: gdl-1, address: 127.0.0.1:7202}
    - {host: pue-1, address: 127.0.0.1:7203}
`

// Guards against invalid settings that are accepted, and against errors that name
// the wrong key or no remedy. Each case replaces one text in valid settings.
func TestDecodeNamesTheKey(t *testing.T) {
	tests := []struct {
		name, yaml, old, new, key string
	}{
		{"entry is valid", entryYAML, "", "", ""},
		{"control is valid", controlYAML, "", "", ""},
		{"unknown key", entryYAML, "view_poll", "view_pull", "entry.view_pull"},
		{"duration without unit", entryYAML, "500ms", "500", "entry.view_poll"},
		{"negative duration", entryYAML, "500ms", "-1s", "entry.view_poll"},
		{"host name as address", entryYAML, "127.0.0.1:7101", "localhost:7101", "listen"},
		{"address in a list", entryYAML, "127.0.0.1:7202", "x", "entry.control[1]"},
		{"address twice", entryYAML, "127.0.0.1:7202", "127.0.0.1:7201", "entry.control"},
		{"replica twice", controlYAML, "host: gdl-1", "host: pue-1", "control.replicas.host"},
		{"lease too long", entryYAML, "view_poll: 500ms", "view_lease: 4s", "entry.view_lease"},
		{"missing key", entryYAML, "cluster_key: secret\n", "", "cluster_key"},
		{"even number of replicas", controlYAML, "    - {host: pue-1, address: 127.0.0.1:7203}\n", "", "control.replicas"},
		{"bad hash", controlYAML, "2bb80d", "xyz", "control.operator_key_hash"},
		{"scheme with a space", controlYAML, "control:\n", "control:\n  naming_schemes: [\"a b\"]\n", "control"},
		{"claim retention too long", controlYAML, "control:\n", "control:\n  claim_retention: 9999h\n", "control"},
		{"slot TTL too short", entryYAML, "view_poll: 500ms", "slot_ttl: 1ms", "entry.slot_ttl"},
		{"negative number of entries", controlYAML, "control:\n", "control:\n  snapshot_entries: -5\n", "control.snapshot_entries"},
		{"address of all interfaces", entryYAML, "127.0.0.1:7101", "0.0.0.0:7101", "advertise"},
		{"host with a space", entryYAML, "host: leon-1", "host: leon 1", "host"},
		{"broken YAML", entryYAML, "host:", "host", "settings"},
	}
	for _, tt := range tests {
		_, err := Decode([]byte(strings.Replace(tt.yaml, tt.old, tt.new, 1)))
		if tt.key == "" {
			assert.NilError(t, err, tt.name)
			continue
		}
		assert.Equal(t, serving.KindOf(err), serving.KindInvalid, tt.name)
		assert.ErrorContains(t, err, tt.key+" ", tt.name)
		assert.ErrorContains(t, err, "remedy", tt.name)
	}
}

// Guards against a decoder that panics on damaged settings.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(entryYAML))
	f.Add([]byte(controlYAML))
	f.Add([]byte("entry: [1, {a: 2}]"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = Decode(b)
	})
}
