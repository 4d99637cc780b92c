// Package control is the process on hosts with a disk: a replica of the durable
// state and the operators' RPC.
//
// # Usage
//
//	c := &control.Control{Settings: s, Clock: serving.NewMonotonicClock()}
//	return c.Run(ctx)
package control

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Control is a control process that keeps the configuration in memory.
type Control struct {
	Settings *settings.Settings
	Clock    serving.Clock

	mu     sync.Mutex
	config schema.ConfigView
}

// Run serves until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(schema.OperatorsPathPrefix, requireKey(c.isOperator, schema.NewOperatorsServer(c)))
	mux.Handle(schema.ViewsPathPrefix, requireKey(c.isCluster, schema.NewViewsServer(c)))
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	server := &http.Server{Addr: string(c.Settings.Listen), Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Shutdown(context.Background())
	}()
	klog.InfoS("Control started", "host", c.Settings.Host, "listen", c.Settings.Listen)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (c *Control) isOperator(key string) bool {
	sum := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(c.Settings.Control.OperatorKeyHash)) == 1
}

func (c *Control) isCluster(key string) bool {
	return subtle.ConstantTimeCompare([]byte(key), []byte(c.Settings.ClusterKey)) == 1
}

func requireKey(valid func(string) bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !valid(key) {
			http.Error(w, "the key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// GetView answers an entry's poll.
func (c *Control) GetView(_ context.Context, req *schema.ViewRequest) (*schema.ViewResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	res := &schema.ViewResult{Revision: c.config.Revision}
	if res.Unchanged = req.HaveRevision == c.config.Revision && req.HaveRevision > 0; !res.Unchanged {
		res.Config, _ = proto.Clone(&c.config).(*schema.ConfigView)
	}
	return res, nil
}

// Apply applies an operator's change.
func (c *Control) Apply(_ context.Context, change *schema.Change) (*schema.ChangeResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch a := change.Action.(type) {
	case *schema.Change_Put:
		return c.put(a.Put, change.ExpectedRevision), nil
	case *schema.Change_TakeOut:
		return c.setOut(a.TakeOut, change.ExpectedRevision, true), nil
	case *schema.Change_BringBack:
		return c.setOut(a.BringBack, change.ExpectedRevision, false), nil
	}
	return nil, twirp.NewError(twirp.Unimplemented, "this change is not supported yet")
}

func (c *Control) find(kind schema.ObjectKind, id string) *schema.Object {
	for _, o := range c.config.Objects {
		if o.Kind == kind && o.Id == id {
			return o
		}
	}
	return nil
}

func (c *Control) put(o *schema.Object, expected uint64) *schema.ChangeResult {
	old := c.find(o.Kind, o.Id)
	if old.GetRevision() != expected {
		return &schema.ChangeResult{Outcome: schema.Outcome_OUTCOME_CONFLICT, Revision: old.GetRevision()}
	}
	c.config.Revision++
	o.Revision = c.config.Revision
	if old == nil {
		c.config.Objects = append(c.config.Objects, o)
	} else {
		proto.Reset(old)
		proto.Merge(old, o)
	}
	return &schema.ChangeResult{Outcome: schema.Outcome_OUTCOME_ACCEPTED, Revision: o.Revision}
}

func (c *Control) setOut(name *schema.ObjectName, expected uint64, out bool) *schema.ChangeResult {
	old := c.find(name.Kind, name.Name)
	if old.GetDataCentre() == nil {
		return &schema.ChangeResult{Outcome: schema.Outcome_OUTCOME_NOT_FOUND}
	}
	changed, _ := proto.Clone(old).(*schema.Object)
	changed.GetDataCentre().Out = out
	return c.put(changed, expected)
}

// Read lists the objects of a kind.
func (c *Control) Read(_ context.Context, req *schema.ReadRequest) (*schema.ReadResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	res := &schema.ReadResult{Revision: c.config.Revision}
	for _, o := range c.config.Objects {
		if o.Kind == req.Kind && (req.Name == "" || req.Name == o.Id) {
			clone, _ := proto.Clone(o).(*schema.Object)
			res.Objects = append(res.Objects, clone)
		}
	}
	return res, nil
}

var errUnsupported = twirp.NewError(twirp.Unimplemented, "this call is not supported yet")

// History is not supported yet.
func (c *Control) History(context.Context, *schema.HistoryRequest) (*schema.HistoryResult, error) {
	return nil, errUnsupported
}

// Status is not supported yet.
func (c *Control) Status(context.Context, *schema.StatusRequest) (*schema.ReplicaStatus, error) {
	return nil, errUnsupported
}

// ChangeMember is not supported yet.
func (c *Control) ChangeMember(context.Context, *schema.MemberChange) (*schema.MemberChangeResult, error) {
	return nil, errUnsupported
}
