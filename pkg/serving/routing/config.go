package routing

import (
	"strconv"
	"strings"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Config is one version of the complete routing configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route selects requests by host and path, and defines the services and the settings
// for them.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       serving.RouteKind
	// Timeout is the maximum time for which a caller waits.
	Timeout time.Duration
	// Objective is the target time to the response, or to the first event of a
	// stream.
	Objective time.Duration
	// MaxPause is the target for the longest pause between two events of a stream.
	MaxPause time.Duration
	// Rank is the priority of the route's requests; lower ranks go first.
	Rank int
	// Targets are the services of the route. Each gets a share of the calls in
	// proportion to its weight.
	Targets []Target
	// MaxAttempts bounds the number of engines to which one call is sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Affinity means that calls of one session share parts of their prompts.
	Affinity bool
	// Resumable means that an interrupted stream may be continued by a new generation
	// after its last event.
	Resumable bool
	// Regions restricts where the calls may run; empty allows all regions.
	Regions []serving.RegionID
}

// Target is a service of a route and its weight.
type Target struct {
	Service serving.ServiceID
	Weight  float64
}

// Service is a group of interchangeable engines.
type Service struct {
	ID serving.ServiceID
	// MaxConnections bounds the connections to one engine from all entry processes
	// together; 0 means no limit.
	MaxConnections int
	// HealthPath is the path at which an engine names itself; empty if there is none.
	HealthPath string
	// ColdFor is how long an engine is cold after a start. A cold engine is slower and
	// gets calls at a limited rate.
	ColdFor time.Duration
	// ColdPerSecond is the rate of calls that a cold engine can handle; 0 means no
	// limit.
	ColdPerSecond float64
	// Model describes engines that run a model; nil for a plain service.
	Model *ModelService
}

// ModelService describes the engines of a service that run a model. Slots and
// MemoryTokens are the values of one engine.
type ModelService struct {
	// Slots is the maximum number of generations that run at the same time.
	Slots serving.Slots
	// MemoryTokens is the size of the KV cache, which holds running generations and
	// cached prompt parts.
	MemoryTokens serving.Tokens
	// TokenBytes is the KV cache memory of one token.
	TokenBytes serving.Bytes
	// LinkMbps is the rate at which KV cache memory is copied between engines, in
	// Mbit/s.
	LinkMbps float64
	// SupportsMoves and SupportsBackups report whether the engines can copy a running
	// generation to move it, and to back it up.
	SupportsMoves, SupportsBackups bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent serving.Tokens
	// CopyTTL is how long an engine keeps a copy that is not used.
	CopyTTL time.Duration
}

// Account is a client account with its keys.
type Account struct {
	ID   serving.ClientAccountID
	Keys []string
	// Rank replaces the rank of the route if RankSet is true.
	Rank    int
	RankSet bool
	// Regions restricts where the account's calls may run; empty allows all regions.
	Regions []serving.RegionID
}

// Limits bounds the size of requests and the time to receive them. Zero values mean
// no limit.
type Limits struct {
	HeaderBytes, BodyBytes     serving.Bytes
	HeaderTimeout, IdleTimeout time.Duration
}

// Validate returns an error of kind invalid if the configuration can't be applied. Its detail
// names the element, as in "Routes/3".
func (c *Config) Validate() error {
	services := map[serving.ServiceID]bool{}
	for i := range c.Services {
		id := c.Services[i].ID
		if id == "" || services[id] {
			return invalidAt("Services", i, "service "+string(id)+" has no name or stands twice")
		}
		services[id] = true
	}
	patterns := make(map[string]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if message := r.fault(services); message != "" {
			return invalidAt("Routes", i, message)
		}
		pattern := normalizeHost(r.Host) + r.PathPrefix
		if other, ok := patterns[pattern]; ok {
			return invalidAt("Routes", i, "routes "+other+" and "+r.Name+" share the host and path prefix "+pattern)
		}
		patterns[pattern] = r.Name
	}
	return c.validateKeys()
}

func (c *Config) validateKeys() error {
	owners := map[string]serving.ClientAccountID{}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		for _, key := range a.Keys {
			if owner, ok := owners[key]; ok && owner != a.ID {
				return invalidAt("Accounts", i, "accounts "+string(owner)+" and "+string(a.ID)+" share a key")
			}
			owners[key] = a.ID
		}
	}
	return nil
}

// fault returns why the route can't be applied, "" if it can.
func (r *Route) fault(services map[serving.ServiceID]bool) string {
	sum := 0.0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return "route " + r.Name + " names the unknown service " + string(t.Service)
		}
		if t.Weight < 0 {
			return "route " + r.Name + " has a negative weight"
		}
		sum += t.Weight
	}
	switch {
	case sum <= 0:
		return "the weights of route " + r.Name + " add up to 0"
	case r.Timeout <= 0:
		return "route " + r.Name + " has no timeout"
	case r.Host == "" || !strings.HasPrefix(r.PathPrefix, "/"):
		return "route " + r.Name + " needs a host and a path prefix that begins with a slash"
	}
	return ""
}

// invalidAt returns an error about one element of a list of the configuration. Its detail names
// the field of Config and the index, as in "Routes/3".
func invalidAt(section string, index int, message string) error {
	return serving.NewError(serving.KindInvalid, message).WithDetail(section + "/" + strconv.Itoa(index))
}

// normalizeHost returns a host name in lower case and without the port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
