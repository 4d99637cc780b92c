package audit_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/routing/audit"
)

func sound() *routing.Config {
	return &routing.Config{
		Version: 3,
		Routes: []routing.Route{
			{Name: "long", Host: "a.example", PathPrefix: "/long/", Kind: serving.KindStreamRoute, Timeout: 39 * time.Second, Objective: 1800 * time.Millisecond,
				MaxPause: 180 * time.Millisecond, MaxAttempts: 1, Affinity: true, Regions: []serving.RegionID{"north"}, Targets: []routing.Target{{Service: "model", Weight: 1}}},
			{Name: "look", Host: "a.example", PathPrefix: "/look/", Kind: serving.KindIdempotentRoute, Timeout: 2500 * time.Millisecond, Objective: 300 * time.Millisecond,
				MaxAttempts: 2, Targets: []routing.Target{{Service: "web", Weight: 90}, {Service: "model", Weight: 10}}},
		},
		Services: []routing.Service{{ID: "web"}, {ID: "model", MaxConnections: 272, ColdFor: 1500 * time.Millisecond, ColdPerSecond: 40,
			Model: &routing.ModelService{Slots: 24, MemoryTokens: 34393, TokenBytes: 327680, LinkMbps: 47000, SupportsMoves: true, TokensPerEvent: 4}}},
		Accounts: []routing.Account{{ID: "one", Keys: []string{"k1"}}, {ID: "two", Keys: []string{"k2"}, Regions: []serving.RegionID{"north", "south"}}},
		Limits:   routing.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

var bounds = audit.Bounds{Header: 64 << 10, Body: 24 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute, Regions: []serving.RegionID{"north", "south"}}

// Guards against findings about configurations as they are in use, and against faults that are
// not found.
func TestCheck(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*routing.Config)
		// want is severity, section, field and a part of the message of the only finding.
		severity             audit.Severity
		section, field, want string
	}{
		{"sound", func(*routing.Config) {}, "", "", "", ""},
		{"prefix with a query", func(c *routing.Config) { c.Routes[1].PathPrefix = "/look?x/" }, audit.Error, "Routes", "PathPrefix", "never matches"},
		{"prefix with a space", func(c *routing.Config) { c.Routes[1].PathPrefix = "/lo ok/" }, audit.Error, "Routes", "PathPrefix", "never matches"},
		{"prefix without a slash at its end", func(c *routing.Config) { c.Routes[1].PathPrefix = "/look" }, audit.Warning, "Routes", "PathPrefix", "longer names"},
		{"host with a scheme", func(c *routing.Config) { c.Routes[1].Host = "http://a.example" }, audit.Error, "Routes", "Host", "never matches"},
		{"no attempts", func(c *routing.Config) { c.Routes[1].MaxAttempts = 0 }, audit.Warning, "Routes", "MaxAttempts", "count as one"},
		{"timeout below objective", func(c *routing.Config) { c.Routes[1].Timeout = 200 * time.Millisecond; c.Services[1].ColdFor = 0 }, audit.Error, "Routes", "Objective", "later than the timeout"},
		{"pause over timeout", func(c *routing.Config) { c.Routes[0].MaxPause = time.Minute }, audit.Error, "Routes", "MaxPause", "longer than the timeout"},
		{"pause of a plain route", func(c *routing.Config) { c.Routes[1].MaxPause = time.Second }, audit.Warning, "Routes", "MaxPause", "no effect"},
		{"resumable plain route", func(c *routing.Config) { c.Routes[1].Resumable = true }, audit.Warning, "Routes", "Resumable", "only streams"},
		{"weight of 0", func(c *routing.Config) { c.Routes[1].Targets[1].Weight = 0 }, audit.Warning, "Routes", "Targets", "weight of 0"},
		{"service twice", func(c *routing.Config) { c.Routes[1].Targets[1].Service = "web" }, audit.Warning, "Routes", "Targets", "named twice"},
		{"objective below cold rate", func(c *routing.Config) { c.Services[1].ColdPerSecond = 2 }, audit.Warning, "Routes", "Objective", "cold engine"},
		{"timeout below cold start", func(c *routing.Config) { c.Services[1].ColdFor = 3 * time.Second }, audit.Warning, "Routes", "Timeout", "cold start"},
		{"affinity of a plain service", func(c *routing.Config) {
			c.Routes[1].Affinity, c.Routes[1].Targets = true, c.Routes[1].Targets[:1]
		}, audit.Warning, "Routes", "Affinity", "no effect"},
		{"account without a region of a route", func(c *routing.Config) { c.Accounts[1].Regions = []serving.RegionID{"south"} }, audit.Warning, "Routes", "Regions", "two"},
		{"no account may run on a route", func(c *routing.Config) {
			c.Accounts[0].Regions, c.Accounts[1].Regions = []serving.RegionID{"south"}, []serving.RegionID{"south"}
		}, audit.Error, "Routes", "Regions", "no account"},
		{"region that doesn't exist", func(c *routing.Config) { c.Accounts[1].Regions[1] = "west" }, audit.Warning, "Accounts", "Regions", "west"},
		{"no region that exists", func(c *routing.Config) { c.Routes[1].Regions = []serving.RegionID{"west"}; c.Accounts = c.Accounts[:1] }, audit.Error, "Routes", "Regions", "west"},
		{"unused service", func(c *routing.Config) { c.Services = append(c.Services, routing.Service{ID: "old"}) }, audit.Warning, "Services", "", "no route"},
		{"no slots", func(c *routing.Config) { c.Services[1].Model.Slots = 0 }, audit.Error, "Services", "Model", "run nothing"},
		{"fewer connections than slots", func(c *routing.Config) { c.Services[1].MaxConnections = 20 }, audit.Warning, "Services", "MaxConnections", "24 slots"},
		{"moves without a rate", func(c *routing.Config) { c.Services[1].Model.LinkMbps = 0 }, audit.Warning, "Services", "Model", "moves"},
		{"cold engines without a rate", func(c *routing.Config) { c.Services[1].ColdPerSecond = 0 }, audit.Warning, "Services", "ColdPerSecond", "any rate"},
		{"key twice", func(c *routing.Config) { c.Accounts[0].Keys = []string{"k1", "k1"} }, audit.Warning, "Accounts", "Keys", "key 2 stands twice"},
		{"empty key", func(c *routing.Config) { c.Accounts[0].Keys = []string{""} }, audit.Error, "Accounts", "Keys", "without a key"},
		{"no key", func(c *routing.Config) { c.Accounts[0].Keys = nil }, audit.Warning, "Accounts", "Keys", "no key"},
		{"account twice", func(c *routing.Config) { c.Accounts[1].ID = "one" }, audit.Warning, "Accounts", "", "stands twice"},
		{"no accounts", func(c *routing.Config) { c.Accounts = nil }, audit.Warning, "Accounts", "", "no accounts"},
		{"body over what entries hold", func(c *routing.Config) { c.Limits.BodyBytes = 32 << 20 }, audit.Error, "Limits", "BodyBytes", "25165824"},
		{"header over what entries read", func(c *routing.Config) { c.Limits.HeaderBytes = 1 << 20 }, audit.Error, "Limits", "HeaderBytes", "65536"},
		{"idle limit below header limit", func(c *routing.Config) { c.Limits.IdleTimeout = time.Second }, audit.Warning, "Limits", "IdleTimeout", "below the header limit"},
		{"idle limit over that of entries", func(c *routing.Config) { c.Limits.IdleTimeout = time.Hour }, audit.Warning, "Limits", "IdleTimeout", "close connections"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := sound()
			tc.change(c)
			findings := audit.Check(c, bounds)
			if tc.want == "" {
				assert.Equal(t, len(findings), 0, "%v", findings)
				return
			}
			assert.Equal(t, len(findings), 1, "%v", findings)
			f := findings[0]
			assert.Equal(t, f.Severity, tc.severity)
			assert.Equal(t, f.Subject.Section+"."+f.Subject.Field, tc.section+"."+tc.field)
			assert.Assert(t, strings.Contains(f.Message, tc.want) && f.Remedy != "", "%v", f)
		})
	}
}

func TestCheckEmptyConfig(t *testing.T) {
	assert.Equal(t, len(audit.Check(&routing.Config{}, audit.Bounds{})), 0)
	// Elements without any content must not end the check.
	assert.Assert(t, len(audit.Check(&routing.Config{Routes: make([]routing.Route, 2), Services: make([]routing.Service, 2), Accounts: make([]routing.Account, 2)}, bounds)) > 0)
}

func TestCompare(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*routing.Config)
		want   []string
	}{
		{"nothing", func(*routing.Config) {}, nil},
		{"other order", func(c *routing.Config) { c.Routes[0], c.Routes[1] = c.Routes[1], c.Routes[0] }, nil},
		{"timeout", func(c *routing.Config) { c.Routes[1].Timeout = 3 * time.Second }, []string{"Routes look Timeout: 2.5s, 3s"}},
		{"weights", func(c *routing.Config) { c.Routes[1].Targets[0].Weight = 50 }, []string{"Routes look Targets: [{web 90} {model 10}], [{web 50} {model 10}]"}},
		{"renamed service", func(c *routing.Config) { c.Services[0].ID = "shop" }, []string{"Services shop : , added", "Services web : removed, "}},
		{"engine dropped", func(c *routing.Config) { c.Services[1].Model = nil }, []string{"Services model Model: {Slots:24 MemoryTokens:34393 TokenBytes:327680 LinkMbps:47000 SupportsMoves:true SupportsBackups:false TokensPerEvent:4 CopyTTL:0s}, none"}},
		{"keys are counted, not shown", func(c *routing.Config) { c.Accounts[0].Keys = []string{"secret"} }, []string{"Accounts one Keys: 1 keys, 1 keys, 1 added, 1 removed"}},
		{"limits", func(c *routing.Config) { c.Limits.BodyBytes = 1 }, []string{"Limits  BodyBytes: 4194304, 1"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := sound()
			tc.change(c)
			var got []string
			for _, d := range audit.Compare(sound(), c) {
				got = append(got, fmt.Sprintf("%s %s %s: %s, %s", d.Subject.Section, d.Subject.Name, d.Subject.Field, d.Before, d.After))
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// Guards against a document that an operator believes to be in force although its version is too
// low.
func TestCheckSuccessor(t *testing.T) {
	for _, tc := range []struct {
		name    string
		version uint64
		changed bool
		want    int
	}{
		{"higher", 4, true, 0}, {"the same document", 3, false, 0}, {"the same version with a change", 3, true, 1}, {"lower", 2, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := sound()
			c.Version = tc.version
			if tc.changed {
				c.Limits.BodyBytes++
			}
			assert.Equal(t, len(audit.CheckSuccessor(sound(), c)), tc.want)
		})
	}
}
