// Package standin is a stand-in engine: a process that speaks the engine protocol
// of section 6.3 of the design page and behaves like a model engine (continuous
// batching, finite block memory, prefix cache, cold start, priorities, resume and
// cancel) or like a plain service. It misbehaves on request, for tests of the
// failure behavior of the system.
//
// # Usage
//
//	e := &standin.Engine{Name: "e1", DataCentre: "leon", Entries: []string{"127.0.0.1:8080"}}
//	if err := e.Listen(); err != nil {
//		return err
//	}
//	go e.Run(ctx)
//	fmt.Println(e.Addr())
//
// Fields left at zero take the defaults that their comments give.
package standin

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Kinds of engines.
const (
	KindModel   = "model"
	KindService = "service"
)

// keepEnded is how long ended generations can still be resumed.
const keepEnded = time.Minute

// Timing describes the duration of one step of the batch.
type Timing struct {
	Base, PerSequence, PerPrefillToken time.Duration
	// PrefillPerStep bounds the prompt tokens processed in one step.
	PrefillPerStep int
}

// DefaultTiming is in the range of a mid-size model: about 100 tokens/s for a
// single sequence.
var DefaultTiming = Timing{
	Base: 10 * time.Millisecond, PerSequence: 100 * time.Microsecond,
	PerPrefillToken: 20 * time.Microsecond, PrefillPerStep: 512,
}

// DefaultCapacity holds 16 generations of 1,000 tokens each.
var DefaultCapacity = serving.Capacity{MaxRunning: 16, ColdRunning: 2, MemoryBlocks: 1000, BlockTokens: 16}

// Engine is one stand-in engine. Its exported fields are set before Listen or Run.
type Engine struct {
	Name       serving.EngineID
	Host       serving.HostID
	DataCentre serving.DataCentreID
	// Kind is KindModel (default) or KindService.
	Kind string
	// Address is the listen address; default 127.0.0.1:0.
	Address string
	// Entries are the addresses to announce to, in order of preference.
	Entries    []string
	ClusterKey string
	// Incarnation defaults to the start time in milliseconds.
	Incarnation serving.Incarnation
	Models      []Model
	Role        string
	// Capacity defaults to DefaultCapacity, Timing to DefaultTiming.
	Capacity serving.Capacity
	Timing   Timing
	// AnnounceEvery defaults to 500 ms.
	AnnounceEvery time.Duration
	// Grace is how long a generation without a reader goes on; default 10 s.
	Grace time.Duration

	mu        sync.Mutex
	batch     batch
	state     string
	listener  net.Listener
	wake      chan struct{}
	owner     string
	nextEntry int
}

// Listen opens the listen address; Run does so itself if it was not called before.
func (e *Engine) Listen() error {
	e.Kind = cmp.Or(e.Kind, KindModel)
	e.Incarnation = cmp.Or(e.Incarnation, serving.Incarnation(time.Now().UnixMilli()))
	e.Capacity = cmp.Or(e.Capacity, DefaultCapacity)
	e.Timing = cmp.Or(e.Timing, DefaultTiming)
	e.AnnounceEvery = cmp.Or(e.AnnounceEvery, 500*time.Millisecond)
	e.Grace = cmp.Or(e.Grace, 10*time.Second)
	e.state = "ready"
	e.wake = make(chan struct{}, 1)
	e.batch = batch{
		capacity: e.Capacity, timing: e.Timing, all: map[serving.GenerationID]*generation{},
		cache: newPrefixCache(int(e.Capacity.MemoryBlocks)/4, func(string, string) {}),
		ended: func(string, *generation) {},
	}
	var err error
	e.listener, err = net.Listen("tcp", cmp.Or(e.Address, "127.0.0.1:0"))
	return eris.Wrap(err, "listen")
}

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() string { return e.listener.Addr().String() }

// Run serves until ctx ends, which cuts off whatever runs.
func (e *Engine) Run(ctx context.Context) error {
	if e.listener == nil {
		if err := e.Listen(); err != nil {
			return err
		}
	}
	srv := &http.Server{Handler: e.handler(), ReadHeaderTimeout: 10 * time.Second}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := srv.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}
		return nil
	})
	g.Go(func() error { e.runBatch(ctx); return nil })
	g.Go(func() error { e.announceLoop(ctx); return nil })
	g.Go(func() error {
		<-ctx.Done()
		return srv.Close()
	})
	return g.Wait()
}

// runBatch runs the step loop.
func (e *Engine) runBatch(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		e.batch.expire(time.Now(), e.Grace, keepEnded)
		d, decode := e.batch.plan()
		idle := len(e.batch.running) == 0
		e.mu.Unlock()
		if idle {
			select {
			case <-ctx.Done():
			case <-e.wake:
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(d):
		}
		e.mu.Lock()
		e.batch.commit(decode, time.Now())
		e.mu.Unlock()
	}
}

func (e *Engine) announceLoop(ctx context.Context) {
	t := time.NewTicker(e.AnnounceEvery)
	defer t.Stop()
	for {
		if err := e.announce(ctx); err != nil {
			klog.V(1).InfoS("announcement failed", "engine", e.Name, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (e *Engine) announcement() *Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &Announcement{
		Engine: e.Name, Host: e.Host, Address: e.Addr(), DataCentre: e.DataCentre,
		Incarnation: e.Incarnation, Kind: e.Kind, Models: slices.Clone(e.Models), Role: e.Role,
		State: e.state, Capacity: e.Capacity, Load: e.batch.load(time.Now()), ChecksFencing: "unknown",
	}
}

// announce sends one announcement to the owner if one is known, else to the entries in turn.
func (e *Engine) announce(ctx context.Context) error {
	body, err := json.Marshal(e.announcement())
	if err != nil {
		return eris.Wrap(err, "encode announcement")
	}
	var targets []string
	if e.owner != "" {
		targets = append(targets, e.owner)
	}
	for i := range e.Entries {
		targets = append(targets, e.Entries[(e.nextEntry+i)%len(e.Entries)])
	}
	for i, target := range targets {
		var answer *AnnounceAnswer
		if answer, err = e.post(ctx, target, body); err == nil {
			e.owner = answer.Owner
			return nil
		}
		if i > 0 || e.owner == "" {
			e.nextEntry++
		}
		e.owner = ""
	}
	return err
}

func (e *Engine) post(ctx context.Context, target string, body []byte) (*AnnounceAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, e.AnnounceEvery)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/engines/announce", bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build announcement")
	}
	req.Header.Set("Authorization", "Bearer "+e.ClusterKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "announce")
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return nil, eris.Errorf("entry %s answered the announcement with status %d", target, resp.StatusCode)
	}
	answer := &AnnounceAnswer{}
	return answer, decode(resp.Body, answer)
}
