package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/control"
	"turmericdrum.org/turmericdrum/internal/entry"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

type entryCommand struct {
	Settings string `arg:"--settings,required" help:"settings file of this process (YAML)"`
}

type controlCommand struct {
	control.FolderCommand
	Settings  string `arg:"--settings" help:"settings file of this process (YAML)"`
	Bootstrap bool   `arg:"--bootstrap" help:"start a new cluster; only at the very first start"`
}

// signalContext returns a context that is cancelled at the first SIGTERM or SIGINT.
// A second signal exits the process with status 1.
func signalContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		klog.InfoS("Second signal: requests in progress are cut")
		klog.Flush()
		os.Exit(1)
	}()
	return ctx
}

func (c *entryCommand) run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if s.Entry == nil {
		return missingSectionError("entry", c.Settings)
	}
	s.Limits.LimitRuntime()
	e := entry.Construct(s)
	return e.Run(signalContext())
}

func (c *controlCommand) run() error {
	// Run is that of FolderCommand. It executes the subcommand for the data folder, if
	// one is given.
	if handled, err := c.Run(os.Stdout); handled {
		return err
	}
	if c.Settings == "" {
		e := serving.NewError(serving.KindInvalid, "--settings is missing")
		e.Remedy = "name the settings file of this process"
		return e
	}
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if s.Control == nil {
		return missingSectionError("control", c.Settings)
	}
	if c.Data != "" {
		s.Control.Data = c.Data
	}
	s.Limits.LimitRuntime()
	p := control.Construct(s, control.Bootstrap(c.Bootstrap))
	return p.Run(signalContext())
}

func missingSectionError(section, path string) error {
	e := serving.NewError(serving.KindInvalid, path+" has no section "+section)
	e.Remedy = "name a settings file with the section " + section
	return e
}
