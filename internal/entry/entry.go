package entry

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
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
	viewSource    int
	draining      atomic.Bool
	retries       *retryBudget
	// background counts calls that go on after their caller has left.
	background sync.WaitGroup
}

// Run serves until ctx ends, then drains: it turns not ready, takes no new work
// and returns when every stream in progress has ended.
func (e *Entry) Run(ctx context.Context) error {
	e.prepare()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	g, _ := errgroup.WithContext(background)
	g.Go(func() error { e.board.run(background); return nil })
	g.Go(func() error { e.pollViews(background); return nil })

	server := &http.Server{
		Addr:              string(e.Settings.Listen),
		Handler:           e.handler(),
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    32 << 10,
	}
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
	stop()
	return g.Wait()
}

// prepare makes what the handlers need.
func (e *Entry) prepare() {
	e.board = newBoard(e.Clock)
	e.signer = generation.NewSigner(e.Settings.Entry.ResumeKey)
	e.retries = newRetryBudget()
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256, IdleConnTimeout: 90 * time.Second,
		DisableCompression: true,
	}
	e.upstream = &http.Client{Transport: transport, CheckRedirect: noRedirect}
	e.clusterClient = &http.Client{Transport: keyTransport{key: e.Settings.ClusterKey, next: transport}, CheckRedirect: noRedirect}
}

// noRedirect keeps the client from sending a call a second time to another place.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// drain waits for the balancer to notice, then for every stream to end.
func (e *Entry) drain(server *http.Server) {
	klog.InfoS("Entry draining", "host", e.Settings.Host)
	e.draining.Store(true)
	time.Sleep(e.Settings.Entry.DrainNotice.Duration)
	if err := server.Shutdown(context.Background()); err != nil {
		klog.ErrorS(err, "Shutdown failed")
	}
	klog.InfoS("Entry drained", "host", e.Settings.Host)
}

// handler returns the routes of the process.
func (e *Entry) handler() http.Handler {
	container := restful.NewContainer()
	ws := new(restful.WebService)
	ws.Path("/v1").Consumes("*/*").Produces(restful.MIME_JSON, "text/event-stream")
	ws.Route(ws.POST("/completions").To(e.completions))
	ws.Route(ws.GET("/generations/resume").To(e.resume))
	ws.Route(ws.DELETE("/generations/resume").To(e.cancel))
	ws.Route(ws.POST("/engines/announce").To(e.announce))
	container.Add(ws)

	mux := http.NewServeMux()
	mux.Handle("/v1/", container)
	mux.Handle(schema.ViewsPathPrefix, e.requireCluster(schema.NewViewsServer(e)))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", e.ready)
	mux.Handle("/debug/vars", expvar.Handler())
	return mux
}

// ready tells the balancer whether this entry takes new work.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.draining.Load() || !e.viewFresh(e.board.load()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
