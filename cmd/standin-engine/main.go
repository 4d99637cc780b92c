// Command standin-engine runs a simulated model engine or plain service, which is
// used in place of a real one in tests and benchmarks.
//
// On SIGTERM the engine announces that it is leaving and exits once its running work
// has ended. A second signal, or a SIGINT at any time, stops it immediately.
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
	"turmericdrum.org/turmericdrum/pkg/serving/timeline"
)

type args struct {
	Name          string        `arg:"--name,required" help:"engine id"`
	Host          string        `arg:"--host" help:"host id; default: the engine id"`
	DataCentre    string        `arg:"--data-centre,required" help:"data centre id"`
	Kind          string        `arg:"--kind" default:"model" help:"model or service"`
	Listen        string        `arg:"--listen" default:"127.0.0.1:0" help:"listen address"`
	Advertise     string        `arg:"--advertise" help:"address to announce; default: the listen address"`
	Entries       []string      `arg:"--entry,separate" help:"address of an entry to announce to; may be repeated"`
	ClusterKey    string        `arg:"--cluster-key,env:CLUSTER_KEY" help:"key for announcements"`
	Incarnation   uint64        `arg:"--incarnation" help:"default: start time in milliseconds"`
	Models        []string      `arg:"--model,separate" help:"MODEL@VERSION carried from the start; may be repeated"`
	Services      []string      `arg:"--service,separate" help:"service that a plain service is part of; may be repeated"`
	Role          string        `arg:"--role" help:"role to announce"`
	ChecksFencing string        `arg:"--checks-fencing" default:"unknown" help:"yes, no or unknown; only yes refuses stale orders"`
	MaxRunning    int64         `arg:"--max-running" default:"16" help:"generations in the batch"`
	ColdRunning   int64         `arg:"--cold-running" default:"2" help:"generations that a cold engine survives"`
	MemoryBlocks  int64         `arg:"--memory-blocks" default:"1000" help:"memory for running generations"`
	BlockTokens   int64         `arg:"--block-tokens" default:"16" help:"tokens in one block"`
	CacheBlocks   int           `arg:"--cache-blocks" help:"size of the prefix cache; default: a quarter of the memory"`
	StepBase      time.Duration `arg:"--step-base" default:"10ms" help:"duration of a step of an empty batch"`
	StepSequence  time.Duration `arg:"--step-sequence" default:"100us" help:"added to a step for each generation"`
	StepPrefill   time.Duration `arg:"--step-prefill" default:"20us" help:"added to a step for each prompt token"`
	ColdFor       time.Duration `arg:"--cold-for" default:"10s" help:"how long the engine is cold after a start; negative: not at all"`
	LoadLag       time.Duration `arg:"--load-lag" default:"500ms" help:"age of load reports"`
	CacheLag      time.Duration `arg:"--cache-lag" default:"2s" help:"delay of cache events"`
	CacheLoss     float64       `arg:"--cache-loss" default:"0.02" help:"fraction of lost cache events"`
	LoadTime      time.Duration `arg:"--load-time" default:"3s" help:"time to load one model from the weight store"`
	Latency       time.Duration `arg:"--latency" default:"20ms" help:"duration of one call of a plain service"`
	Grace         time.Duration `arg:"--grace" default:"10s" help:"how long a generation goes on without a reader"`
	LeaveDeadline time.Duration `arg:"--leave-deadline" help:"latest exit after SIGTERM; default: none"`
	EventLog      string        `arg:"--event-log" help:"file for the events of the timeline"`
	Record        string        `arg:"--record" help:"file to append the record to (JSON lines); processes can share it"`
}

func (a *args) engine() *standin.Engine {
	e := &standin.Engine{
		Name: serving.EngineID(a.Name), Host: serving.HostID(a.Host), DataCentre: serving.DataCentreID(a.DataCentre),
		Kind: engine.Kind(a.Kind), Address: a.Listen, Advertise: a.Advertise, Entries: a.Entries, ClusterKey: a.ClusterKey,
		Incarnation: serving.Incarnation(a.Incarnation), Role: a.Role, ChecksFencing: a.ChecksFencing,
		Capacity: serving.Capacity{
			MaxRunning: serving.Slots(a.MaxRunning), ColdRunning: serving.Slots(a.ColdRunning),
			MemoryBlocks: serving.Blocks(a.MemoryBlocks), BlockTokens: serving.Tokens(a.BlockTokens),
		},
		Timing: standin.Timing{
			Base: a.StepBase, PerSequence: a.StepSequence, PerPrefillToken: a.StepPrefill,
			PrefillPerStep: standin.DefaultTiming.PrefillPerStep,
		},
		CacheBlocks: a.CacheBlocks, ColdFor: a.ColdFor, LoadLag: a.LoadLag, CacheLag: a.CacheLag,
		CacheLoss: a.CacheLoss, LoadTime: a.LoadTime, Latency: a.Latency, Grace: a.Grace,
		Record: &standin.Record{Path: a.Record}, Exit: os.Exit,
	}
	for _, s := range a.Services {
		e.Services = append(e.Services, serving.ServiceID(s))
	}
	for _, m := range a.Models {
		model, version, _ := strings.Cut(m, "@")
		e.Models = append(e.Models, engine.ModelRef{Model: serving.ModelID(model), Version: serving.Version(version)})
	}
	return e
}

func main() {
	var a args
	p := arg.MustParse(&a)
	if a.Kind != string(engine.KindModel) && a.Kind != string(engine.KindService) {
		p.Fail("--kind must be model or service")
	}
	if a.MaxRunning < 1 || a.MemoryBlocks < 1 || a.BlockTokens < 1 {
		p.Fail("--max-running, --memory-blocks and --block-tokens must be positive")
	}
	e := a.engine()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		if <-signals == syscall.SIGTERM {
			e.Leave(a.LeaveDeadline)
			<-signals
		}
		cancel()
	}()
	if err := e.Listen(); err != nil {
		klog.ErrorS(err, "Failed to start engine", "engine", a.Name)
		os.Exit(1)
	}
	klog.InfoS("Engine is listening", "engine", a.Name, "kind", a.Kind, "address", e.Addr())
	g, ctx := errgroup.WithContext(ctx)
	if a.EventLog != "" {
		e.Clock = &timeline.Clock{Physical: time.Now}
		e.Events = timeline.NewLog(a.EventLog, a.Name, e.Clock)
		g.Go(func() error { return e.Events.Run(ctx) })
	}
	g.Go(func() error {
		defer cancel()
		return e.Run(ctx)
	})
	if err := g.Wait(); err != nil {
		klog.ErrorS(err, "Engine stopped with an error", "engine", a.Name)
		os.Exit(1)
	}
}
