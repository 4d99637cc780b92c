package control_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"time"

	"turmericdrum.org/turmericdrum/internal/control"
	"turmericdrum.org/turmericdrum/internal/control/controltest"
	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

func Example() {
	machine, err := registry.New(registry.Config{Schemes: []string{"legacy"}})
	if err != nil {
		fmt.Println(err)
		return
	}
	s := &control.Server{
		Log:          &controltest.Log{Machine: machine},
		Machine:      machine,
		BootstrapKey: rpc.HashKey("operator key"),
	}
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	c := &rpc.Client{Addresses: []string{srv.URL}, Key: "operator key"}
	res, err := c.Apply(context.Background(), &schema.Change{
		CommandId:  "1",
		IssuedAtMs: time.Now().UnixMilli(),
		Action: &schema.Change_Put{Put: &schema.Object{
			Kind: schema.ObjectKind_OBJECT_KIND_DATA_CENTRE,
			Id:   "leon-1",
			Spec: &schema.Object_DataCentre{DataCentre: &schema.DataCentre{Region: "leon"}},
		}},
	})
	fmt.Println(res.GetOutcome(), res.GetRevision(), err)
	// Output: OUTCOME_ACCEPTED 1 <nil>
}
