package registry

import (
	"flag"
	"os"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// TestMain sets the seed and the number of checks of the property tests, so that
// every run has the same result. The flags -rapid.seed and -rapid.checks override
// them.
func TestMain(m *testing.M) {
	// The default of 100 checks misses faults that only a combination of several
	// commands causes.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against aliases that resolve to the wrong object or to none, and against
// a view that returns the wrong account for a key or the wrong out-of-service state.
func TestViewLookups(t *testing.T) {
	m := newMachine(t)
	run(t, m, put(model("m")), putAlias("legacy", "old m", "m"), put(account("aguja", "secret")),
		put(dataCentre("leon", "norte")), expecting(takeOut(kDC, "leon"), 4), put(engine("e", "old m")), expecting(takeOut(kEngine, "e"), 6))
	v, err := NewView(m.ConfigView(0))
	assert.NilError(t, err)
	id, _, ok := v.Model("old m")
	assert.Assert(t, ok)
	assert.Equal(t, id, serving.ModelID("m"))
	owner, _, ok := v.AccountByKey("secret")
	assert.Assert(t, ok)
	assert.Equal(t, owner, serving.ClientAccountID("aguja"))
	_, _, ok = v.AccountByKey("other")
	assert.Assert(t, !ok)
	assert.Assert(t, v.DataCentreOut("leon") && v.EngineOut("e") && !v.EngineOut("unknown"))
	_, e, _ := v.Engine("e")
	assert.Equal(t, e.GetModels()[0].GetModel(), "m")
}

// Guards against a view that accepts an older revision, or changes relative to
// another revision.
func TestViewUpdateRefusesOtherBase(t *testing.T) {
	m := newMachine(t)
	run(t, m, put(model("m")), put(model("n")), put(model("o")))
	v, err := NewView(m.ConfigView(0))
	assert.NilError(t, err)
	_, err = v.Update(&schema.ConfigView{Revision: 2})
	assert.Equal(t, serving.KindOf(err), serving.KindConflict)
	_, err = v.Update(m.ConfigView(1))
	assert.Equal(t, serving.KindOf(err), serving.KindConflict)
}

// Guards against incremental updates that omit a changed object or keep a removed
// one.
func TestViewUpdatesEqualWholeConfiguration(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(t)
		v, err := NewView(m.ConfigView(0))
		assert.NilError(t, err)
		for _, s := range schedules.Draw(rt, "schedule") {
			m.Apply(1, encode(t, s.cmd))
			// Here restore marks the steps after which the view is updated.
			if !s.restore {
				continue
			}
			v, err = v.Update(m.ConfigView(v.Revision()))
			assert.NilError(t, err)
			if !proto.Equal(v.Config(), m.ConfigView(0)) {
				rt.Fatalf("updated view %v differs from %v", v.Config(), m.ConfigView(0))
			}
		}
	})
}
