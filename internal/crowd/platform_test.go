package crowd_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/crowd"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/platform/standin"
)

const (
	// platformBody is the limit of bodies in the configuration.
	platformBody = 4 << 20
	// largeAnswer is the size of the long answers in bytes.
	largeAnswer = 1 << 20
	largePath   = "/look/large"
	largeStream = "/long/large"
)

// deployment is a hub and two engines, which serve the gateways and hubs under test.
type deployment struct {
	standin.Site
	fleet *standin.Fleet
}

func newDeployment(t *testing.T, subnet int) *deployment {
	t.Helper()
	d := &deployment{Site: standin.Site{Subnet: subnet, Hubs: 1, Entries: 1, Folder: t.TempDir()}, fleet: standin.NewFleet()}
	for i, service := range []string{standin.ModelService, standin.PlainService} {
		e, err := d.fleet.Start(standin.EngineConfig{ID: fmt.Sprint("e-", i), Service: service, Zone: "a", Listen: "127.0.0.1:0", Hubs: d.ControlAddresses(), Intercept: answerLarge})
		assert.NilError(t, err)
		t.Cleanup(e.Close)
	}
	return d
}

// answerLarge sends the long answers, as fast as the entry reads them.
func answerLarge(w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("X-Turmericdrum-Attempt-Id")
	switch r.URL.Path {
	case largePath:
		w.Header().Set("X-Turmericdrum-Attempt-Id", id)
		w.Header().Set("X-Turmericdrum-Response-Seal", standin.Signature(id))
		w.Header().Set("Content-Length", fmt.Sprint(largeAnswer))
		_, _ = w.Write(large)
	case largeStream:
		w.Header().Set("X-Turmericdrum-Attempt-Id", id)
		w.Header().Set("X-Turmericdrum-Response-Seal", standin.Signature(id))
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= largeAnswer/eventBytes; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, large[:eventBytes]); err != nil {
				break
			}
		}
	default:
		return false
	}
	return true
}

// eventBytes is the size of the events of long streams.
const eventBytes = 4 << 10

var large = []byte(strings.Repeat("x", largeAnswer))

// startHub starts the hub with a data folder of its own.
func (d *deployment) startHub(t *testing.T, lower bool) *process {
	t.Helper()
	d.Folder = t.TempDir()
	path, err := d.WriteHubSettings(0, true)
	if err == nil && lower {
		path, err = lowerLimits(path)
	}
	assert.NilError(t, err)
	p := startProgram(t, []string{standin.SettingsVariable + "=" + path}, "turmericdrum", "hub")
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	status, err := (&standin.Operator{Hubs: d.ControlAddresses()}).PutConfig(ctx, standin.ConfigDocument(1))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	return p
}

func (d *deployment) startGateway(t *testing.T) *process {
	t.Helper()
	path, err := d.WriteEntrySettings(0)
	if err == nil {
		path, err = lowerLimits(path)
	}
	assert.NilError(t, err)
	return startProgram(t, []string{standin.SettingsVariable + "=" + path}, "turmericdrum", "gateway")
}

func (d *deployment) readinessAddress() string {
	return strings.TrimSuffix(d.FrontendAddress(0), "8740") + "8749"
}

func (d *deployment) callEntry() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c := &standin.Caller{Address: d.FrontendAddress(0), Host: standin.RouteHost, Key: standin.APIKey, AnswerTimeout: 2 * time.Second}
	a := c.Do(ctx, http.MethodGet, fmt.Sprint("ordinary-", time.Now().UnixNano()), standin.LookupPath, nil)
	if a.Status != http.StatusOK || !a.Complete || a.Mismatch != "" {
		return fmt.Errorf("status %d, complete %v, %s: %w", a.Status, a.Complete, a.Mismatch, a.Err)
	}
	return nil
}

// callerHeader returns the header lines of an ordinary call.
func callerHeader(key string) string {
	return "Host: " + standin.RouteHost + "\r\nAuthorization: Bearer " + key + "\r\nX-Turmericdrum-Deadline-Ms: 10000\r\n"
}

// Guards against an entry that runs out of memory or descriptors, or serves nobody any more,
// because of callers whose requests are incomplete, too large, too many or too slow, also where
// no route, no key or no configuration limits them.
func TestGatewayCallers(t *testing.T) {
	d := newDeployment(t, 230)
	d.startHub(t, false)
	target := func(name, path, key string) crowd.Target {
		return crowd.Target{Name: name, Address: d.FrontendAddress(0), Method: http.MethodPost, Path: path, Header: callerHeader(key), Body: platformBody}
	}
	route, stream := target("route", standin.LookupPath, standin.APIKey), target("stream", standin.StreamPath, standin.APIKey)
	route.Large = largePath
	stream.Header += "X-Turmericdrum-Model: m\r\nX-Turmericdrum-Token-Usage: 100,4000\r\nX-Turmericdrum-Length-Hint: 4000\r\n"
	stream.Large = largeStream
	l := &listener{start: d.startGateway, ordinary: d.callEntry, ready: func() error { return statusOf("http://" + d.readinessAddress() + "/readyz") }}
	l.targets = []crowd.Target{route, stream, target("no route", "/none/x", standin.APIKey), target("unknown key", standin.OrderPath, "none"), target("readiness path", "/readyz", standin.APIKey)}
	l.run(t)
}

// Guards against the same at the readiness address of an entry, which has to answer the load
// balancer.
func TestGatewayReadiness(t *testing.T) {
	d := newDeployment(t, 231)
	d.startHub(t, false)
	l := &listener{start: d.startGateway, ordinary: d.callEntry, ready: func() error { return statusOf("http://" + d.readinessAddress() + "/readyz") }}
	l.targets = []crowd.Target{{Name: "readiness", Address: d.readinessAddress(), Method: http.MethodGet, Path: "/readyz", Header: "Host: a.example\r\n", Body: platformBody}}
	l.run(t)
}

// Guards against the same at the control address of a hub, which engines and operators use.
func TestHubControl(t *testing.T) {
	d := newDeployment(t, 232)
	target := func(name, method, path string) crowd.Target {
		return crowd.Target{Name: name, Address: d.ControlAddress(0), Method: method, Path: path, Header: "Host: hub\r\nContent-Type: application/json\r\n", Body: platformBody}
	}
	readConfig := func() error { return statusOf("http://" + d.ControlAddress(0) + "/-/config") }
	l := &listener{start: func(t *testing.T) *process { return d.startHub(t, true) }, ordinary: readConfig, ready: readConfig}
	l.targets = []crowd.Target{
		target("configuration", http.MethodPut, "/-/config"), target("engine", http.MethodPut, "/-/instances/e-9"),
		target("evacuation", http.MethodPost, "/-/evacuations/z"), target("unknown path", http.MethodPost, "/none"),
	}
	l.run(t)
}

// Guards against the same at the address at which a hub receives calls of other processes.
func TestHubInternal(t *testing.T) {
	d := newDeployment(t, 233)
	address := strings.TrimSuffix(d.ControlAddress(0), "8748") + "7200"
	target := func(name, path string) crowd.Target {
		return crowd.Target{Name: name, Address: address, Method: http.MethodPost, Path: path, Header: "Host: hub\r\nContent-Type: application/protobuf\r\n", Body: platformBody}
	}
	watch := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := schema.NewHubProtobufClient("http://"+address, http.DefaultClient).Watch(ctx, &schema.WatchRequest{Entry: "test", Incarnation: 1})
		return err
	}
	l := &listener{start: func(t *testing.T) *process { return d.startHub(t, true) }, ordinary: watch,
		ready: func() error { return statusOf("http://" + d.ControlAddress(0) + "/-/config") }}
	watching, delivering := target("watch", schema.HubPathPrefix+"Watch"), target("log", schema.LogPathPrefix+"Deliver")
	// An empty EngineUse and an empty LogMessage.
	watching.Fields, delivering.Fields = "\x3a\x00", "\x0a\x00"
	l.targets = []crowd.Target{watching, delivering, target("unknown path", "/none")}
	l.run(t)
}
