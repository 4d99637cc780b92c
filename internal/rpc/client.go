package rpc

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Defaults of the fields of Client.
const (
	DefaultTimeout        = 10 * time.Second
	DefaultAttemptTimeout = 2 * time.Second
	DefaultBackoffMin     = 50 * time.Millisecond
	DefaultBackoffMax     = time.Second
)

// maxHops bounds how many consecutive leader hints are followed without a pause,
// because two replicas may name each other as leader during an election.
const maxHops = 2

var (
	_ schema.Operators = (*Client)(nil)
	_ schema.Views     = (*Client)(nil)
	_ schema.Claims    = (*Client)(nil)
)

// Client calls the control replicas. Its fields are set before the first call;
// then any number of goroutines may use it.
type Client struct {
	// Addresses of control replicas, as host:port.
	Addresses []string
	// Key is the operator key or the cluster key.
	Key string
	// Transport sends the calls; nil means direct connections.
	Transport http.RoundTripper
	// Timeout bounds a call with all its attempts if its context has no deadline.
	Timeout time.Duration
	// AttemptTimeout bounds one attempt.
	AttemptTimeout time.Duration
	// BackoffMin and BackoffMax bound the pause between attempts before jitter.
	BackoffMin, BackoffMax time.Duration
	// Random chooses the jitter; nil means the shared source of math/rand/v2.
	Random func() float64

	once sync.Once
	http *http.Client
	mu   sync.Mutex
	// lastAnswered is the address of the last replica that answered, normally the
	// leader.
	lastAnswered string
}

func (c *Client) init() {
	c.http = HTTPClient(c.Key, c.Transport)
	for _, d := range []struct {
		field *time.Duration
		def   time.Duration
	}{
		{&c.Timeout, DefaultTimeout}, {&c.AttemptTimeout, DefaultAttemptTimeout},
		{&c.BackoffMin, DefaultBackoffMin}, {&c.BackoffMax, DefaultBackoffMax},
	} {
		if *d.field <= 0 {
			*d.field = d.def
		}
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
}

// Apply sends a change. A resend has the same command id and cannot apply it twice.
func (c *Client) Apply(ctx context.Context, r *schema.Change) (*schema.ChangeResult, error) {
	return call(ctx, c, idempotent, func(ctx context.Context, base string) (*schema.ChangeResult, error) {
		return schema.NewOperatorsProtobufClient(base, c.http).Apply(ctx, r)
	})
}

// Read returns configuration objects.
func (c *Client) Read(ctx context.Context, r *schema.ReadRequest) (*schema.ReadResult, error) {
	return call(ctx, c, readOnly, func(ctx context.Context, base string) (*schema.ReadResult, error) {
		return schema.NewOperatorsProtobufClient(base, c.http).Read(ctx, r)
	})
}

// History returns accepted changes.
func (c *Client) History(ctx context.Context, r *schema.HistoryRequest) (*schema.HistoryResult, error) {
	return call(ctx, c, readOnly, func(ctx context.Context, base string) (*schema.HistoryResult, error) {
		return schema.NewOperatorsProtobufClient(base, c.http).History(ctx, r)
	})
}

// Status returns the state of one replica, which need not be the leader.
func (c *Client) Status(ctx context.Context, r *schema.StatusRequest) (*schema.ReplicaStatus, error) {
	return call(ctx, c, readOnly, func(ctx context.Context, base string) (*schema.ReplicaStatus, error) {
		return schema.NewOperatorsProtobufClient(base, c.http).Status(ctx, r)
	})
}

// ChangeMember changes the membership of the log. The change has no command id, so
// it is not resent once it may have run.
func (c *Client) ChangeMember(ctx context.Context, r *schema.MemberChange) (*schema.MemberChangeResult, error) {
	return call(ctx, c, nonIdempotent, func(ctx context.Context, base string) (*schema.MemberChangeResult, error) {
		return schema.NewOperatorsProtobufClient(base, c.http).ChangeMember(ctx, r)
	})
}

// GetView returns the current configuration, confirmed by the leader.
func (c *Client) GetView(ctx context.Context, r *schema.ViewRequest) (*schema.ViewResult, error) {
	return call(ctx, c, readOnly, func(ctx context.Context, base string) (*schema.ViewResult, error) {
		return schema.NewViewsProtobufClient(base, c.http).GetView(ctx, r)
	})
}

// Claim claims an order, a call that must run at most once. A resend has the same
// attempt id and gets the same result.
func (c *Client) Claim(ctx context.Context, r *schema.ClaimRequest) (*schema.ClaimResult, error) {
	return call(ctx, c, idempotent, func(ctx context.Context, base string) (*schema.ClaimResult, error) {
		return schema.NewClaimsProtobufClient(base, c.http).Claim(ctx, r)
	})
}

// Settle records the outcome of an order; a resend changes nothing.
func (c *Client) Settle(ctx context.Context, r *schema.SettleRequest) (*schema.ClaimResult, error) {
	return call(ctx, c, idempotent, func(ctx context.Context, base string) (*schema.ClaimResult, error) {
		return schema.NewClaimsProtobufClient(base, c.http).Settle(ctx, r)
	})
}

// Lookup returns the state of an order.
func (c *Client) Lookup(ctx context.Context, r *schema.LookupRequest) (*schema.ClaimResult, error) {
	return call(ctx, c, readOnly, func(ctx context.Context, base string) (*schema.ClaimResult, error) {
		return schema.NewClaimsProtobufClient(base, c.http).Lookup(ctx, r)
	})
}

func baseURL(addr string) string {
	if strings.Contains(addr, "://") {
		return addr
	}
	return "http://" + addr
}

// startAddress returns the address of the first attempt of a call.
func (c *Client) startAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastAnswered == "" && len(c.Addresses) > 0 {
		return c.Addresses[0]
	}
	return c.lastAnswered
}

func (c *Client) recordAnswer(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAnswered = addr
}

// nextAddress returns the configured address that follows addr in the list, or the
// first one if addr is last or not configured.
func (c *Client) nextAddress(addr string) string {
	for i, a := range c.Addresses {
		if a == addr {
			return c.Addresses[(i+1)%len(c.Addresses)]
		}
	}
	return c.Addresses[0]
}

// errNoAddress is the error of a client without addresses.
func errNoAddress() error {
	return serving.NewError(serving.KindInvalid, "no control address is given")
}
