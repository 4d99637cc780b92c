package crowd_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/crowd"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	clusterKey  = "cluster-key"
	operatorKey = "operator-key"
	callerKey   = "caller-key"
	// ownBody is the default limit of bodies.
	ownBody = 1 << 20
)

// ownDeployment is a control process, an entry and an engine of the project's own interface.
type ownDeployment struct{ control, entry, engine string }

func newOwnDeployment(subnet int) *ownDeployment {
	address := func(host int) string { return fmt.Sprintf("127.%d.0.%d:8750", subnet, host) }
	return &ownDeployment{control: address(1), entry: address(2), engine: address(3)}
}

// startOwn starts a process with settings.
func startOwn(t *testing.T, s *settings.Settings, args ...string) *process {
	t.Helper()
	b, err := yaml.Marshal(s)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, b, 0o600))
	return startProgram(t, nil, "turmericdrum", append(args, "--settings", path)...)
}

func (d *ownDeployment) settings(name, address string) *settings.Settings {
	return &settings.Settings{Host: serving.HostID(name), DataCentre: "dc-a", Region: "region-a", Listen: settings.Address(address), ClusterKey: clusterKey,
		Limits: settings.Limits{MemoryMB: memoryMB, MaxFDs: maxDescriptors}}
}

// startControl starts a control process with a data folder of its own and puts what the entry
// needs.
func (d *ownDeployment) startControl(t *testing.T) *process {
	t.Helper()
	s, hash := d.settings("control", d.control), sha256.Sum256([]byte(operatorKey))
	s.Control = &settings.Control{Data: t.TempDir(), OperatorKeyHash: hex.EncodeToString(hash[:]), Replicas: []settings.Replica{{Host: s.Host, Address: s.Listen}}}
	p := startOwn(t, s, "control", "--bootstrap")
	key := sha256.Sum256([]byte(callerKey))
	for _, o := range []*schema.Object{
		{Kind: schema.ObjectKind_OBJECT_KIND_MODEL, Id: "guide", Spec: &schema.Object_Model{Model: &schema.Model{Versions: []*schema.ModelVersion{{Version: "1", Share: 1}}}}},
		{Kind: schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, Id: "bench", Spec: &schema.Object_ClientAccount{ClientAccount: &schema.ClientAccount{Weight: 1, KeyHashes: [][]byte{key[:]}}}},
		{Kind: schema.ObjectKind_OBJECT_KIND_DATA_CENTRE, Id: "dc-a", Spec: &schema.Object_DataCentre{DataCentre: &schema.DataCentre{Region: "region-a"}}},
	} {
		eventually(t, "put "+o.Id, func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			res, err := d.operators().Apply(ctx, &schema.Change{CommandId: "put-" + o.Id, Operator: "op", IssuedAtMs: time.Now().UnixMilli(), Action: &schema.Change_Put{Put: o}})
			if err == nil && res.Outcome != schema.Outcome_OUTCOME_ACCEPTED {
				err = fmt.Errorf("%v %s", res.Outcome, res.Message)
			}
			return err
		})
	}
	return p
}

func (d *ownDeployment) startEntry(t *testing.T) *process {
	t.Helper()
	s := d.settings("entry", d.entry)
	s.Entry = &settings.Entry{Control: []settings.Address{settings.Address(d.control)}}
	// The requests of a crowd end soon after it.
	s.Entry.QueueTimeout.Duration = time.Second
	// A new entry waits until the slots and views of the one before have expired.
	s.Entry.ViewLease.Duration, s.Entry.ViewPoll.Duration, s.Entry.SlotTTL.Duration = 500*time.Millisecond, 100*time.Millisecond, 200*time.Millisecond
	return startOwn(t, s, "entry")
}

// bearer sends a key with each request.
type bearer string

// RoundTrip implements http.RoundTripper.
func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+string(b))
	return http.DefaultTransport.RoundTrip(r)
}

func (d *ownDeployment) operators() schema.Operators {
	return schema.NewOperatorsProtobufClient("http://"+d.control, &http.Client{Transport: bearer(operatorKey)})
}

func (d *ownDeployment) askControl() error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := d.operators().Read(ctx, &schema.ReadRequest{Kind: schema.ObjectKind_OBJECT_KIND_MODEL, Name: "guide"})
	return err
}

func (d *ownDeployment) callEntry() error {
	client := &http.Client{Transport: bearer(callerKey), Timeout: 5 * time.Second}
	res, err := client.Post("http://"+d.entry+"/v1/completions", "application/json", bytes.NewReader([]byte(`{"model":"guide","prompt":"p","test_length":3}`)))
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

func ownTarget(name, address, method, path, key, contentType string) crowd.Target {
	return crowd.Target{Name: name, Address: address, Method: method, Path: path, Body: ownBody,
		Header: "Host: own\r\nAuthorization: Bearer " + key + "\r\nContent-Type: " + contentType + "\r\n"}
}

// Guards against an entry of the project's own interface that runs out of memory or descriptors,
// or serves nobody any more, because of callers outside the limits.
func TestOwnEntry(t *testing.T) {
	d := newOwnDeployment(234)
	d.startControl(t)
	startProgram(t, nil, "standin-engine", "--name", "engine-1", "--data-centre", "dc-a", "--listen", d.engine, "--entry", d.entry, "--cluster-key", clusterKey,
		"--model", "guide@1", "--cold-for", "-1s", "--step-base", "1ms", "--step-sequence", "1us", "--grace", "100ms", "--max-running", "1024", "--memory-blocks", "100000")
	target := func(name, method, path, key string) crowd.Target {
		return ownTarget(name, d.entry, method, path, key, "application/json")
	}
	completions := target("completions", http.MethodPost, "/v1/completions", callerKey)
	completions.Content = `{"model":"guide","prompt":"p","stream":true,"test_length":400}`
	l := &listener{start: d.startEntry, kept: true, ordinary: d.callEntry, ready: func() error { return statusOf("http://" + d.entry + "/readyz") }}
	l.targets = []crowd.Target{completions, target("no route", http.MethodPost, "/none", callerKey), target("unknown key", http.MethodPost, "/v1/completions", "none"), target("readiness path", http.MethodGet, "/readyz", callerKey)}
	l.run(t)
}

// Guards against the same at a control process of the project's own interface.
func TestOwnControl(t *testing.T) {
	d := newOwnDeployment(235)
	target := func(name, method, path, key string) crowd.Target {
		return ownTarget(name, d.control, method, path, key, "application/protobuf")
	}
	l := &listener{start: d.startControl, ordinary: d.askControl, ready: func() error { return statusOf("http://" + d.control + "/readyz") }}
	l.targets = []crowd.Target{
		target("change", http.MethodPost, schema.OperatorsPathPrefix+"Apply", operatorKey), target("no route", http.MethodPost, "/none", operatorKey),
		target("unknown key", http.MethodPost, schema.LogPathPrefix+"Deliver", "none"), target("readiness path", http.MethodGet, "/readyz", operatorKey),
	}
	l.run(t)
}
