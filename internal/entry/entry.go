package entry

import (
	"context"
	"crypto/subtle"
	"errors"
	"expvar"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

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
	slots         *slotController
	// incarnation is the wall-clock time at the start in nanoseconds, since an
	// entry keeps no state on disk.
	incarnation serving.Incarnation
	draining    atomic.Bool
}

// Run serves until ctx ends, then drains: it turns not ready, takes no new work
// and returns when every stream in progress has ended.
func (e *Entry) Run(ctx context.Context) error {
	e.incarnation = serving.Incarnation(time.Now().UnixNano())
	e.board = newBoard(e.Clock, e.self())
	e.slots = newSlotController(e, e.incarnation)
	e.signer = generation.NewSigner(e.Settings.Entry.ResumeKey)
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 90 * time.Second}
	e.upstream = &http.Client{Transport: transport}
	e.clusterClient = &http.Client{Transport: keyTransport{key: e.Settings.ClusterKey, next: transport}}

	background, stop := context.WithCancel(context.Background())
	defer stop()
	g, _ := errgroup.WithContext(background)
	g.Go(func() error { e.board.run(background); return nil })
	g.Go(func() error { e.pollViews(background); return nil })
	g.Go(func() error { e.exchangeMembership(background); return nil })
	g.Go(func() error { e.slots.run(background); return nil })

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
	stop()
	return g.Wait()
}

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
	ws.Route(ws.POST("/engines/announce").To(e.announce))
	container.Add(ws)

	mux := http.NewServeMux()
	mux.Handle("/v1/", container)
	mux.Handle(schema.ViewsPathPrefix, e.requireCluster(schema.NewViewsServer(e)))
	mux.Handle(schema.MembersPathPrefix, e.requireCluster(schema.NewMembersServer(e)))
	mux.Handle(schema.SlotsPathPrefix, e.requireCluster(schema.NewSlotsServer(e.slots)))
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

// isCluster tells whether a request carries the cluster key.
func (e *Entry) isCluster(r *http.Request) bool {
	return subtle.ConstantTimeCompare([]byte(bearer(r)), []byte(e.Settings.ClusterKey)) == 1
}

func (e *Entry) requireCluster(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.isCluster(r) {
			http.Error(w, "the cluster key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func bearer(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}
