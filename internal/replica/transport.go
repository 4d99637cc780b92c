package replica

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/pkg/schema"
)

// Transport sends messages to other replicas. Send does not block; messages may
// be lost.
type Transport interface {
	Send(address string, messages []*schema.LogMessage)
	// Run sends until the context ends.
	Run(ctx context.Context)
}

const (
	// defaultQueueLimit bounds the messages waiting for one peer.
	defaultQueueLimit = 1024
	// callsPerPeer is the number of concurrent calls to one peer. With a single
	// call, each message would wait a round trip for the answer to the previous
	// one.
	callsPerPeer = 4
	// maxCallBytes is the total size of entries and snapshot chunks at which a call
	// takes no more messages.
	maxCallBytes = 2 << 20
	// callTimeout is short so that a call over a link that drops packets does not
	// delay the messages behind it for long.
	callTimeout = 500 * time.Millisecond
)

// HTTPTransport sends messages through the twirp service Log, with a bounded
// queue per peer that drops its oldest messages when full.
type HTTPTransport struct {
	// Client sends the calls. NewHTTPTransport sets one with its own connection
	// pool.
	Client *http.Client
	// QueueLimit is the maximum number of messages that wait for one peer.
	QueueLimit int

	mu    sync.Mutex
	ctx   context.Context
	peers map[string]*peer
	wg    sync.WaitGroup
}

// NewHTTPTransport returns a transport with the default client and queue limit.
func NewHTTPTransport() *HTTPTransport {
	return &HTTPTransport{
		Client:     &http.Client{Transport: &answer.Transport{Next: &http.Transport{MaxIdleConnsPerHost: callsPerPeer, IdleConnTimeout: time.Minute}}},
		QueueLimit: defaultQueueLimit, peers: map[string]*peer{},
	}
}

// Run implements Transport.
func (t *HTTPTransport) Run(ctx context.Context) {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	<-ctx.Done()
	// A Send that is still running started before the context ended. Taking the lock
	// waits until it has added its goroutines to wg.
	t.mu.Lock()
	t.mu.Unlock() //nolint:staticcheck // the empty critical section only waits for Send
	t.wg.Wait()
	t.Client.CloseIdleConnections()
}

// Send implements Transport.
func (t *HTTPTransport) Send(address string, messages []*schema.LogMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil || t.ctx.Err() != nil {
		return
	}
	p := t.peers[address]
	if p == nil {
		p = &peer{client: schema.NewLogProtobufClient(address, t.Client), address: address, queueLimit: t.QueueLimit, wake: make(chan struct{}, callsPerPeer)}
		t.peers[address] = p
		for range callsPerPeer {
			t.wg.Add(1)
			go func() {
				defer t.wg.Done()
				p.run(t.ctx)
			}()
		}
	}
	p.enqueue(messages)
}

// peer holds the queue of messages to one replica.
type peer struct {
	client     schema.Log
	address    string
	queueLimit int
	wake       chan struct{}

	mu    sync.Mutex
	queue []*schema.LogMessage
	// delivered and failed count the calls since failureLogged, the time of the last log
	// line about failed calls.
	delivered, failed int
	failureLogged     time.Time
}

// failureLogInterval is the interval of the log lines about failed calls to one peer.
const failureLogInterval = 2 * time.Second

// deliveriesFailed counts the calls to other replicas that failed.
var deliveriesFailed = expvar.NewInt("log_deliveries_failed")

// recordCall counts a call and logs failed ones at an interval. Without a leader, these lines
// tell whether the messages to a peer arrive.
func (p *peer) recordCall(messages int, took time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.delivered++
		return
	}
	deliveriesFailed.Add(1)
	p.failed++
	if time.Since(p.failureLogged) < failureLogInterval {
		return
	}
	klog.InfoS("Log messages not delivered", "peer", p.address, "messages", messages, "took", took, "failed", p.failed, "delivered", p.delivered, "queued", len(p.queue), "err", err)
	p.failureLogged, p.failed, p.delivered = time.Now(), 0, 0
}

// enqueue adds messages to the queue and drops the oldest ones over the limit.
func (p *peer) enqueue(messages []*schema.LogMessage) {
	p.mu.Lock()
	p.queue = append(p.queue, messages...)
	if excess := len(p.queue) - p.queueLimit; excess > 0 {
		p.queue = append([]*schema.LogMessage(nil), p.queue[excess:]...)
	}
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// dequeue removes and returns the messages for the next call.
func (p *peer) dequeue() []*schema.LogMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, size := 0, 0
	for n < len(p.queue) && (n == 0 || size < maxCallBytes) {
		m := p.queue[n]
		size += len(m.GetSnapshot().GetData())
		for _, e := range m.GetEntries() {
			size += len(e.GetData())
		}
		n++
	}
	out := p.queue[:n:n]
	p.queue = p.queue[n:]
	return out
}

func (p *peer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for ctx.Err() == nil {
			messages := p.dequeue()
			if len(messages) == 0 {
				break
			}
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			begin := time.Now()
			_, err := p.client.Deliver(callCtx, &schema.LogMessages{Messages: messages})
			cancel()
			if ctx.Err() == nil {
				p.recordCall(len(messages), time.Since(begin), err)
			}
		}
	}
}
