package soak_test

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/soak"
)

// build builds the program under test.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "turmericdrum")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/turmericdrum").CombinedOutput()
	assert.NilError(t, err, string(out))
	return binary
}

// Guards against violations of the guarantees under random faults, in the short run for CI.
// Seeds that have failed are added here, each with its cause.
func TestSeeds(t *testing.T) {
	binary := build(t)
	for _, tc := range []struct {
		name string
		seed uint64
	}{
		{"first", 1},
		{"prompts that crash engines", 2},
		// A sound lookup that two engines lose together with the call that crashes them,
		// before it was ever answered, is blocked like that call.
		{"sound lookup lost with a crashing one", 1406},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out strings.Builder
			c := &soak.Command{Binary: binary, First: tc.seed, Seeds: 1, Parallel: 1, Time: 5 * time.Second, Hubs: 3, Entries: 2, Folder: t.TempDir()}
			err := c.Run(t.Context(), &out)
			t.Log(out.String())
			assert.NilError(t, err)
		})
	}
}

// Guards against calls on kept connections that are cut off by planned stops of the entries, in
// series and beside changes of the configuration and stops of hubs, in the short run for CI.
func TestPlannedStops(t *testing.T) {
	var out strings.Builder
	c := &soak.Command{Binary: build(t), First: 1, Seeds: 2, Parallel: 2, Time: 8 * time.Second, Hubs: 3, Entries: 3, Planned: true, Folder: t.TempDir()}
	err := c.Run(t.Context(), &out)
	t.Log(out.String())
	assert.NilError(t, err)
}

// Guards against a soak that starts with a missing program or an invalid number of seeds or
// hosts.
func TestCommandIsChecked(t *testing.T) {
	for _, tc := range []struct {
		name    string
		command soak.Command
		want    string
	}{
		{"no program", soak.Command{Binary: "none", Seeds: 1, Parallel: 1, Hubs: 1, Entries: 1}, "--binary"},
		{"no seed", soak.Command{Binary: "soak_test.go", Parallel: 1, Hubs: 1, Entries: 1}, "must be positive"},
		{"too many hosts", soak.Command{Binary: "soak_test.go", Seeds: 1, Parallel: 1, Hubs: 1, Entries: 300}, "at most 200"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.ErrorContains(t, tc.command.Run(t.Context(), &strings.Builder{}), tc.want)
		})
	}
}
