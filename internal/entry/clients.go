package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/google/wire"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// dialTimeout bounds the time to connect. The one-way latency between regions is
	// about 10 ms.
	dialTimeout = 2 * time.Second
	// maxIdlePerHost bounds the idle connections to one host.
	maxIdlePerHost = 256
	// idleConnTimeout is the time after which an idle connection is closed.
	idleConnTimeout = 90 * time.Second
)

// Providers construct an entry from its settings and clock.
var Providers = wire.NewSet(New, NewEventLog, NewClients, NewClaims)

// Clients holds the HTTP clients of an entry.
type Clients struct {
	// upstream calls engines.
	upstream *http.Client
	// orderUpstream sends orders to engines.
	orderUpstream *http.Client
	// cluster calls other processes of the system with the cluster key.
	cluster   *http.Client
	transport http.RoundTripper
	// enginePool has the connections of upstream and orderUpstream.
	enginePool *upstream.Pool
}

// NewClients returns the clients of an entry.
func NewClients(s *settings.Settings, eventLog *EventLog) *Clients {
	t := &answer.Transport{Next: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
	}}
	enginePool := &upstream.Pool{Dialect: engineAnswers{}, Clock: serving.NewMonotonicClock(), IdleTimeout: idleConnTimeout}
	client := func(t http.RoundTripper) *http.Client {
		return &http.Client{Transport: eventLog.transport(t), CheckRedirect: noRedirect}
	}
	return &Clients{
		upstream: client(&upstream.Transport{Pool: enginePool, MaxIdleTime: idleConnTimeout, MaxIdleConns: maxIdlePerHost}),
		// A call that must not run twice uses a new connection. On a reused one, a close
		// by the engine at the same moment would leave unknown whether the call ran.
		orderUpstream: client(&upstream.Transport{Pool: enginePool}),
		cluster:       client(keyTransport{key: s.ClusterKey, next: t}), transport: t, enginePool: enginePool,
	}
}

// engineAnswers decodes the headers of engine answers. The project's own API has no
// relevant headers; answers are matched to requests by the IDs in their bodies.
type engineAnswers struct{}

// DecodeAnswer implements upstream.Decoder.
func (engineAnswers) DecodeAnswer(status int, _ http.Header) serving.Answer {
	return serving.Answer{Status: status}
}

// noRedirect disables redirects, which would send a call a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// NewClaims returns a client of the control plane's claims service.
func NewClaims(s *settings.Settings, eventLog *EventLog, c *Clients) schema.Claims {
	var addresses []string
	for _, a := range s.Entry.Control {
		addresses = append(addresses, string(a))
	}
	return &rpc.Client{Addresses: addresses, Key: s.ClusterKey, Transport: eventLog.transport(c.transport)}
}
