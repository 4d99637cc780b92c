package routing_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
)

func valid() *routing.Config {
	route := func(name, prefix string, targets ...routing.Target) routing.Route {
		return routing.Route{Name: name, Host: "a.example", PathPrefix: prefix, Kind: serving.KindIdempotentRoute, Timeout: time.Second, Targets: targets}
	}
	return &routing.Config{
		Version: 3,
		Routes: []routing.Route{
			route("all", "/", routing.Target{Service: "web", Weight: 1}),
			route("long", "/x/long/", routing.Target{Service: "web", Weight: 1}),
			route("split", "/x/", routing.Target{Service: "web", Weight: 90}, routing.Target{Service: "model", Weight: 10}),
		},
		Services: []routing.Service{{ID: "web"}, {ID: "model"}},
		Accounts: []routing.Account{{ID: "one", Keys: []string{"k1", "k1b"}}, {ID: "two", Keys: []string{"k2"}, Regions: []serving.RegionID{"north"}}},
		Limits:   routing.Limits{BodyBytes: 10, HeaderBytes: 100},
	}
}

func TestValidateRefuses(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*routing.Config)
		want   string
	}{
		{"unknown service", func(c *routing.Config) { c.Routes[1].Targets[0].Service = "none" }, "unknown service"},
		{"same host and prefix", func(c *routing.Config) { c.Routes[1].PathPrefix = "/x/" }, "share the host"},
		{"same host and prefix in other case", func(c *routing.Config) { c.Routes[1].PathPrefix, c.Routes[1].Host = "/x/", "A.Example" }, "share the host"},
		{"no weight", func(c *routing.Config) { c.Routes[2].Targets = []routing.Target{{Service: "web"}, {Service: "model"}} }, "add up to 0"},
		{"no target", func(c *routing.Config) { c.Routes[2].Targets = nil }, "add up to 0"},
		{"negative weight", func(c *routing.Config) { c.Routes[2].Targets[0].Weight = -1 }, "negative"},
		{"no timeout", func(c *routing.Config) { c.Routes[0].Timeout = 0 }, "no timeout"},
		{"shared key", func(c *routing.Config) { c.Accounts[1].Keys = []string{"k1b"} }, "share a key"},
		{"duplicate service", func(c *routing.Config) { c.Services[1].ID = "web" }, "twice"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := valid()
			tc.change(c)
			_, err := routing.Compile(c)
			assert.ErrorContains(t, err, tc.want)
			assert.Equal(t, serving.KindOf(err), serving.KindInvalid)
		})
	}
	_, err := routing.Compile(valid())
	assert.NilError(t, err)
}

func TestDecide(t *testing.T) {
	c := valid()
	c.Routes[1].Regions = []serving.RegionID{"north", "south"}
	c.Routes[0].Public = true
	table, err := routing.Compile(c)
	assert.NilError(t, err)
	for _, tc := range []struct {
		name    string
		call    serving.Call
		draw    float64
		route   string
		service serving.ServiceID
		kind    serving.Kind
	}{
		{name: "longest prefix", call: serving.Call{Host: "a.example", Path: "/x/long/y", Key: "k1"}, route: "long", service: "web"},
		{name: "host with port and other case", call: serving.Call{Host: "A.example:8080", Path: "/x/long/y", Key: "k1"}, route: "long", service: "web"},
		{name: "first part of a split", call: serving.Call{Host: "a.example", Path: "/x/y", Key: "k1"}, draw: 0.89, route: "split", service: "web"},
		{name: "second part of a split", call: serving.Call{Host: "a.example", Path: "/x/y", Key: "k1"}, draw: 0.91, route: "split", service: "model"},
		{name: "public", call: serving.Call{Host: "a.example", Path: "/q"}, route: "all", service: "web"},
		{name: "unknown host", call: serving.Call{Host: "b.example", Path: "/q", Key: "k1"}, kind: serving.KindNotFound},
		{name: "no key", call: serving.Call{Host: "a.example", Path: "/x/y"}, kind: serving.KindUnauthenticated},
		{name: "wrong key", call: serving.Call{Host: "a.example", Path: "/x/y", Key: "k3"}, kind: serving.KindUnauthenticated},
		{name: "body", call: serving.Call{Host: "a.example", Path: "/q", Body: make([]byte, 11)}, kind: serving.KindTooLarge},
		{name: "header", call: serving.Call{Host: "a.example", Path: "/q", Header: http.Header{"X": {strings.Repeat("y", 100)}}}, kind: serving.KindTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d, err := table.Decide(&tc.call, tc.draw)
			if tc.kind != "" {
				assert.Equal(t, serving.KindOf(err), tc.kind)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, d.Route.Name, tc.route)
			assert.Equal(t, d.Service.ID, tc.service)
		})
	}
}

// Guards against calls that run outside the regions of their account because the
// route lists other regions, or the other way round.
func TestRegionsOfRouteAndAccount(t *testing.T) {
	c := valid()
	c.Routes[1].Regions = []serving.RegionID{"south"}
	table, err := routing.Compile(c)
	assert.NilError(t, err)
	for _, tc := range []struct {
		name, path, key string
		allowed         []serving.RegionID
	}{
		{"neither", "/x/y", "k1", []serving.RegionID{"north", "south"}},
		{"route", "/x/long/y", "k1", []serving.RegionID{"south"}},
		{"account", "/x/y", "k2", []serving.RegionID{"north"}},
		{"both without a common region", "/x/long/y", "k2", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d, err := table.Decide(&serving.Call{Host: "a.example", Path: tc.path, Key: tc.key}, 0)
			assert.NilError(t, err)
			var allowed []serving.RegionID
			for _, r := range []serving.RegionID{"north", "south"} {
				if d.Allows(r) {
					allowed = append(allowed, r)
				}
			}
			assert.DeepEqual(t, allowed, tc.allowed)
		})
	}
}
