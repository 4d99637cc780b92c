// Command turmericdrum runs the processes of the serving system and its tools.
//
// # Usage
//
//	turmericdrum entry --settings entry.yaml
//	turmericdrum control --settings control.yaml
//	turmericdrum admin --server 10.0.0.1:7200 --key KEY list model
//	turmericdrum check FILE...
//	turmericdrum check-config FILE --server 10.0.0.1:8748
//	turmericdrum timeline FILE...
//	turmericdrum load --entry 10.0.0.1:7111 --account NAME:KEY --model guide --rate 20
//	turmericdrum demo
//	turmericdrum gateway --metrics-port 9464
//	turmericdrum hub --metrics-port 9464
//	turmericdrum rollout --server 10.0.0.1:8748 start SERVICE VERSION --duration 10m
//	turmericdrum soak --binary target/turmericdrum --seeds 50
//
// An entry accepts requests and forwards them to engines. A control process runs one
// replica of the configuration. A gateway and a hub do the work of an entry and a control
// process on a platform with its own protocols. The option --help describes the other
// subcommands.
//
// The exit status is 0 on success, 1 on failure and 2 on a wrong command line; that of
// check-config is explained at platform.CheckResult.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"

	"github.com/alexflint/go-arg"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/admin"
	"turmericdrum.org/turmericdrum/internal/demo"
	"turmericdrum.org/turmericdrum/internal/load"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/internal/soak"
	"turmericdrum.org/turmericdrum/internal/timelines"
	"turmericdrum.org/turmericdrum/platform"
)

type arguments struct {
	Verbosity int `arg:"-v,--verbosity" help:"detail of the logs, 0 to 3"`

	Entry      *entryCommand            `arg:"subcommand:entry" help:"run an entry process"`
	Control    *controlCommand          `arg:"subcommand:control" help:"run a control replica, or work on its data folder"`
	Admin      *admin.Command           `arg:"subcommand:admin" help:"operate the system"`
	Check      *checkCommand            `arg:"subcommand:check" help:"check settings files without starting"`
	CheckConf  *platform.CheckCommand   `arg:"subcommand:check-config" help:"check a routing configuration of the users' platform and compare it with the one in force"`
	Timeline   *timelines.Command       `arg:"subcommand:timeline" help:"merge event logs into one time line"`
	Load       *load.Command            `arg:"subcommand:load" help:"send load to running entries and measure as callers would"`
	Experiment *load.ExperimentCommand  `arg:"subcommand:experiment" help:"compare placement policies in virtual time"`
	Gateway    *gatewayCommand          `arg:"subcommand:gateway" help:"run the process of an entry host on the users' platform"`
	Hub        *hubCommand              `arg:"subcommand:hub" help:"run the process of a control host on the users' platform"`
	Rollout    *platform.RolloutCommand `arg:"subcommand:rollout" help:"shift the traffic of a service to another version of its engines"`
	Soak       *soak.Command            `arg:"subcommand:soak" help:"run the real programs under faults and check the promises"`
	Demo       *demo.Command            `arg:"subcommand:demo" help:"run everything in one process and show it at work"`
}

type gatewayCommand struct {
	platform.Options
}

type hubCommand struct {
	platform.Options
}

type checkCommand struct {
	Files []string `arg:"positional,required" help:"settings files to check"`
}

func main() {
	var args arguments
	p := arg.MustParse(&args)
	if p.Subcommand() == nil {
		p.Fail("name a subcommand")
	}
	flags := flag.NewFlagSet("logs", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(args.Verbosity)); err != nil {
		p.Fail(err.Error())
	}
	err := run(&args)
	klog.Flush()
	var result platform.CheckResult
	if errors.As(err, &result) {
		os.Exit(int(result))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args *arguments) error {
	switch {
	case args.Entry != nil:
		return args.Entry.run()
	case args.Control != nil:
		return args.Control.run()
	case args.Gateway != nil:
		return platform.RunEntry(args.Gateway.Options)
	case args.Hub != nil:
		return platform.RunHub(args.Hub.Options)
	case args.Rollout != nil:
		return args.Rollout.Run(context.Background(), os.Stdout)
	case args.CheckConf != nil:
		return args.CheckConf.Run(context.Background(), os.Stdout)
	case args.Soak != nil:
		return args.Soak.Run(context.Background(), os.Stdout)
	case args.Admin != nil:
		return args.Admin.Run(context.Background(), os.Stdout)
	case args.Timeline != nil:
		return args.Timeline.Run(os.Stdout)
	case args.Load != nil:
		return args.Load.Run(context.Background(), os.Stdout)
	case args.Experiment != nil:
		return args.Experiment.Run(os.Stdout)
	case args.Demo != nil:
		return args.Demo.Run(context.Background(), os.Stdout)
	default:
		return args.Check.run()
	}
}

var errInvalidSettings = errors.New("some settings are invalid")

// run checks all files and reports the first error of each. An error in one file
// does not stop the check of the others.
func (c *checkCommand) run() error {
	var failed error
	for _, path := range c.Files {
		_, err := settings.Load(path)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", path, err)
			failed = errInvalidSettings
			continue
		}
		fmt.Println(path + ": ok")
	}
	return failed
}
