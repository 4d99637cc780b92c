package audit

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
)

// Severity is the weight of a finding.
type Severity string

// Severities. An error means that some calls can never be served as configured.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Subject is the part of a configuration that a finding is about.
type Subject struct {
	// Section is a field of routing.Config.
	Section string
	// Index is the position in the section, if it is a list, and Name the name of that element.
	Index int
	Name  string
	// Field is a field of the element, or of the section if that is no list; empty for all.
	Field string
}

// Finding is something doubtful.
type Finding struct {
	Severity        Severity
	Subject         Subject
	Message, Remedy string
}

// Bounds are what an entry accepts whatever the configuration says. Zero values mean no bound.
type Bounds struct {
	Header, Body               serving.Bytes
	HeaderTimeout, IdleTimeout time.Duration
	// Regions are the regions that exist; empty if they are unknown.
	Regions []serving.RegionID
}

// checker collects findings.
type checker struct {
	cfg      *routing.Config
	bounds   Bounds
	services map[serving.ServiceID]*routing.Service
	findings []Finding
}

// Check returns all findings, in the order of the configuration.
func Check(cfg *routing.Config, b Bounds) []Finding {
	c := &checker{cfg: cfg, bounds: b, services: map[serving.ServiceID]*routing.Service{}}
	for i := range cfg.Services {
		c.services[cfg.Services[i].ID] = &cfg.Services[i]
	}
	for i := range cfg.Routes {
		c.route(i, &cfg.Routes[i])
	}
	for i := range cfg.Services {
		c.service(i, &cfg.Services[i])
	}
	for i := range cfg.Accounts {
		c.account(i, &cfg.Accounts[i])
	}
	if len(cfg.Accounts) == 0 && len(cfg.Routes) > 0 {
		c.add(Warning, Subject{Section: "Accounts"}, "there are no accounts, so no route needs a key", "add accounts, or make the routes public")
	}
	c.limits(&cfg.Limits)
	return c.findings
}

func (c *checker) add(severity Severity, s Subject, message, remedy string) {
	c.findings = append(c.findings, Finding{severity, s, message, remedy})
}

func (c *checker) route(i int, r *routing.Route) {
	at := func(field string) Subject { return Subject{"Routes", i, r.Name, field} }
	if bad := strings.IndexFunc(r.PathPrefix, func(x rune) bool { return x <= ' ' || x > '~' || strings.ContainsRune("?#\"<>", x) }); bad >= 0 {
		c.add(Error, at("PathPrefix"), fmt.Sprintf("no path contains %q, so the path prefix %q never matches", r.PathPrefix[bad:bad+1], r.PathPrefix), "write the prefix as it stands in a request")
	}
	if strings.ContainsAny(r.Host, "/?#@ ") {
		c.add(Error, at("Host"), fmt.Sprintf("the host %q is no host name, so the route never matches", r.Host), "write the host without scheme and path")
	}
	if r.PathPrefix != "" && !strings.HasSuffix(r.PathPrefix, "/") {
		c.add(Warning, at("PathPrefix"), fmt.Sprintf("the path prefix %q also matches longer names, such as %q", r.PathPrefix, r.PathPrefix+"x"), "end the prefix with a slash")
	}
	if r.MaxAttempts <= 0 {
		c.add(Warning, at("MaxAttempts"), fmt.Sprintf("%d attempts count as one", r.MaxAttempts), "set the number of engines to which a call may be sent")
	}
	c.regions(at("Regions"), r.Regions)
	c.routeTimes(at, r)
	c.targets(at, r)
	c.accountsOf(at("Regions"), r)
}

func (c *checker) routeTimes(at func(string) Subject, r *routing.Route) {
	if r.Objective > r.Timeout && r.Timeout > 0 {
		c.add(Error, at("Objective"), fmt.Sprintf("the objective of %v is later than the timeout of %v", r.Objective, r.Timeout), "lower the objective or raise the timeout")
	}
	if r.MaxPause > r.Timeout && r.Timeout > 0 {
		c.add(Error, at("MaxPause"), fmt.Sprintf("the pause of %v is longer than the timeout of %v", r.MaxPause, r.Timeout), "lower the pause or raise the timeout")
	}
	if r.Kind == serving.KindStreamRoute {
		return
	}
	if r.MaxPause > 0 {
		c.add(Warning, at("MaxPause"), "a pause between events has no effect on a route without streams", "remove it or change the type of the route")
	}
	if r.Resumable {
		c.add(Warning, at("Resumable"), "only streams can be resumed", "remove it or change the type of the route")
	}
}

func (c *checker) targets(at func(string) Subject, r *routing.Route) {
	seen := map[serving.ServiceID]bool{}
	model := false
	for _, t := range r.Targets {
		if seen[t.Service] {
			c.add(Warning, at("Targets"), "service "+string(t.Service)+" is named twice; its weights are added", "name it once")
		}
		seen[t.Service] = true
		if t.Weight == 0 {
			c.add(Warning, at("Targets"), "service "+string(t.Service)+" has a weight of 0 and gets no calls", "remove it or set a weight")
		}
		s := c.services[t.Service]
		if s == nil {
			continue
		}
		model = model || s.Model != nil
		if wait := coldWait(s); r.Objective > 0 && wait > r.Objective {
			c.add(Warning, at("Objective"), fmt.Sprintf("the objective of %v is below the %v between two calls to a cold engine of service %s", r.Objective, wait, s.ID),
				"raise the objective or the rate of cold engines")
		}
		if s.ColdFor > 0 && r.Timeout > 0 && s.ColdFor > r.Timeout {
			c.add(Warning, at("Timeout"), fmt.Sprintf("the timeout of %v is below the cold start of %v of service %s", r.Timeout, s.ColdFor, s.ID), "raise the timeout, or keep enough engines warm")
		}
	}
	if r.Affinity && !model && len(seen) > 0 {
		c.add(Warning, at("Affinity"), "affinity has no effect without a service whose engines run a model", "remove it")
	}
}

// coldWait returns the time between two calls to a cold engine, 0 if there is no limit.
func coldWait(s *routing.Service) time.Duration {
	if s.ColdFor <= 0 || s.ColdPerSecond <= 0 {
		return 0
	}
	return time.Duration(min(float64(time.Second)/s.ColdPerSecond, float64(s.ColdFor))).Round(time.Millisecond)
}

// accountsOf reports the accounts whose calls on the route may run in no region.
func (c *checker) accountsOf(s Subject, r *routing.Route) {
	var excluded []string
	for i := range c.cfg.Accounts {
		a := &c.cfg.Accounts[i]
		if len(a.Regions) > 0 && len(r.Regions) > 0 && !slices.ContainsFunc(a.Regions, func(x serving.RegionID) bool { return slices.Contains(r.Regions, x) }) {
			excluded = append(excluded, string(a.ID))
		}
	}
	switch {
	case len(excluded) == 0:
	case len(excluded) == len(c.cfg.Accounts) && !r.Public:
		c.add(Error, s, "no account may run in a region of the route", "add a region to the route or to accounts")
	default:
		c.add(Warning, s, "no region of the route is allowed for "+some(excluded), "add a region to the route or to the accounts")
	}
}

// some returns a list of names that is cut after a few.
func some(names []string) string {
	const most = 5
	if len(names) <= most {
		return strings.Join(names, ", ")
	}
	return strings.Join(names[:most], ", ") + " and " + strconv.Itoa(len(names)-most) + " more"
}

// regions reports regions that don't exist.
func (c *checker) regions(s Subject, regions []serving.RegionID) {
	if len(c.bounds.Regions) == 0 || len(regions) == 0 {
		return
	}
	var unknown []string
	for _, r := range regions {
		if !slices.Contains(c.bounds.Regions, r) {
			unknown = append(unknown, string(r))
		}
	}
	switch {
	case len(unknown) == len(regions):
		c.add(Error, s, "none of the regions exists: "+some(unknown), "name an existing region")
	case len(unknown) > 0:
		c.add(Warning, s, "some regions don't exist: "+some(unknown), "remove them")
	}
}

func (c *checker) service(i int, s *routing.Service) {
	at := func(field string) Subject { return Subject{"Services", i, string(s.ID), field} }
	used := slices.ContainsFunc(c.cfg.Routes, func(r routing.Route) bool {
		return slices.ContainsFunc(r.Targets, func(t routing.Target) bool { return t.Service == s.ID && t.Weight > 0 })
	})
	if !used {
		c.add(Warning, at(""), "no route sends calls to the service", "add a route or remove the service")
	}
	if s.ColdFor > 0 && s.ColdPerSecond <= 0 {
		c.add(Warning, at("ColdPerSecond"), "cold engines get calls at any rate", "set the rate that a cold engine can handle")
	}
	m := s.Model
	if m == nil {
		return
	}
	if m.Slots <= 0 || m.MemoryTokens <= 0 {
		c.add(Error, at("Model"), "engines without slots or memory run nothing", "set the slots and the memory of one engine")
	}
	if s.MaxConnections > 0 && serving.Slots(s.MaxConnections) < m.Slots {
		c.add(Warning, at("MaxConnections"), fmt.Sprintf("%d connections can't use the %d slots of an engine", s.MaxConnections, m.Slots), "allow at least twice as many connections as slots")
	}
	if m.TokensPerEvent <= 0 {
		c.add(Warning, at("Model"), "the number of tokens in an event is not set", "set it as the engines send them")
	}
	if m.SupportsMoves && (m.LinkMbps <= 0 || m.TokenBytes <= 0) {
		c.add(Warning, at("Model"), "the time of moves is unknown without the rate of the link and the memory of a token", "set both")
	}
}

func (c *checker) account(i int, a *routing.Account) {
	at := func(field string) Subject { return Subject{"Accounts", i, string(a.ID), field} }
	c.regions(at("Regions"), a.Regions)
	if slices.ContainsFunc(c.cfg.Accounts[:i], func(o routing.Account) bool { return o.ID == a.ID }) {
		c.add(Warning, at(""), "the account stands twice", "write its keys and regions once")
	}
	if len(a.Keys) == 0 {
		c.add(Warning, at("Keys"), "the account has no key and can't be used", "add a key or remove the account")
	}
	keys := map[string]bool{}
	for n, key := range a.Keys {
		if key == "" {
			c.add(Error, at("Keys"), fmt.Sprintf("key %d is empty, which makes all calls without a key calls of this account", n+1), "remove it")
		} else if keys[key] {
			c.add(Warning, at("Keys"), fmt.Sprintf("key %d stands twice", n+1), "remove it")
		}
		keys[key] = true
	}
}

func (c *checker) limits(l *routing.Limits) {
	at := func(field string) Subject { return Subject{Section: "Limits", Field: field} }
	above := func(value, bound int64) bool { return bound > 0 && value > bound }
	if above(int64(l.BodyBytes), int64(c.bounds.Body)) {
		c.add(Error, at("BodyBytes"), fmt.Sprintf("entries hold at most %d bytes of bodies, so that a body of the limit of %d is refused", c.bounds.Body, l.BodyBytes), "lower the limit")
	}
	if above(int64(l.HeaderBytes), int64(c.bounds.Header)) {
		c.add(Error, at("HeaderBytes"), fmt.Sprintf("entries read at most %d bytes of a header, so that a header of the limit of %d is refused", c.bounds.Header, l.HeaderBytes), "lower the limit")
	}
	if above(int64(l.HeaderTimeout), int64(c.bounds.HeaderTimeout)) {
		c.add(Warning, at("HeaderTimeout"), fmt.Sprintf("entries wait at most %v for a header, not %v", c.bounds.HeaderTimeout, l.HeaderTimeout), "lower the limit")
	}
	if above(int64(l.IdleTimeout), int64(c.bounds.IdleTimeout)) {
		c.add(Warning, at("IdleTimeout"), fmt.Sprintf("entries close connections that are idle for %v, before the limit of %v", c.bounds.IdleTimeout, l.IdleTimeout), "lower the limit")
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.add(Warning, at("IdleTimeout"), fmt.Sprintf("the idle limit of %v is below the header limit of %v", l.IdleTimeout, l.HeaderTimeout), "raise the idle limit")
	}
}
