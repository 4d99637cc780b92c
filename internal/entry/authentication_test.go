package entry

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Guards against callers and operators whose keys are accepted on internal routes, and
// against the cluster key or an operator key on the callers' routes.
func TestKeysAuthorizeOnlyTheirRoutes(t *testing.T) {
	const cluster = "cluster-key"
	internal := []string{
		"/v1/engines/announce", "/twirp/turmericdrum.v1.Views/GetView",
		"/twirp/turmericdrum.v1.Members/Exchange", "/twirp/turmericdrum.v1.Slots/Update",
	}
	callers := []struct{ method, path string }{
		{http.MethodPost, "/v1/completions"}, {http.MethodPost, "/v1/services/stylus/stock"},
		{http.MethodGet, "/v1/orders/stylus/k"}, {http.MethodGet, "/v1/generations/resume"}, {http.MethodDelete, "/v1/generations/resume"},
	}
	e, _ := newOrderEntry(t, "")
	json := map[string]string{"Content-Type": "application/json"}
	for _, path := range internal {
		for _, key := range []string{"", testKey, operatorKey, cluster + "x", cluster[1:]} {
			assert.Equal(t, e.do(t, http.MethodPost, path, key, json, "{}").status, http.StatusUnauthorized, "%s %s", path, key)
		}
		assert.Assert(t, e.do(t, http.MethodPost, path, cluster, json, "{").status != http.StatusUnauthorized, path)
	}
	for _, c := range callers {
		for _, key := range []string{"", operatorKey, cluster, "unknown"} {
			got := e.do(t, c.method, c.path, key, json, "{}")
			assert.Equal(t, got.err.Error.Kind, serving.KindUnauthenticated, "%s %s", c.path, key)
			assert.Equal(t, got.err.Error.Ran, serving.NotRun, "%s %s", c.path, key)
		}
	}
}
