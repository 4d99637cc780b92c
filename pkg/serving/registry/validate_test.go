package registry

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

// Guards against invalid specifications that are accepted and fail later in an
// entry, and against messages that do not name the invalid field.
func TestValidateObject(t *testing.T) {
	object := func(kind schema.ObjectKind, spec any) *schema.Object {
		o := &schema.Object{Kind: kind, Id: "x"}
		switch s := spec.(type) {
		case *schema.Service:
			o.Spec = &schema.Object_Service{Service: s}
		case *schema.ClientAccount:
			o.Spec = &schema.Object_ClientAccount{ClientAccount: s}
		case *schema.Model:
			o.Spec = &schema.Object_Model{Model: s}
		case *schema.EngineWant:
			o.Spec = &schema.Object_Engine{Engine: s}
		case *schema.Host:
			o.Spec = &schema.Object_Host{Host: s}
		}
		return o
	}
	ref := &schema.ModelRef{Model: "m", Version: "v"}
	tests := []struct {
		o    *schema.Object
		want string
	}{
		{object(kService, nil), "missing or of another kind"},
		{object(kService, &schema.Model{}), "missing or of another kind"},
		{object(0, &schema.Model{}), "no known kind"},
		{object(kService, &schema.Service{Model: "m"}), "plain service has no model"},
		{object(kService, &schema.Service{LookupPath: "calls"}), "lookup_path"},
		{object(kService, &schema.Service{Routes: []*schema.Route{{PathPrefix: "a"}}}), "path_prefix"},
		{object(kService, &schema.Service{Routes: []*schema.Route{{PathPrefix: "/a"}, {PathPrefix: "/a"}}}), "listed twice"},
		{object(kService, &schema.Service{Routes: []*schema.Route{{PathPrefix: "/a", TimeoutMs: -1}}}), "negative"},
		{object(kAccount, &schema.ClientAccount{}), "weight"},
		{object(kAccount, &schema.ClientAccount{Weight: math.NaN()}), "weight"},
		{object(kAccount, &schema.ClientAccount{Weight: 1, MaxInProgress: -1}), "must not be negative"},
		{object(kAccount, &schema.ClientAccount{Weight: 1, TokensPerSecond: 5}), "burst_tokens"},
		{object(kAccount, &schema.ClientAccount{Weight: 1, KeyHashes: [][]byte{[]byte("key")}}), "SHA-256"},
		{object(kModel, &schema.Model{}), "at least one version"},
		{object(kModel, &schema.Model{MinWarm: -1}), "min_warm"},
		{object(kModel, &schema.Model{Versions: []*schema.ModelVersion{{Version: "v", Share: math.NaN()}}}), "share"},
		{object(kModel, &schema.Model{Versions: []*schema.ModelVersion{{Version: "v", Share: 0.5}, {Version: "v", Share: 0.5}}}), "listed twice"},
		{object(kEngine, &schema.EngineWant{Models: []*schema.ModelRef{ref, ref}}), "listed twice"},
		{object(kEngine, &schema.EngineWant{Role: "a b"}), "role"},
		{object(schema.ObjectKind_OBJECT_KIND_HOST, &schema.Host{Address: "10.0.0.1"}), "host:port"},
		{object(schema.ObjectKind_OBJECT_KIND_HOST, &schema.Host{Address: "10.0.0.1:0"}), "port"},
		{object(kEngine, &schema.EngineWant{Role: "decode", Models: []*schema.ModelRef{ref}}), ""},
		{object(kService, &schema.Service{Routes: []*schema.Route{{PathPrefix: "/"}}}), ""},
	}
	for _, tt := range tests {
		got := validateObject(tt.o)
		assert.Assert(t, got == tt.want || tt.want != "" && strings.Contains(got, tt.want), "%v: %s, want %s", tt.o, got, tt.want)
	}
}

// Guards against the removal of a model version that an engine should carry.
func TestVersionInUse(t *testing.T) {
	m := newMachine(t)
	next := model("m")
	next.GetModel().Versions[0].Version = "v2"
	assert.DeepEqual(t, run(t, m, put(model("m")), put(engine("e", "m")), expecting(put(next), 1)),
		[]schema.Outcome{accepted, accepted, inUse})
}
