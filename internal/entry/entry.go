package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

// dialTimeout bounds a connection to an engine or process; the one-way latency
// between regions is about 10 ms.
const dialTimeout = 2 * time.Second

// drainPoll is the time between two looks at whether requests are in progress.
const drainPoll = 20 * time.Millisecond

// Entry is an entry process. Its exported fields are set before Run.
type Entry struct {
	Settings *settings.Settings
	Clock    serving.Clock
	// Placer chooses engines; nil means least requests in flight.
	Placer serving.Placer

	board         *board
	signer        *generation.Signer
	upstream      *http.Client
	clusterClient *http.Client
	viewSource    string
	metrics       *metrics
	notReady      atomic.Bool
	draining      atomic.Bool
	// active counts the callers' requests in progress.
	active  atomic.Int64
	retries *retryBudget
	// orderClient sends calls that must not be repeated.
	orderClient *http.Client
	claims      schema.Claims
	settler     *settler
	// holder identifies this run of the process as holder of claims.
	holder string
	// background counts calls that go on after their caller has left.
	background sync.WaitGroup
}

// Run serves until ctx ends, then drains: it turns not ready, takes no new work
// and returns when every stream in progress has ended.
func (e *Entry) Run(ctx context.Context) error {
	e.prepare()
	e.warnOfExpiredViews()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	g, _ := errgroup.WithContext(background)
	g.Go(func() error { e.board.run(background); return nil })
	g.Go(func() error { e.pollViews(background); return nil })
	g.Go(func() error { e.exchangeMembership(background); return nil })

	server := e.newServer()
	g.Go(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	klog.InfoS("Entry started", "host", e.Settings.Host, "listen", e.Settings.Listen)
	<-ctx.Done()
	e.drain(server)
	stop()
	return g.Wait()
}

// prepare makes what the handlers need.
func (e *Entry) prepare() {
	e.board = newBoard(e.Clock, e.self())
	e.signer = generation.NewSigner(e.Settings.Entry.ResumeKey)
	e.retries = newRetryBudget()
	e.metrics = newMetrics()
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256, IdleConnTimeout: 90 * time.Second,
		DisableCompression: true,
	}
	e.upstream = &http.Client{Transport: transport, CheckRedirect: noRedirect}
	// net/http repeats a call with an Idempotency-Key if a reused connection breaks;
	// a connection of its own for each call excludes that.
	once := transport.Clone()
	once.DisableKeepAlives = true
	e.orderClient = &http.Client{Transport: once, CheckRedirect: noRedirect}
	e.claims = &rpc.Client{Addresses: e.controlAddresses(), Key: e.Settings.ClusterKey, Transport: transport}
	e.settler = newSettler()
	e.holder = fmt.Sprintf("%s/%d", e.Settings.Host, e.self().Incarnation)
	e.clusterClient = &http.Client{Transport: keyTransport{key: e.Settings.ClusterKey, next: transport}, CheckRedirect: noRedirect}
}

// noRedirect keeps the client from sending a call a second time to another place.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// self is the membership record of this entry. The wall clock at the start serves
// as incarnation, since an entry keeps no state on disk.
func (e *Entry) self() engine.Member {
	return engine.Member{
		ID: string(e.Settings.Host), Address: string(e.Settings.Advertise),
		DataCentre: e.Settings.DataCentre, Region: e.Settings.Region,
		Incarnation: serving.Incarnation(time.Now().UnixNano()),
	}
}

// drain waits for the balancer to notice, then for every request to end. The
// listener stays open meanwhile, so that callers can resume streams in progress.
func (e *Entry) drain(server *http.Server) {
	klog.InfoS("Entry draining", "host", e.Settings.Host)
	e.notReady.Store(true)
	time.Sleep(e.Settings.Entry.DrainNotice.Duration)
	e.draining.Store(true)
	for e.active.Load() > 0 {
		time.Sleep(drainPoll)
	}
	if err := server.Shutdown(context.Background()); err != nil {
		klog.ErrorS(err, "Shutdown failed")
	}
	e.background.Wait()
	e.settler.drain(drainSettle)
	klog.InfoS("Entry drained", "host", e.Settings.Host)
}

// inProgress counts the callers' requests that are in progress. Once the entry
// is not ready it closes each connection after its response, so that a balancer
// sends nothing more over it.
func (e *Entry) inProgress(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.active.Add(1)
		defer e.active.Add(-1)
		if e.notReady.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
