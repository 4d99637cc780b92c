package settings_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/ingress"
	"turmericdrum.org/turmericdrum/internal/settings"
)

// Guards against limits for clients that exceed the host when a crowd reaches all of them at once,
// and against a default that callers of the smallest host reach under normal conditions.
func TestListenerStaysWithinTheHost(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits settings.Limits
		// memory and sockets are those of the host, least the connections that are needed.
		memory         int64
		sockets, least int
	}{
		{"smallest entry host", settings.Limits{MemoryMB: 112, MaxFDs: 3_075}, 112 << 20, 2_875, 500},
		{"smallest control host", settings.Limits{MemoryMB: 280, MaxFDs: 4_096}, 280 << 20, 3_896, 1_300},
		{"fewest descriptors", settings.Limits{MemoryMB: 112, MaxFDs: 400}, 112 << 20, 200, 50},
		{"unknown host", settings.Limits{}, 4 << 30, 1 << 20, 4_096},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := c.limits.Listener("test")
			buffers := int64(l.Limits.Accepted()) * int64(l.Limits.ReadBuffer+l.Limits.WriteBuffer)
			assert.Check(t, l.Budget.Bytes+buffers <= c.memory, "clients may use %d MiB", (l.Budget.Bytes+buffers)>>20)
			assert.Check(t, int64(l.Limits.Connections)*ingress.ConnectionBytes <= l.Budget.Bytes, "%d connections", l.Limits.Connections)
			assert.Check(t, l.Limits.Connections <= c.sockets && l.Limits.Connections >= c.least, "%d connections", l.Limits.Connections)
		})
	}
}

// Guards against settings with which a process can't serve.
func TestCheckRefusesHostsThatAreTooSmall(t *testing.T) {
	for _, c := range []struct {
		name, yaml, want string
	}{
		{"memory", "limits: {memory_mb: 63}", "limits.memory_mb"},
		{"negative memory", "limits: {memory_mb: -1}", "limits.memory_mb"},
		{"descriptors", "limits: {max_fds: 399}", "limits.max_fds"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Decode([]byte("host: h\ndata_centre: d\nregion: r\nlisten: 127.0.0.1:1\ncluster_key: k\nentry: {control: ['127.0.0.1:2']}\n" + c.yaml + "\n"))
			assert.ErrorContains(t, err, c.want)
		})
	}
}
