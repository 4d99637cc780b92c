package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/schema"
)

// servingFleet has one control replica, two entries, one model engine and two
// engines of a plain service that share their record.
type servingFleet struct {
	*fleet
	entries  []*process
	services []*process
	record   string
}

func startServing(t *testing.T) *servingFleet {
	t.Helper()
	f := &servingFleet{fleet: newFleet(t)}
	control := freeAddress(t)
	cs := &settings.Settings{
		Host: "control-1", DataCentre: "dc-a", Region: "region-a", Listen: settings.Address(control), ClusterKey: clusterKey,
		Control: &settings.Control{
			Data: f.dir + "/control-1", OperatorKeyHash: hexHash(operatorKey),
			Replicas: []settings.Replica{{Host: "control-1", Address: settings.Address(control)}},
		},
	}
	f.start("control-1", control, "turmericdrum", "control", "--bootstrap", "--settings", f.writeSettings("control-1", cs))
	addresses := []string{freeAddress(t), freeAddress(t)}
	for i, a := range addresses {
		name := fmt.Sprintf("entry-%d", i+1)
		s := f.entrySettings(name, a, []string{control}, addresses[1-i])
		f.entries = append(f.entries, f.start(name, a, "turmericdrum", "entry", "--settings", f.writeSettings(name, s)))
	}
	f.record = f.dir + "/record.jsonl"
	common := []string{"--data-centre", "dc-a", "--entry", addresses[0], "--entry", addresses[1], "--cluster-key", clusterKey}
	f.start("engine-1", "", "standin-engine", append(common, "--name", "engine-1", "--model", "guide@1", "--cold-for", "-1s")...)
	for i := range 2 {
		name, a := fmt.Sprintf("stylus-%d", i+1), freeAddress(t)
		f.services = append(f.services, f.start(name, a, "standin-engine", append(common, "--name", name, "--listen", a,
			"--kind", "service", "--service", "stylus", "--latency", "200ms", "--record", f.record)...))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	op := operator(control)
	eventually(t, "operator's changes", 20*time.Second, func() error {
		_, err := putBasics(ctx, op)
		return err
	})
	service := &schema.Object{Kind: schema.ObjectKind_OBJECT_KIND_SERVICE, Id: "stylus", Spec: &schema.Object_Service{Service: &schema.Service{LookupPath: "/v1/calls/{key}"}}}
	res, err := op.Apply(ctx, &schema.Change{CommandId: "put-stylus", Operator: "op", IssuedAtMs: time.Now().UnixMilli(), Action: &schema.Change_Put{Put: service}})
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome, schema.Outcome_OUTCOME_ACCEPTED, res.Message)
	for i, e := range f.entries {
		eventually(t, "entry serves orders", 20*time.Second, func() error {
			return f.order(e, fmt.Sprintf("warm-%d", i))
		})
		eventually(t, "entry serves answers", 20*time.Second, func() error {
			a, err := complete(ctx, e.address, callerKey, map[string]any{"model": "guide", "stream": true, "test_length": 3})
			if err != nil {
				return err
			}
			return a.checkWhole(3)
		})
	}
	return f
}

// order sends an order and returns an error unless it is answered.
func (f *servingFleet) order(entry *process, key string) error {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+entry.address+"/v1/services/stylus/reserve", strings.NewReader("one"))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Idempotency-Key", key)
	a, err := readAnswer(r)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return fmt.Errorf("status %d: %s", a.status, a.body)
	}
	return nil
}

// runs counts the runs of an order in the services' record.
func (f *servingFleet) runs(key string) int {
	b, _ := os.ReadFile(f.record)
	n := 0
	for line := range strings.Lines(string(b)) {
		var ev standin.Event
		if json.Unmarshal([]byte(line), &ev) == nil && ev.Event == "call_ran" && ev.Key == "bench:"+key {
			n++
		}
	}
	return n
}

// Guards against an order that runs twice when it is sent to two entries at once,
// or when the service dies between the run and the answer.
func TestOrderAcrossProcesses(t *testing.T) {
	f := startServing(t)
	errs := make([]error, 8)
	var all sync.WaitGroup
	for i := range errs {
		all.Go(func() { errs[i] = f.order(f.entries[i%2], "race") })
	}
	all.Wait()
	for _, err := range errs {
		assert.NilError(t, err)
	}
	assert.Equal(t, f.runs("race"), 1)

	res, err := http.Post("http://"+f.services[0].address+"/v1/faults", "application/json", strings.NewReader(`{"fault":"die_after"}`))
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	for i := range 4 {
		key := fmt.Sprintf("dies-%d", i)
		assert.NilError(t, f.order(f.entries[0], key))
		assert.NilError(t, f.order(f.entries[1], key))
		assert.Equal(t, f.runs(key), 1)
	}
}

// Guards against a stream that cannot go on when its entry dies, and against a
// shutdown that cuts a stream.
func TestStreamSurvivesItsEntry(t *testing.T) {
	f := startServing(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const length = 400
	request := map[string]any{"model": "guide", "stream": true, "test_length": length}
	time.AfterFunc(2*time.Second, func() { f.entries[0].signal(syscall.SIGKILL) })
	before, err := complete(ctx, f.entries[0].address, callerKey, request)
	assert.Assert(t, err != nil && before != nil && len(before.frames) > 0, "the entry was not killed within the stream")
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.entries[1].address+"/v1/generations/resume", nil)
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Last-Event-ID", before.ids[len(before.frames)-1])
	after, err := readAnswer(r)
	assert.NilError(t, err)
	after.frames = append(before.frames, after.frames...)
	assert.NilError(t, after.checkWhole(length))

	time.AfterFunc(2*time.Second, func() { f.entries[1].signal(syscall.SIGTERM) })
	whole, err := complete(ctx, f.entries[1].address, callerKey, request)
	assert.NilError(t, err)
	assert.NilError(t, whole.checkWhole(length))
	select {
	case <-f.entries[1].exited:
		assert.Equal(t, f.entries[1].cmd.ProcessState.ExitCode(), 0)
	case <-time.After(20 * time.Second):
		t.Fatal("the entry did not end after its streams")
	}
}
