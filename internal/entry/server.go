package entry

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/twitchtv/twirp"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// headerTimeout bounds the time in which a caller must send the request header.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds the time between two requests on a connection.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the request header. A resume token has up to 2 KiB.
	maxHeaderBytes = 32 << 10
)

// newServer returns the HTTP server of the process. It has no overall read or write
// timeout, because the length of an answer is not known. Handlers set a deadline for
// reading the body and for each write.
func (e *Entry) newServer() *http.Server {
	return e.listener.Server(e.markUnread(e.listener.Guard(e.handler())), nil)
}

// handler returns the handler for all paths of the process.
func (e *Entry) handler() http.Handler {
	container := restful.NewContainer()
	container.ServiceErrorHandler(routeError)
	ws := new(restful.WebService)
	ws.Path("/v1").Consumes("*/*").Produces(restful.MIME_JSON, "text/event-stream")
	ws.Route(ws.POST("/completions").To(e.completions))
	ws.Route(ws.GET("/generations/resume").To(e.resume))
	ws.Route(ws.DELETE("/generations/resume").To(e.cancel))
	ws.Route(ws.POST("/services/{service}/{path:*}").To(e.callService))
	ws.Route(ws.GET("/orders/{service}/{key}").To(e.getOrder))
	ws.Route(ws.POST("/engines/announce").To(e.announce))
	container.Add(ws)

	mux := http.NewServeMux()
	mux.Handle("/v1/", e.countActive(container))
	// Announcements are not counted as callers' requests, so they do not delay a drain.
	mux.HandleFunc("/v1/engines/announce", container.ServeHTTP)
	mux.Handle(schema.ViewsPathPrefix, e.requireClusterKey(schema.NewViewsServer(e, twirp.WithServerInterceptors(rpc.MapErrors))))
	mux.Handle(schema.MembersPathPrefix, e.requireClusterKey(schema.NewMembersServer(e)))
	mux.Handle(schema.SharesPathPrefix, e.requireClusterKey(schema.NewSharesServer(e.dispatcher)))
	mux.Handle(schema.SlotsPathPrefix, e.requireClusterKey(schema.NewSlotsServer(e.dispatcher)))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", e.ready)
	mux.HandleFunc("/debug/vars", e.vars)
	mux.Handle(rpc.ProfilesPrefix, rpc.Profiles(rpc.HashKey(e.Settings.ClusterKey)))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, serving.NewError(serving.KindNotFound, "no such path"))
	})
	return e.eventLog.handler(recoverPanics(mux))
}

// routeError answers a request that matches no route of the API.
func routeError(err restful.ServiceError, _ *restful.Request, w *restful.Response) {
	kind := serving.KindInvalid
	if err.Code == http.StatusNotFound {
		kind = serving.KindNotFound
	}
	writeError(w, serving.NewError(kind, err.Message))
}

// ready handles the readiness probe of the load balancer.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.notReady.Load() || !e.viewFresh(e.board.load()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// headerWatch records whether the header of a response was written.
type headerWatch struct {
	http.ResponseWriter
	wrote bool
}

// WriteHeader implements http.ResponseWriter.
func (w *headerWatch) WriteHeader(status int) {
	w.wrote = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *headerWatch) Write(b []byte) (int, error) {
	w.wrote = true
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *headerWatch) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// recoverPanics returns a typed error if a handler panics. If the response has already
// started, it aborts the connection instead, so that the response does not look
// complete.
func recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		watch := &headerWatch{ResponseWriter: w}
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v == http.ErrAbortHandler { //nolint:errorlint // net/http compares the value itself.
				panic(v)
			}
			klog.ErrorS(nil, "Handler panicked", "path", r.URL.Path, "panic", v, "stack", string(debug.Stack()))
			if watch.wrote {
				panic(http.ErrAbortHandler)
			}
			writeError(watch, serving.NewError(serving.KindInternal, "the handler failed").WithRan(serving.RanUnknown))
		}()
		next.ServeHTTP(watch, r)
	})
}
