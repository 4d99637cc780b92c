package controltest_test

import (
	"context"
	"fmt"

	"turmericdrum.org/turmericdrum/internal/control/controltest"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

func Example() {
	machine, err := registry.New(registry.Config{Schemes: []string{"legacy"}})
	if err != nil {
		fmt.Println(err)
		return
	}
	l := &controltest.Log{Machine: machine}
	fmt.Println(l.ReadBarrier(context.Background()))
	l.SetLeader("127.0.0.1:7100")
	fmt.Println(serving.KindOf(l.ReadBarrier(context.Background())))
	// Output:
	// <nil>
	// not_leader
}
