package registry_test

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

func Example() {
	m, err := registry.New(registry.Config{Schemes: []string{"catalog", "legacy", "site"}})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).UnixMilli()
	apply := func(c *schema.Change) {
		c.IssuedAtMs = now
		b, _ := proto.Marshal(&schema.Command{NowMs: now, Body: &schema.Command_Change{Change: c}})
		var res schema.CommandResult
		_ = proto.Unmarshal(m.Apply(1, b), &res)
		fmt.Println(res.GetChange().GetOutcome(), res.GetChange().GetRevision())
	}
	leon := &schema.Object{
		Kind: schema.ObjectKind_OBJECT_KIND_DATA_CENTRE,
		Id:   "leon-1",
		Spec: &schema.Object_DataCentre{DataCentre: &schema.DataCentre{Region: "leon"}},
	}
	alias := &schema.Alias{Scheme: "legacy", Name: "BJX", Kind: leon.GetKind(), Target: "leon-1"}
	apply(&schema.Change{CommandId: "1", Action: &schema.Change_Put{Put: leon}})
	apply(&schema.Change{CommandId: "1", Action: &schema.Change_Put{Put: leon}})
	apply(&schema.Change{CommandId: "2", Action: &schema.Change_PutAlias{PutAlias: alias}})
	apply(&schema.Change{CommandId: "3", ExpectedRevision: 1, Action: &schema.Change_TakeOut{
		TakeOut: &schema.ObjectName{Kind: leon.GetKind(), Name: "BJX"},
	}})
	view, err := registry.NewView(m.ConfigView(0))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(view.DataCentreOut("BJX"))
	// Output:
	// OUTCOME_ACCEPTED 1
	// OUTCOME_ACCEPTED 1
	// OUTCOME_ACCEPTED 2
	// OUTCOME_ACCEPTED 3
	// true
}
