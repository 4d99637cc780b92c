package control

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/internal/ingress"
	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

const (
	// maxBodyBytes bounds the body of a request. The largest is that of Settle,
	// which contains the answer to an order.
	maxBodyBytes = 1 << 20
	// maxMessagesBytes bounds a batch of log messages from another replica.
	maxMessagesBytes = 16 << 20
	// bodyFactor is what a byte of a body takes: the buffer in which it is received, the copy of
	// its handler, which is up to a quarter longer, and the decoded bytes.
	bodyFactor = 3
	// Time limits after which the connection of a slow or idle caller is closed.
	readTimeout  = 10 * time.Second
	writeTimeout = 60 * time.Second
	idleTimeout  = 2 * time.Minute
	// shutdownTimeout bounds the wait for calls in progress at shutdown.
	shutdownTimeout = 10 * time.Second
)

// Replica provides the status and the membership changes of the replicated log.
type Replica interface {
	Status() *schema.ReplicaStatus
	// ChangeMember returns once the change is committed or refused. A
	// KindNotLeader error names the leader's address in its detail.
	ChangeMember(ctx context.Context, c *schema.MemberChange) (*schema.MemberChangeResult, error)
}

// Server answers the calls of operators and entries. Its fields are set before Run
// or Handler.
type Server struct {
	Log     serving.ReplicatedLog
	Replica Replica
	// Messages handles the log messages of other replicas; nil means that there are
	// none.
	Messages http.Handler
	Machine  *registry.Machine
	// WallClock returns the time that is stored in commands; nil means time.Now.
	WallClock func() time.Time
	// ClusterKey is the hash of the key that entries and replicas share.
	ClusterKey rpc.KeyHash
	// BootstrapKey is the hash of the operator key of the settings; the zero value means none.
	BootstrapKey rpc.KeyHash
	// Clock measures the time since the last poll of each entry; nil means the
	// monotonic clock.
	Clock serving.Clock

	polls  entryPolls
	events events
	// cachedView is the full configuration that was returned last.
	cachedView atomic.Pointer[schema.ConfigView]
}

// Handler returns the handler of all services.
func (s *Server) Handler() http.Handler {
	if s.WallClock == nil {
		s.WallClock = time.Now
	}
	if s.Clock == nil {
		s.Clock = serving.NewMonotonicClock()
	}
	mapErrors := twirp.WithServerInterceptors(rpc.MapErrors)
	o := schema.NewOperatorsServer(operators{s}, mapErrors)
	v := schema.NewViewsServer(views{s}, mapErrors)
	c := schema.NewClaimsServer(claims{s}, mapErrors)
	mux := http.NewServeMux()
	mux.Handle(o.PathPrefix(), rpc.ReadKey(o))
	mux.Handle(v.PathPrefix(), rpc.RequireKey(s.ClusterKey, v))
	mux.Handle(c.PathPrefix(), rpc.RequireKey(s.ClusterKey, c))
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/readyz", s.ready)
	mux.Handle("/debug/vars", expvar.Handler())
	mux.Handle(rpc.ProfilesPrefix, rpc.Profiles(s.ClusterKey))
	root := http.NewServeMux()
	root.Handle("/", http.MaxBytesHandler(mux, maxBodyBytes))
	if s.Messages != nil {
		root.Handle(schema.LogPathPrefix, rpc.RequireKey(s.ClusterKey, http.MaxBytesHandler(s.Messages, maxMessagesBytes)))
	}
	return root
}

// ready answers with status 200 if the leader is known, else with 503.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if address, self := s.Log.Leader(); address == "" && !self {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Run serves until the context ends, then lets calls in progress finish.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	l, ok := listener.(*ingress.Listener)
	if !ok {
		l = &ingress.Listener{Listener: listener, Name: "control"}
	}
	l.Limits.HeaderTime, l.Limits.IdleTime = readTimeout, idleTimeout
	l.Limits.BodyOf, l.Limits.BodyFactor, l.Limits.DecodeCost = s.bodyLimit, bodyFactor, ingress.ProtoCost
	l.Refuse = func(w http.ResponseWriter, err error) { _ = twirp.WriteError(w, rpc.ToTwirp(serving.AsError(err))) }
	srv := l.Server(l.Guard(s.events.handler(s.Handler())), nil)
	srv.ReadTimeout, srv.WriteTimeout = readTimeout, writeTimeout
	background, stop := context.WithCancel(ctx)
	defer stop()
	go s.maintainEntries(background)
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(l) }()
	select {
	case err := <-serveErr:
		return serving.WrapError(err, serving.KindInternal, "serve "+l.Addr().String())
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		return errors.Join(serving.WrapError(err, serving.KindDeadline, "calls in progress did not finish"), srv.Close())
	}
	return nil
}

// bodyLimit returns the limit of the body of a request, 0 if the body is not read. Keys of
// operators are checked later, because this replica may not have the newest ones.
func (s *Server) bodyLimit(r *http.Request) int64 {
	path, key := r.URL.Path, rpc.BearerKey(r)
	switch {
	case strings.HasPrefix(path, schema.OperatorsPathPrefix) && key != "":
		return maxBodyBytes
	case rpc.HashKey(key) != s.ClusterKey:
		return 0
	case strings.HasPrefix(path, schema.LogPathPrefix):
		return maxMessagesBytes
	case strings.HasPrefix(path, schema.ViewsPathPrefix), strings.HasPrefix(path, schema.ClaimsPathPrefix):
		return maxBodyBytes
	}
	return 0
}

// propose commits a command to the log and returns its result.
func (s *Server) propose(ctx context.Context, cmd *schema.Command) (*schema.CommandResult, error) {
	cmd.NowMs = s.WallClock().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, serving.WrapError(err, serving.KindInvalid, "encode command")
	}
	data, err = s.Log.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	var res schema.CommandResult
	if err := proto.Unmarshal(data, &res); err != nil {
		return nil, serving.WrapError(err, serving.KindInternal, "decode command result").WithRan(serving.RanUnknown)
	}
	if res.GetError() != "" {
		return nil, serving.NewError(serving.KindInternal, "command refused: "+res.GetError())
	}
	s.events.recordResult(cmd, &res)
	return &res, nil
}
