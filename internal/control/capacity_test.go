package control_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/control"
	"turmericdrum.org/turmericdrum/internal/control/controltest"
	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

// processorTime returns the CPU time of this process, which varies less with other
// load on the machine than elapsed time does.
func processorTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkPoll measures the polls of many entries over loopback while the view does
// not change. The CPU time includes that of the client.
func BenchmarkPoll(b *testing.B) {
	for _, entries := range []int{7, 70, 700, 1300} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			m, err := registry.New(registry.Config{Schemes: []string{"catalog"}})
			assert.NilError(b, err)
			log := &controltest.Log{Machine: m}
			s := &control.Server{Log: log, Replica: log, Machine: m, ClusterKey: rpc.HashKey("cluster")}
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			set := &schema.SetEntries{}
			for i := range entries {
				set.Entries = append(set.Entries, &schema.ListedEntry{Host: fmt.Sprintf("entry-%04d", i), Address: "10.0.0.1:7000", DataCentre: "dc-1", Region: "r-1", Incarnation: "1796357578480000000"})
			}
			cmd, err := proto.Marshal(&schema.Command{Body: &schema.Command_SetEntries{SetEntries: set}})
			assert.NilError(b, err)
			_, err = log.Propose(context.Background(), cmd)
			assert.NilError(b, err)
			client := schema.NewViewsProtobufClient(server.URL, rpc.HTTPClient("cluster", nil))
			n := 0
			poll := func() {
				n++
				host := set.Entries[n%entries]
				_, err := client.GetView(context.Background(), &schema.ViewRequest{Entry: host.Host, Address: host.Address, DataCentre: host.DataCentre, EntriesEpoch: 1})
				assert.NilError(b, err)
			}
			poll()
			runtime.GC()
			began := processorTime()
			for b.Loop() {
				poll()
			}
			b.ReportMetric(float64((processorTime()-began).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(proto.Size(m.Entries())), "list-bytes")
		})
	}
}
