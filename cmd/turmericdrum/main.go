// Command turmericdrum runs the processes of the serving system and their tools.
//
// # Usage
//
//	turmericdrum entry --settings entry.yaml
//	turmericdrum control --settings control.yaml
//	turmericdrum check FILE...
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/control"
	"turmericdrum.org/turmericdrum/internal/entry"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

type processCommand struct {
	Settings string `arg:"--settings,required" help:"settings file of this process (YAML)"`
}

type checkCommand struct {
	Files []string `arg:"positional,required" help:"settings files to check"`
}

type arguments struct {
	Entry   *processCommand `arg:"subcommand:entry" help:"run an entry process"`
	Control *processCommand `arg:"subcommand:control" help:"run a control replica"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check settings files without starting"`
}

func main() {
	var args arguments
	p := arg.MustParse(&args)
	if p.Subcommand() == nil {
		p.Fail("name a subcommand")
	}
	defer klog.Flush()
	if err := run(&args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		klog.Flush()
		os.Exit(1)
	}
}

func run(args *arguments) error {
	switch {
	case args.Entry != nil:
		return runEntry(args.Entry)
	case args.Control != nil:
		return runControl(args.Control)
	default:
		return check(args.Check)
	}
}

// terminated returns a context that ends at the first SIGTERM or SIGINT; a
// second signal ends the process.
func terminated() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		klog.InfoS("Second signal: streams in progress are cut")
		klog.Flush()
		os.Exit(1)
	}()
	return ctx
}

func runEntry(c *processCommand) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	e := &entry.Entry{Settings: s, Clock: serving.NewMonotonicClock()}
	return e.Run(terminated())
}

func runControl(c *processCommand) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	n := &control.Control{Settings: s, Clock: serving.NewMonotonicClock()}
	return n.Run(terminated())
}

func check(c *checkCommand) error {
	for _, path := range c.Files {
		if _, err := settings.Load(path); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		fmt.Println(path + ": ok")
	}
	return nil
}
