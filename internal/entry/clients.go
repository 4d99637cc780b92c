package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/google/wire"

	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// dialTimeout bounds a connection to a process; the one-way latency between
	// regions is about 10 ms.
	dialTimeout = 2 * time.Second
	// maxIdlePerHost bounds the kept connections to one engine or process.
	maxIdlePerHost = 256
	// idleConnTimeout is the time after which a kept connection is closed.
	idleConnTimeout = 90 * time.Second
)

// Providers construct an entry from its settings and clock.
var Providers = wire.NewSet(New, NewEvents, NewClients, NewClaims)

// Clients are the HTTP clients of an entry.
type Clients struct {
	// upstream calls engines.
	upstream *http.Client
	// order sends calls that must not be repeated.
	order *http.Client
	// cluster calls other processes with the cluster key.
	cluster   *http.Client
	transport *http.Transport
	// engines holds the connections to engines.
	engines *upstream.Pool
}

// NewClients returns the clients of an entry.
func NewClients(s *settings.Settings, events *Events) *Clients {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
	}
	engines := &upstream.Pool{Dialect: engineAnswers{}, Clock: serving.NewMonotonicClock(), IdleFor: idleConnTimeout}
	client := func(t http.RoundTripper) *http.Client {
		return &http.Client{Transport: events.transport(t), CheckRedirect: noRedirect}
	}
	return &Clients{
		upstream: client(&upstream.Transport{Pool: engines, MaxIdle: idleConnTimeout, KeepIdle: maxIdlePerHost}),
		// A call that must not run twice gets a connection of its own, so that a close
		// which crosses it leaves no doubt.
		order:   client(&upstream.Transport{Pool: engines}),
		cluster: client(keyTransport{key: s.ClusterKey, next: t}), transport: t, engines: engines,
	}
}

// engineAnswers decodes the header of an engine's answer of the project's own API.
// Answers are told apart by the ids in their bodies.
type engineAnswers struct{}

// DecodeAnswer implements upstream.Decoder.
func (engineAnswers) DecodeAnswer(status int, _ http.Header) serving.Answer {
	return serving.Answer{Status: status}
}

// noRedirect keeps the client from sending a call a second time to another place.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// NewClaims returns a client for the claims of control.
func NewClaims(s *settings.Settings, events *Events, c *Clients) schema.Claims {
	var addresses []string
	for _, a := range s.Entry.Control {
		addresses = append(addresses, string(a))
	}
	return &rpc.Client{Addresses: addresses, Key: s.ClusterKey, Transport: events.transport(c.transport)}
}
