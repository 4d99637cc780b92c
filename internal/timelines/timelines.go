// Package timelines implements the timeline command, which merges the event logs of
// several processes and prints them in order.
//
// # Usage
//
//	c := timelines.Command{Files: []string{"entry-1.jsonl", "control-1.jsonl"}, Format: "html"}
//	err := c.Run(os.Stdout)
package timelines

import (
	"fmt"
	"io"
	"slices"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/timeline"
)

// Command is the timeline subcommand with its arguments.
type Command struct {
	Files   []string `arg:"positional,required" placeholder:"FILE" help:"event logs; rotated files are read along"`
	Format  string   `arg:"--format" default:"table" help:"table or html"`
	Request string   `arg:"--request" help:"show only the events of this request id"`
	Process string   `arg:"--process" help:"show only the events of this process"`
	Limit   int      `arg:"--limit" help:"show only the last events, at most this many; 0 shows all"`
}

// Run writes the merged events that match the filters to w.
func (c *Command) Run(w io.Writer) error {
	render, ok := map[string]func(io.Writer, []timeline.Event) error{
		"": timeline.WriteTable, "table": timeline.WriteTable, "html": timeline.WriteHTML,
	}[c.Format]
	if !ok {
		e := serving.NewError(serving.KindInvalid, fmt.Sprintf("unknown format %q", c.Format))
		e.Remedy = "use --format table or --format html"
		return e
	}
	events, skipped, err := timeline.ReadFiles(c.Files...)
	if err != nil {
		return err
	}
	if skipped > 0 {
		klog.InfoS("Skipped lines that are not valid events", "count", skipped)
	}
	events = slices.DeleteFunc(events, func(e timeline.Event) bool {
		return (c.Request != "" && string(e.RequestID) != c.Request) || (c.Process != "" && e.Process != c.Process)
	})
	if c.Limit > 0 && len(events) > c.Limit {
		events = events[len(events)-c.Limit:]
	}
	return render(w, events)
}
