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

// servingFleet has one control replica, two entries, one model engine, and two engines
// of a plain service that write to the same record.
type servingFleet struct {
	*fleet
	entries    []*process
	services   []*process
	recordPath string
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
	f.recordPath = f.dir + "/record.jsonl"
	common := []string{"--data-centre", "dc-a", "--entry", addresses[0], "--entry", addresses[1], "--cluster-key", clusterKey}
	f.start("engine-1", "", "standin-engine", append(common, "--name", "engine-1", "--model", "guide@1", "--cold-for", "-1s")...)
	for i := range 2 {
		name, a := fmt.Sprintf("stylus-%d", i+1), freeAddress(t)
		f.services = append(f.services, f.start(name, a, "standin-engine", append(common, "--name", name, "--listen", a,
			"--kind", "service", "--service", "stylus", "--latency", "200ms", "--record", f.recordPath)...))
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
		eventually(t, "entry answers orders", 20*time.Second, func() error {
			return f.sendOrder(e, fmt.Sprintf("warm-%d", i))
		})
		eventually(t, "entry answers calls", 20*time.Second, func() error {
			a, err := complete(ctx, e.address, callerKey, map[string]any{"model": "guide", "stream": true, "test_length": 3})
			if err != nil {
				return err
			}
			return a.checkComplete(3)
		})
	}
	return f
}

// sendOrder sends an order and returns an error unless the answer has status 200.
func (f *servingFleet) sendOrder(entry *process, key string) error {
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

// runCount returns how often an order ran according to the services' record.
func (f *servingFleet) runCount(key string) int {
	b, _ := os.ReadFile(f.recordPath)
	n := 0
	for line := range strings.Lines(string(b)) {
		var ev standin.Event
		if json.Unmarshal([]byte(line), &ev) == nil && ev.Event == "call_ran" && ev.Key == "bench:"+key {
			n++
		}
	}
	return n
}

// Guards against an order that runs twice because it is sent to two entries
// concurrently, or because the service crashes between the run and the answer.
func TestOrderAcrossProcesses(t *testing.T) {
	f := startServing(t)
	errs := make([]error, 8)
	var wg sync.WaitGroup
	for i := range errs {
		wg.Go(func() { errs[i] = f.sendOrder(f.entries[i%2], "race") })
	}
	wg.Wait()
	for _, err := range errs {
		assert.NilError(t, err)
	}
	assert.Equal(t, f.runCount("race"), 1)

	res, err := http.Post("http://"+f.services[0].address+"/v1/faults", "application/json", strings.NewReader(`{"fault":"die_after"}`))
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	for i := range 4 {
		key := fmt.Sprintf("dies-%d", i)
		assert.NilError(t, f.sendOrder(f.entries[0], key))
		assert.NilError(t, f.sendOrder(f.entries[1], key))
		assert.Equal(t, f.runCount(key), 1)
	}
}

// Guards against a stream that cannot be resumed at another entry after its entry was
// killed, and against a graceful shutdown that interrupts a stream.
func TestStreamResumesAfterEntryKill(t *testing.T) {
	f := startServing(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const length = 400
	request := map[string]any{"model": "guide", "stream": true, "test_length": length}
	time.AfterFunc(2*time.Second, func() { f.entries[0].signal(syscall.SIGKILL) })
	before, err := complete(ctx, f.entries[0].address, callerKey, request)
	assert.Assert(t, err != nil && before != nil && len(before.frames) > 0, "the entry was not killed during the stream")
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.entries[1].address+"/v1/generations/resume", nil)
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Last-Event-ID", before.ids[len(before.frames)-1])
	after, err := readAnswer(r)
	assert.NilError(t, err)
	after.frames = append(before.frames, after.frames...)
	assert.NilError(t, after.checkComplete(length))

	time.AfterFunc(2*time.Second, func() { f.entries[1].signal(syscall.SIGTERM) })
	drained, err := complete(ctx, f.entries[1].address, callerKey, request)
	assert.NilError(t, err)
	assert.NilError(t, drained.checkComplete(length))
	select {
	case <-f.entries[1].exited:
		assert.Equal(t, f.entries[1].cmd.ProcessState.ExitCode(), 0)
	case <-time.After(20 * time.Second):
		t.Fatal("the entry did not exit after its streams had ended")
	}
}
