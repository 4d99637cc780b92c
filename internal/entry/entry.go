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
	admission     admission
	dispatcher    *dispatcher
	// incarnation is the wall-clock time at the start in nanoseconds, since an
	// entry keeps no state on disk.
	incarnation serving.Incarnation
	metrics     *metrics
	notReady    atomic.Bool
	draining    atomic.Bool
	retries     *retryBudget
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
	g.Go(func() error { e.dispatcher.run(background); return nil })

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
	e.background.Wait()
	e.settler.drain(drainSettle)
	stop()
	return g.Wait()
}

// prepare makes what the handlers need.
func (e *Entry) prepare() {
	e.incarnation = serving.Incarnation(time.Now().UnixNano())
	e.board = newBoard(e.Clock, e.self())
	e.dispatcher = newDispatcher(e, e.incarnation)
	e.admission = e.dispatcher
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

// self is the membership record of this entry.
func (e *Entry) self() engine.Member {
	return engine.Member{
		ID: string(e.Settings.Host), Address: string(e.Settings.Advertise),
		DataCentre: e.Settings.DataCentre, Region: e.Settings.Region,
		Incarnation: e.incarnation,
	}
}

// drain waits for the balancer to notice, then for every stream to end.
func (e *Entry) drain(server *http.Server) {
	klog.InfoS("Entry draining", "host", e.Settings.Host)
	e.notReady.Store(true)
	time.Sleep(e.Settings.Entry.DrainNotice.Duration)
	e.draining.Store(true)
	if err := server.Shutdown(context.Background()); err != nil {
		klog.ErrorS(err, "Shutdown failed")
	}
	klog.InfoS("Entry drained", "host", e.Settings.Host)
}
