package rpc_test

import (
	"fmt"

	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

func Example() {
	sent := rpc.ToTwirp(serving.NewError(serving.KindNotLeader, "this replica follows").WithDetail("10.0.1.1:7100"))
	received := serving.AsError(rpc.FromTwirp(sent))
	fmt.Println(received.Kind, received.Ran, received.Detail)
	// Output: not_leader not_run 10.0.1.1:7100
}
