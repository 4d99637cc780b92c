package deployment_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/deployment"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
)

func TestHighestVersionWins(t *testing.T) {
	for _, tc := range []struct {
		name     string
		versions []uint64
		want     uint64
		document string
	}{
		{"in order", []uint64{1, 2, 7}, 7, "7/2"},
		{"an older version after a newer one", []uint64{1, 7, 2}, 7, "7/1"},
		{"other content under the current version", []uint64{3, 3}, 3, "3/0"},
		{"version 0 as the first", []uint64{0}, 0, "0/0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := deployment.New()
			for i, v := range tc.versions {
				m.Apply(uint64(i+1), deployment.PutConfig(v, []byte{byte('0' + v), '/', byte('0' + i)}))
			}
			assert.Equal(t, m.State().GetConfig().GetVersion(), tc.want)
			assert.Equal(t, string(m.State().GetConfig().GetDocument()), tc.document)
		})
	}
}

// Guards against a command that is resent after a lost acknowledgement and raises
// the revision, which would make every entry process load the state again.
func TestResentCommandsChangeNothing(t *testing.T) {
	m := deployment.New()
	commands := [][]byte{deployment.PutConfig(4, []byte("d")), deployment.SetOutOfService("leon-1", true)}
	for i, c := range commands {
		m.Apply(uint64(i+1), c)
	}
	revision := m.State().GetRevision()
	changed := m.Changed()
	for i, c := range commands {
		m.Apply(uint64(i+10), c)
	}
	m.Apply(20, []byte{0xff, 0xff})
	assert.Equal(t, m.State().GetRevision(), revision)
	select {
	case <-changed:
		t.Fatal("a resent command notified the watchers")
	default:
	}
}

// Guards against blocks that are lost or counted twice when their command is resent, and
// against a list of blocks that grows without bound.
func TestBlockPrompt(t *testing.T) {
	block := func(parts ...quarantine.Part) []byte { return deployment.BlockPrompt(quarantine.NewBlock(parts)) }
	unblock := func(parts ...quarantine.Part) []byte {
		return deployment.UnblockPrompt(quarantine.NewBlock(parts))
	}
	many := [][]byte{}
	for i := range deployment.MaxBlocks + 5 {
		many = append(many, block(quarantine.Part(i+1)))
	}
	for _, tc := range []struct {
		name     string
		commands [][]byte
		// blocks is the number of blocks afterwards, newest the last one.
		blocks int
		newest quarantine.Block
	}{
		{"one block", [][]byte{block(2, 1)}, 1, quarantine.Block{1, 2}},
		{"resent", [][]byte{block(1, 2), block(2, 1)}, 1, quarantine.Block{1, 2}},
		{"a narrower block replaces wider ones", [][]byte{block(1, 2), block(2, 3), block(2)}, 1, quarantine.Block{2}},
		{"a wider block adds nothing", [][]byte{block(2), block(1, 2)}, 1, quarantine.Block{2}},
		{"removed", [][]byte{block(1, 2), block(3), unblock(3), unblock(9)}, 1, quarantine.Block{1, 2}},
		{"without parts", [][]byte{block(4), block()}, 1, quarantine.Block{4}},
		{"more than the bound", many, deployment.MaxBlocks, quarantine.Block{deployment.MaxBlocks + 5}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := deployment.New()
			for i, c := range tc.commands {
				m.Apply(uint64(i+1), c)
			}
			blocks := quarantine.BlocksFromWire(m.State().GetBlocks()).Blocks()
			assert.Equal(t, len(blocks), tc.blocks)
			assert.DeepEqual(t, blocks[len(blocks)-1], tc.newest)
		})
	}
}

func TestSnapshotKeepsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := deployment.New()
		for i := range rapid.IntRange(0, 20).Draw(t, "commands") {
			if rapid.Bool().Draw(t, "config") {
				m.Apply(uint64(i+1), deployment.PutConfig(rapid.Uint64Range(0, 9).Draw(t, "version"), []byte("d")))
				continue
			}
			m.Apply(uint64(i+1), deployment.BlockPrompt(quarantine.Block{quarantine.Part(rapid.Uint64Range(1, 5).Draw(t, "part"))}))
			dc := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "data centre")
			m.Apply(uint64(i+1), deployment.SetOutOfService("dc-x", true))
			m.Apply(uint64(i+1), deployment.SetOutOfService(serving.DataCentreID(dc), rapid.Bool().Draw(t, "out")))
		}
		b, err := m.Snapshot()
		assert.NilError(t, err)
		other := deployment.New()
		assert.NilError(t, other.Restore(b))
		assert.Equal(t, other.State().String(), m.State().String())
	})
}

func TestDocumentIsKeptByteForByte(t *testing.T) {
	document := []byte(`{"version": 7, "routes" : [ ] }` + "\n")
	packed, err := deployment.Compress(document)
	assert.NilError(t, err)
	got, err := deployment.Decompress(&schema.DeploymentConfig{Document: packed})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, document)
	_, err = deployment.Decompress(&schema.DeploymentConfig{Document: packed[:len(packed)-6]})
	assert.ErrorContains(t, err, "decompress")
}
