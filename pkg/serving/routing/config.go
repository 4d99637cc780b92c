package routing

import (
	"strings"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Config is a whole routing configuration of one version.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route says which requests go to which services, and how.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       serving.RouteKind
	// Timeout is the longest time for which a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream.
	Objective time.Duration
	// MaxPause is the longest pause between events of a stream that is in time.
	MaxPause time.Duration
	// Rank orders kinds of requests; 0 goes first.
	Rank int
	// Targets are the services of the route; their weights are relative.
	Targets []Target
	// MaxAttempts bounds the engines that may run one call.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Affinity tells that calls of one session share parts of their prompts.
	Affinity bool
	// Resumable tells that a new generation may go on after the last event.
	Resumable bool
	// Regions are the only ones in which the calls may be served; none means all.
	Regions []serving.RegionID
}

// Target is a service of a route.
type Target struct {
	Service serving.ServiceID
	Weight  float64
}

// Service is a group of engines that are equal for a caller.
type Service struct {
	ID serving.ServiceID
	// MaxConnections bounds the connections to one engine from all entries together.
	MaxConnections int
	// ColdFor is how long an engine is cold after a start.
	ColdFor time.Duration
	// ColdPerSecond is the rate of calls that a cold engine carries; 0 means no bound.
	ColdPerSecond float64
	// Model describes model engines; nil for a plain service.
	Model *ModelService
}

// ModelService describes the engines of a service that run a model.
type ModelService struct {
	// Slots is the number of generations that run at the same time.
	Slots serving.Slots
	// MemoryTokens is the memory of running generations and cached parts.
	MemoryTokens serving.Tokens
	// TokenBytes is the memory of one token.
	TokenBytes serving.Bytes
	// LinkMbps is the rate at which memory is copied between engines, in Mbit/s.
	LinkMbps float64
	// Moves and Backups tell what the engines can copy.
	Moves, Backups bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent serving.Tokens
	// CopyFor is how long a copy is kept unused.
	CopyFor time.Duration
}

// Account is a client account with its keys.
type Account struct {
	ID   serving.ClientAccountID
	Keys []string
	// Rank goes before the rank of the route if RankSet is true.
	Rank    int
	RankSet bool
	Regions []serving.RegionID
}

// Limits bound what a caller may send. Zero values mean no bound.
type Limits struct {
	HeaderBytes, BodyBytes     serving.Bytes
	HeaderTimeout, IdleTimeout time.Duration
}

// Validate returns why a configuration can't be put in force, nil if it can.
func (c *Config) Validate() error {
	services := map[serving.ServiceID]bool{}
	for i := range c.Services {
		id := c.Services[i].ID
		if id == "" || services[id] {
			return invalid("service " + string(id) + " has no name or stands twice")
		}
		services[id] = true
	}
	places := make(map[string]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		place := normalHost(r.Host) + r.PathPrefix
		if other, ok := places[place]; ok {
			return invalid("routes " + other + " and " + r.Name + " share the host and path prefix " + place)
		}
		places[place] = r.Name
	}
	return c.validateKeys()
}

func (c *Config) validateKeys() error {
	owners := map[string]serving.ClientAccountID{}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		for _, key := range a.Keys {
			if owner, ok := owners[key]; ok && owner != a.ID {
				return invalid("accounts " + string(owner) + " and " + string(a.ID) + " share a key")
			}
			owners[key] = a.ID
		}
	}
	return nil
}

func (r *Route) validate(services map[serving.ServiceID]bool) error {
	sum := 0.0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return invalid("route " + r.Name + " names the unknown service " + string(t.Service))
		}
		if t.Weight < 0 {
			return invalid("route " + r.Name + " has a negative weight")
		}
		sum += t.Weight
	}
	switch {
	case sum <= 0:
		return invalid("the weights of route " + r.Name + " add up to 0")
	case r.Timeout <= 0:
		return invalid("route " + r.Name + " has no timeout")
	case r.Host == "" || !strings.HasPrefix(r.PathPrefix, "/"):
		return invalid("route " + r.Name + " needs a host and a path prefix that begins with a slash")
	}
	return nil
}

func invalid(message string) error { return serving.NewError(serving.KindInvalid, message) }

// normalHost returns a host name without port, in lower case.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
