package timeline_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving/timeline"
)

func Example() {
	dir, err := os.MkdirTemp("", "timeline")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "entry-1.jsonl")
	clock := &timeline.Clock{Physical: func() time.Time { return time.Unix(1767323045, 0) }}
	log := timeline.NewLog(path, "entry-1", clock)
	log.Add("dispatched", "r1", "engine", "e1")
	log.Add("first_token", "r1")
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // Run still writes the buffered events
	if err := log.Run(ctx); err != nil {
		fmt.Println(err)
		return
	}
	events, skipped, err := timeline.ReadFiles(path)
	fmt.Println(len(events), skipped, err)
	err = timeline.WriteTable(os.Stdout, events)
	fmt.Println(err)
	// Output:
	// 2 0 <nil>
	// TIME                         LOGICAL  PROCESS  KIND         REQUEST  ATTRIBUTES
	// 2026-01-02T03:04:05.000000Z  0        entry-1  dispatched   r1       engine=e1
	// 2026-01-02T03:04:05.000000Z  1        entry-1  first_token  r1
	// <nil>
}
