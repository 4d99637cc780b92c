package registry

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against commands that panic, or that two replicas apply differently.
func FuzzApply(f *testing.F) {
	for _, c := range schedules.Example(1) {
		f.Add(encode(f, c.cmd))
	}
	prefix := schedules.Example(2)
	f.Fuzz(func(t *testing.T, command []byte) {
		a, b := newMachine(t), newMachine(t)
		for _, s := range prefix {
			cmd := encode(t, s.cmd)
			a.Apply(1, cmd)
			b.Apply(1, cmd)
		}
		assert.Assert(t, bytes.Equal(a.Apply(2, command), b.Apply(2, command)))
		x, err := a.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, b.Restore(x))
		y, err := b.Snapshot()
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(x, y))
	})
}

// Guards against damaged snapshots that cause a panic or are restored partially.
func FuzzRestore(f *testing.F) {
	m := newMachine(f)
	for _, s := range schedules.Example(3) {
		m.Apply(1, encode(f, s.cmd))
	}
	snapshot, err := m.Snapshot()
	assert.NilError(f, err)
	f.Add(snapshot)
	f.Add([]byte("\x1a\x00"))
	f.Fuzz(func(t *testing.T, snapshot []byte) {
		m := newMachine(t)
		before, err := m.Snapshot()
		assert.NilError(t, err)
		if m.Restore(snapshot) != nil {
			after, err := m.Snapshot()
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(before, after))
			return
		}
		for _, s := range schedules.Example(4) {
			m.Apply(1, encode(t, s.cmd))
		}
		m.ConfigView(1)
	})
}
