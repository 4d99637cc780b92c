package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

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
	// defaultQueue bounds the messages waiting for one peer.
	defaultQueue = 1024
	// lanes is the number of concurrent calls to one peer. With a single call,
	// a message would wait a round trip for the answer to the one before it.
	lanes = 4
	// callBytes bounds the entries and chunks in one call.
	callBytes = 2 << 20
	// callTimeout lets a lane recover quickly from a link that swallows packets.
	callTimeout = 500 * time.Millisecond
)

// HTTPTransport sends messages through the twirp service Log, with a bounded
// queue per peer that drops its oldest messages when full.
type HTTPTransport struct {
	// Client defaults to one with connections of its own.
	Client *http.Client
	// Queue is the number of messages that may wait for one peer.
	Queue int

	mu    sync.Mutex
	ctx   context.Context
	peers map[string]*peer
	wg    sync.WaitGroup
}

// NewHTTPTransport returns a transport with defaults.
func NewHTTPTransport() *HTTPTransport {
	return &HTTPTransport{
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: lanes, IdleConnTimeout: time.Minute}},
		Queue:  defaultQueue, peers: map[string]*peer{},
	}
}

// Run implements Transport.
func (t *HTTPTransport) Run(ctx context.Context) {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	<-ctx.Done()
	// A Send that began before the end has added its goroutines after this.
	t.mu.Lock()
	t.mu.Unlock() //nolint:staticcheck // the empty section only waits for Send
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
		p = &peer{client: schema.NewLogProtobufClient(address, t.Client), address: address, limit: t.Queue, wake: make(chan struct{}, lanes)}
		t.peers[address] = p
		for range lanes {
			t.wg.Add(1)
			go func() {
				defer t.wg.Done()
				p.run(t.ctx)
			}()
		}
	}
	p.add(messages)
}

// peer is the queue of one peer.
type peer struct {
	client  schema.Log
	address string
	limit   int
	wake    chan struct{}

	mu    sync.Mutex
	queue []*schema.LogMessage
}

func (p *peer) add(messages []*schema.LogMessage) {
	p.mu.Lock()
	p.queue = append(p.queue, messages...)
	if over := len(p.queue) - p.limit; over > 0 {
		p.queue = append([]*schema.LogMessage(nil), p.queue[over:]...)
	}
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *peer) take() []*schema.LogMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, size := 0, 0
	for n < len(p.queue) && (n == 0 || size < callBytes) {
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
			messages := p.take()
			if len(messages) == 0 {
				break
			}
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			_, err := p.client.Deliver(callCtx, &schema.LogMessages{Messages: messages})
			cancel()
			if err != nil {
				klog.V(2).InfoS("log messages lost", "peer", p.address, "messages", len(messages), "err", err)
			}
		}
	}
}
