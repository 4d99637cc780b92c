package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"turmericdrum.org/turmericdrum/internal/control"
	"turmericdrum.org/turmericdrum/internal/entry"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
	"turmericdrum.org/turmericdrum/pkg/serving/timeline"
)

const (
	clusterKey  = "demo-cluster-key"
	operatorKey = "demo-operator-key"
	callerKey   = "demo-caller-key"

	model        = "guide"
	service      = "counter"
	regionLeon   = "leon"
	regionPuebla = "puebla"
)

// fleet has the processes of the system, which all run as goroutines of this process.
type fleet struct {
	dir string
	// control and entries are the addresses of the control replica and the entries.
	control string
	entries []string
	engines []*standin.Engine
	// logs are the paths of the event logs.
	logs []string
}

// freeAddress returns a loopback address with a free port. The port is not reserved,
// so another process can still take it.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", serving.WrapError(err, serving.KindInternal, "find a free port")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// startFleet starts one control replica, two entries and six engines, which run in g
// until ctx ends.
func startFleet(ctx context.Context, g *errgroup.Group, dir string) (*fleet, error) {
	f := &fleet{dir: dir}
	var err error
	if f.control, err = freeAddress(); err != nil {
		return nil, err
	}
	for range 2 {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		f.entries = append(f.entries, address)
	}
	if err := f.startControl(ctx, g); err != nil {
		return nil, err
	}
	for i, region := range []string{regionLeon, regionPuebla} {
		if err := f.startEntry(ctx, g, i, region); err != nil {
			return nil, err
		}
		for n := range 2 {
			f.startEngine(ctx, g, fmt.Sprintf("engine-%s-%d", region, n+1), region, engine.KindModel)
		}
		f.startEngine(ctx, g, service+"-"+region, region, engine.KindService)
	}
	return f, nil
}

func (f *fleet) baseSettings(host, region, address string) settings.Settings {
	path := filepath.Join(f.dir, host+".events.jsonl")
	f.logs = append(f.logs, path)
	return settings.Settings{
		Host: serving.HostID(host), DataCentre: serving.DataCentreID(region + "-1"), Region: serving.RegionID(region),
		Listen: settings.Address(address), ClusterKey: clusterKey, EventLog: settings.EventLog{Path: path},
	}
}

func (f *fleet) startControl(ctx context.Context, g *errgroup.Group) error {
	sum := sha256.Sum256([]byte(operatorKey))
	s := f.baseSettings("control-1", regionLeon, f.control)
	s.Control = &settings.Control{
		Data:            filepath.Join(f.dir, "control-1"),
		OperatorKeyHash: hex.EncodeToString(sum[:]),
		Replicas:        []settings.Replica{{Host: s.Host, Address: s.Listen}},
	}
	if err := s.Complete(); err != nil {
		return err
	}
	p := control.Construct(&s, true /* bootstrap */)
	g.Go(func() error { return p.Run(ctx) })
	return nil
}

func (f *fleet) startEntry(ctx context.Context, g *errgroup.Group, i int, region string) error {
	s := f.baseSettings("entry-"+region, region, f.entries[i])
	s.Entry = &settings.Entry{Control: []settings.Address{settings.Address(f.control)}}
	for _, peer := range f.entries {
		if peer != f.entries[i] {
			s.Entry.Peers = append(s.Entry.Peers, settings.Address(peer))
		}
	}
	s.Entry.DrainNotice.Duration = 100 * time.Millisecond
	if err := s.Complete(); err != nil {
		return err
	}
	e := entry.Construct(&s)
	g.Go(func() error { return e.Run(ctx) })
	return nil
}

func (f *fleet) startEngine(ctx context.Context, g *errgroup.Group, name, region string, kind engine.Kind) {
	path := filepath.Join(f.dir, name+".events.jsonl")
	f.logs = append(f.logs, path)
	clock := &timeline.Clock{Physical: time.Now}
	n := &standin.Engine{
		Name: serving.EngineID(name), DataCentre: serving.DataCentreID(region + "-1"), Kind: kind,
		Entries: f.entries, ClusterKey: clusterKey, ColdFor: 2 * time.Second,
		Clock: clock, Events: timeline.NewLog(path, name, clock),
	}
	if kind == engine.KindModel {
		n.Models = []engine.ModelRef{{Model: model, Version: "1"}}
	} else {
		n.Services = []serving.ServiceID{service}
	}
	f.engines = append(f.engines, n)
	g.Go(func() error { return n.Events.Run(ctx) })
	g.Go(func() error { return n.Run(ctx) })
}

// eventLogs returns the paths of the event logs that exist.
func (f *fleet) eventLogs() []string {
	var written []string
	for _, path := range f.logs {
		if _, err := os.Stat(path); err == nil {
			written = append(written, path)
		}
	}
	return written
}
