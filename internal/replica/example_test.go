package replica_test

import (
	"context"
	"fmt"
	"time"

	"turmericdrum.org/turmericdrum/internal/replica"
	"turmericdrum.org/turmericdrum/pkg/serving/journal"
)

func Example() {
	n := &replica.Node{
		Host: "leon-1", Address: "http://127.0.0.1:7100", Disk: journal.NewMemoryDisk(), Machine: &machine{},
		Bootstrap: true, Initial: []replica.InitialMember{{Host: "leon-1", Address: "http://127.0.0.1:7100"}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- n.Run(ctx) }()
	for _, self := n.Leader(); !self; _, self = n.Leader() {
		time.Sleep(time.Millisecond)
	}
	result, err := n.Propose(ctx, []byte("put"))
	fmt.Println(string(result), err)
	cancel()
	fmt.Println(<-done)
	// Output:
	// ok put <nil>
	// <nil>
}
