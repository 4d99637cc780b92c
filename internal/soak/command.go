package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Command holds the command-line options of the soak.
type Command struct {
	Binary   string        `arg:"--binary" default:"target/turmericdrum" help:"the program under test"`
	First    uint64        `arg:"--first" default:"1" help:"first seed"`
	Seeds    int           `arg:"--seeds" default:"1" help:"number of seeds, one after another from the first"`
	Parallel int           `arg:"--parallel" default:"4" help:"seeds that run at the same time"`
	Time     time.Duration `arg:"--time" default:"8s" help:"how long faults are injected for each seed"`
	Hubs     int           `arg:"--hubs" default:"5" help:"control hosts"`
	Entries  int           `arg:"--entries" default:"4" help:"entry hosts"`
	Planned  bool          `arg:"--planned" help:"planned work only: stops in series, reloads and changes"`
	Folder   string        `arg:"--folder" help:"folder for logs and data; empty for a new one"`
	Keep     bool          `arg:"--keep" help:"keep the folders of seeds that passed"`
}

// Run runs the seeds and prints a line for each. It fails if a guarantee was violated.
func (c *Command) Run(ctx context.Context, w io.Writer) error {
	if err := c.check(); err != nil {
		return err
	}
	if c.Folder == "" {
		folder, err := os.MkdirTemp("", "turmericdrum-soak-")
		if err != nil {
			return serving.WrapError(err, serving.KindStorage, "create a folder for the soak")
		}
		c.Folder = folder
	}
	var mu sync.Mutex
	failed := 0
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(c.Parallel)
	for i := range c.Seeds {
		seed := c.First + uint64(i)
		g.Go(func() error {
			if ctx.Err() != nil {
				return nil
			}
			violations, summary, err := c.runSeed(seed)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				return serving.WrapError(err, serving.KindInternal, fmt.Sprint("seed ", seed))
			}
			fmt.Fprintf(w, "seed %d: %d violations; %s\n", seed, len(violations), summary)
			for _, v := range violations {
				fmt.Fprintln(w, "  "+v)
			}
			if len(violations) > 0 {
				failed++
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	fmt.Fprintf(w, "%d seeds, %d with violations; logs in %s\n", c.Seeds, failed, c.Folder)
	if failed > 0 {
		return serving.NewError(serving.KindInternal, fmt.Sprint(failed, " seeds broke a promise"))
	}
	return nil
}

// check validates the options and makes the path of the binary absolute.
func (c *Command) check() error {
	binary, err := filepath.Abs(c.Binary)
	if err == nil {
		_, err = os.Stat(binary)
	}
	if err != nil {
		e := serving.WrapError(err, serving.KindInvalid, "find the program under test")
		e.Remedy = "build it and name it with --binary"
		return e
	}
	c.Binary = binary
	if c.Seeds < 1 || c.Parallel < 1 || c.Hubs < 1 || c.Entries < 1 || c.Hubs+c.Entries > 200 {
		return serving.NewError(serving.KindInvalid, "seeds, parallel, hubs and entries must be positive, hubs and entries at most 200 together")
	}
	return nil
}

// runSeed runs one seed. It removes the logs of a seed that passed unless Keep is set.
func (c *Command) runSeed(seed uint64) (violations []string, summary string, err error) {
	t, err := newTrial(c, seed)
	if err != nil {
		return nil, "", err
	}
	defer t.log.Close()
	if err := t.run(seed); err != nil {
		return nil, "", err
	}
	if len(t.violations) == 0 && !c.Keep {
		_ = os.RemoveAll(t.site.Folder)
	}
	return t.violations, t.summary(), nil
}

// summary returns the number of answers by kind of call, status and completeness.
func (t *trial) summary() string {
	var keys []string
	for k := range t.counts {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	out := ""
	for _, k := range keys {
		out += fmt.Sprintf("%s: %d, ", k, t.counts[k])
	}
	return out
}
