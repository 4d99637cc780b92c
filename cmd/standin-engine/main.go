// Command standin-engine runs a stand-in model engine or plain service.
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

type args struct {
	Name       string        `arg:"--name,required" help:"engine id"`
	Host       string        `arg:"--host" help:"host id; default: the engine id"`
	DataCentre string        `arg:"--data-centre,required" help:"data centre id"`
	Kind       string        `arg:"--kind" default:"model" help:"model or service"`
	Listen     string        `arg:"--listen" default:"127.0.0.1:0" help:"listen address"`
	Entries    []string      `arg:"--entry,separate" help:"address of an entry to announce to; may be repeated"`
	ClusterKey string        `arg:"--cluster-key,env:CLUSTER_KEY" help:"key for announcements"`
	Models     []string      `arg:"--model,separate" help:"MODEL@VERSION carried from the start; may be repeated"`
	Role       string        `arg:"--role" help:"role to announce"`
	Grace      time.Duration `arg:"--grace" default:"10s" help:"how long a generation goes on without a reader"`
}

func main() {
	var a args
	arg.MustParse(&a)
	e := &standin.Engine{
		Name: serving.EngineID(a.Name), Host: serving.HostID(a.Host), DataCentre: serving.DataCentreID(a.DataCentre),
		Kind: a.Kind, Address: a.Listen, Entries: a.Entries, ClusterKey: a.ClusterKey, Role: a.Role, Grace: a.Grace,
	}
	for _, m := range a.Models {
		model, version, _ := strings.Cut(m, "@")
		e.Models = append(e.Models, standin.Model{Model: serving.ModelID(model), Version: serving.Version(version)})
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := e.Run(ctx); err != nil {
		klog.ErrorS(err, "engine stopped")
		os.Exit(1)
	}
}
