package routing

import (
	"net/http"
	"slices"
	"strings"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Table is a compiled configuration. It is immutable.
type Table struct {
	Config   *Config
	hosts    map[string][]*Route
	services map[serving.ServiceID]*Service
	keys     map[string]*Account
}

// Decision is the result of applying the configuration to one call.
type Decision struct {
	Route   *Route
	Service *Service
	// Account is nil for a call without a known key.
	Account *Account
	// Regions are the regions in which the call may run. A nil slice allows all, and
	// an empty one none.
	Regions []serving.RegionID
}

// Compile validates a configuration and builds its table. The table refers to cfg,
// which must not be changed afterwards.
func Compile(cfg *Config) (*Table, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	t := &Table{Config: cfg, hosts: map[string][]*Route{}, services: map[serving.ServiceID]*Service{}, keys: map[string]*Account{}}
	for i := range cfg.Routes {
		host := normalizeHost(cfg.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &cfg.Routes[i])
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].ID] = &cfg.Services[i]
	}
	for i := range cfg.Accounts {
		for _, key := range cfg.Accounts[i].Keys {
			t.keys[key] = &cfg.Accounts[i]
		}
	}
	return t, nil
}

// Service returns a service by its id, nil if there is none.
func (t *Table) Service(id serving.ServiceID) *Service { return t.services[id] }

// Match returns the route whose path prefix is the longest match, nil if there is
// none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Decide applies the configuration to a call. draw is a random number in [0, 1) that
// selects a service by the weights of the route's targets.
func (t *Table) Decide(c *serving.Call, draw float64) (*Decision, error) {
	r := t.Match(c.Host, c.Path)
	if r == nil {
		return nil, serving.NewError(serving.KindNotFound, "no route for "+c.Host+c.Path)
	}
	if limit := t.Config.Limits.BodyBytes; limit > 0 && serving.Bytes(len(c.Body)) > limit {
		return nil, serving.NewError(serving.KindTooLarge, "the body is larger than the limit")
	}
	if limit := t.Config.Limits.HeaderBytes; limit > 0 && headerBytes(c.Header) > limit {
		return nil, serving.NewError(serving.KindTooLarge, "the header is larger than the limit").WithDetail("header")
	}
	d := &Decision{Route: r, Service: t.services[r.target(draw)], Account: t.keys[c.Key]}
	if d.Account == nil && len(t.Config.Accounts) > 0 && !r.Public {
		return nil, serving.NewError(serving.KindUnauthenticated, "the key belongs to no client account")
	}
	d.Regions = r.Regions
	if len(r.Regions) == 0 {
		d.Regions = nil
	}
	if d.Account != nil && len(d.Account.Regions) > 0 {
		d.Regions = intersect(d.Regions, d.Account.Regions)
	}
	return d, nil
}

// Rank returns the priority of the call; lower ranks go first.
func (d *Decision) Rank() int {
	if d.Account != nil && d.Account.RankSet {
		return d.Account.Rank
	}
	return d.Route.Rank
}

// Allows reports whether the call may run in a region.
func (d *Decision) Allows(region serving.RegionID) bool {
	return d.Regions == nil || slices.Contains(d.Regions, region)
}

// target selects a service by the weights of the targets, with a random number in
// [0, 1).
func (r *Route) target(draw float64) serving.ServiceID {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := draw * sum
	last := serving.ServiceID("")
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		last = t.Service
		if at -= t.Weight; at < 0 {
			break
		}
	}
	return last
}

// intersect returns the regions that are in both lists. A nil first list means
// all regions.
func intersect(a, b []serving.RegionID) []serving.RegionID {
	if a == nil {
		return b
	}
	out := []serving.RegionID{}
	for _, r := range a {
		if slices.Contains(b, r) {
			out = append(out, r)
		}
	}
	return out
}

// headerBytes returns the size of a header on the wire.
func headerBytes(h http.Header) serving.Bytes {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return serving.Bytes(n)
}
