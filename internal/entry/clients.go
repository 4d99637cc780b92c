package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/google/wire"

	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
)

const (
	// dialTimeout bounds a connection to an engine or process; the one-way latency
	// between regions is about 10 ms.
	dialTimeout = 2 * time.Second
	// maxIdlePerHost bounds the kept connections to one engine.
	maxIdlePerHost = 256
	// idleConnTimeout is the time after which a kept connection is closed.
	idleConnTimeout = 90 * time.Second
	// writeBuffer is the write buffer of one connection to an engine, which lives as
	// long as its stream but is used for the request only.
	writeBuffer = 1 << 10
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
}

// NewClients returns the clients of an entry.
func NewClients(s *settings.Settings, events *Events) *Clients {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
		WriteBufferSize: writeBuffer,
	}
	// net/http repeats a call with an Idempotency-Key if a reused connection breaks;
	// a connection of its own for each call excludes that.
	once := t.Clone()
	once.DisableKeepAlives = true
	client := func(t http.RoundTripper) *http.Client {
		return &http.Client{Transport: events.transport(t), CheckRedirect: noRedirect}
	}
	return &Clients{
		upstream: client(t), order: client(once),
		cluster: client(keyTransport{key: s.ClusterKey, next: t}), transport: t,
	}
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
