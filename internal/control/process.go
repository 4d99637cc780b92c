package control

import (
	"context"
	"encoding/hex"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/internal/replica"
	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/fleet"
	"turmericdrum.org/turmericdrum/pkg/serving/journal"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

// maxIdlePeerConns bounds the idle connections to one other replica.
const maxIdlePeerConns = 8

// Bootstrap is true if a process starts a new cluster; see package replica.
type Bootstrap bool

// Process is a control process: one replica of the log with the registry as its
// state machine, and the server for its callers. Its fields are set before Run.
type Process struct {
	Settings  *settings.Settings
	Bootstrap Bootstrap
	Clock     serving.Clock
}

// Run serves until ctx ends or storage fails.
func (p *Process) Run(ctx context.Context) error {
	machine, err := p.machine()
	if err != nil {
		return err
	}
	disk, err := journal.OpenFolder(p.Settings.Control.Data)
	if err != nil {
		return err
	}
	ev := newEvents(p.Settings)
	node := p.node(disk, machine, ev)
	server, err := p.server(node, machine)
	if err != nil {
		return err
	}
	server.events = ev
	orders, err := p.orders(server)
	if err != nil {
		return err
	}
	l := p.Settings.Limits.Listener("control")
	if err := l.Listen(string(p.Settings.Listen)); err != nil {
		return err
	}
	klog.InfoS("Control started", "host", p.Settings.Host, "listen", p.Settings.Listen)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return ev.run(ctx) })
	g.Go(func() error { ev.watchReplica(ctx, node); return nil })
	g.Go(func() error { return node.Run(ctx) })
	g.Go(func() error { return server.Run(ctx, l) })
	g.Go(func() error { orders.run(ctx); return nil })
	return g.Wait()
}

func (p *Process) machine() (*registry.Machine, error) {
	c := p.Settings.Control
	return registry.New(registry.Config{
		Schemes:         c.NamingSchemes,
		ResultRetention: c.ResultRetention.Duration,
		ClaimRetention:  c.ClaimRetention.Duration,
		ClaimTimeout:    c.ClaimTimeout.Duration,
	})
}

func (p *Process) node(disk journal.Disk, machine *registry.Machine, ev events) *replica.Node {
	c := p.Settings.Control
	peers := &answer.Transport{Next: &http.Transport{MaxIdleConnsPerHost: maxIdlePeerConns, IdleConnTimeout: time.Minute}}
	client := rpc.HTTPClient(p.Settings.ClusterKey, ev.transport(peers))
	transport := replica.NewHTTPTransport()
	transport.Client = client
	n := &replica.Node{
		Host:          p.Settings.Host,
		Address:       "http://" + string(p.Settings.Advertise),
		Disk:          disk,
		Machine:       machine,
		Bootstrap:     bool(p.Bootstrap),
		SnapshotEvery: c.SnapshotEntries,
		Config: ledger.Config{
			Heartbeat:   c.Heartbeat.Duration,
			ElectionMin: c.ElectionMin.Duration,
			ElectionMax: c.ElectionMax.Duration,
		},
		Clock:     p.Clock,
		Transport: transport,
		Client:    client,
	}
	for _, r := range c.Replicas {
		n.Initial = append(n.Initial, replica.InitialMember{Host: r.Host, Address: "http://" + string(r.Address)})
	}
	return n
}

func (p *Process) server(node *replica.Node, machine *registry.Machine) (*Server, error) {
	hash, err := hex.DecodeString(p.Settings.Control.OperatorKeyHash)
	if err != nil {
		return nil, serving.WrapError(err, serving.KindInvalid, "decode control.operator_key_hash")
	}
	return &Server{
		Log:          node,
		Replica:      node,
		Messages:     schema.NewLogServer(node),
		Machine:      machine,
		Clock:        p.Clock,
		ClusterKey:   rpc.HashKey(p.Settings.ClusterKey),
		BootstrapKey: rpc.KeyHash(hash),
	}, nil
}

func (p *Process) orders(server *Server) (*engineOrders, error) {
	r, err := fleet.New(fleet.Config{Rate: p.Settings.Control.WeightStoreRate, Burst: p.Settings.Control.WeightStoreBurst})
	if err != nil {
		return nil, err
	}
	base := &answer.Transport{Next: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}
	transport := server.events.transport(base)
	return &engineOrders{
		server:       server,
		clock:        p.Clock,
		reconciler:   r,
		entryClient:  rpc.HTTPClient(p.Settings.ClusterKey, transport),
		engineClient: &http.Client{Transport: transport},
		orderedAt:    map[serving.EngineID]time.Duration{},
	}, nil
}
