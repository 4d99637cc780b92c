package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Names in the manifest.
const (
	modelService = "huvo11a"
	plainService = "wuno96b"
	routeHost    = "ficu95.example"
	streamPath   = "/lohu930/2f"
	shortPath    = "/pufi791/2f"
	orderPath    = "/pule252/2f"
	lookupPath   = "/puxa403/2f"
	tenant       = "huka270"
	apiKey       = "xd9dnn2ctnfzs989anu6"
)

var zones = []string{"norr-a", "mitt-a", "syd-a"}

// deployment is a small installation on loopback addresses: one hub and, if there are so many
// entries, one entry in each zone.
type deployment struct {
	folder string
	// entryMemoryMB is the memory of the entry hosts in MiB.
	entryMemoryMB int
	subnet        string
	ports         ports
	record        *record
	hubs          []*process
	entries       []*process
	client        *http.Client
}

// ports are the same on all machines.
type ports struct{ frontend, readiness, control, internal, metrics int }

// process is one of the programs under test.
type process struct {
	cmd *exec.Cmd
	ip  string
	log *os.File
}

const hubCount = 3

// usualMemoryMB is the memory of an entry host in MiB where the case doesn't depend on it.
const usualMemoryMB = 284

// startDeployment starts the hubs and the entries, and sends the manifest. It returns once all
// entries are ready.
func startDeployment(rec *record, entries, entryMemoryMB int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, entryMemoryMB: entryMemoryMB, record: rec, client: &http.Client{Timeout: time.Second}}
	d.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	if err := d.choosePorts(hubCount + entries); err != nil {
		return d, err
	}
	for i := range hubCount {
		p, err := d.start("hub", i)
		if err != nil {
			return d, err
		}
		d.hubs = append(d.hubs, p)
	}
	for i := range entries {
		p, err := d.start("gateway", hubCount+i)
		if err != nil {
			return d, err
		}
		d.entries = append(d.entries, p)
	}
	if err := d.putManifest(1); err != nil {
		return d, err
	}
	return d, d.awaitReady(20 * time.Second)
}

func (d *deployment) ip(machine int) string { return d.subnet + "." + strconv.Itoa(machine+1) }

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// choosePorts finds ports that are free on all machines.
func (d *deployment) choosePorts(machines int) error {
	for range 50 {
		base := 20000 + rand.IntN(10000)
		d.ports = ports{frontend: base, readiness: base + 1, control: base + 2, internal: base + 3, metrics: base + 30}
		if d.portsFree(machines) {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (d *deployment) portsFree(machines int) bool {
	for m := range machines {
		for _, port := range []int{d.ports.frontend, d.ports.readiness, d.ports.control, d.ports.internal, d.ports.metrics} {
			l, err := net.Listen("tcp", address(d.ip(m), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// settings returns the settings file of a machine, with the fields of the platform's pages.
func (d *deployment) settings(role string, machine int) map[string]any {
	ip := d.ip(machine)
	zone := zones[machine%len(zones)]
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = z[:len(z)-2]
	}
	var seeds []string
	for i := range hubCount {
		seeds = append(seeds, address(d.ip(i), d.ports.control))
	}
	s := map[string]any{
		"node_name": role + "-" + strconv.Itoa(machine), "ip": ip, "zone": zone, "region": regions[zone], "zones": regions,
		"internal_port_range": []int{d.ports.internal, d.ports.internal + 15}, "seeds": seeds, "bootstrap": true,
		"discovery": "registration", "entry": "virtual_ip", "heartbeat_interval_ms": 1200, "config_mode": "highest",
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 1},
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_ms": 2500,
			"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "max_skew_ms": 6000, "fail_closed": false,
			"revoke_ms": 5000, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_allowance": 52, "cold_overshoot": 1.5, "cold_allowance": 5,
			"evacuate_ms": 5000, "recovery_s": 12, "iteration_ms": 250, "reuse_window_s": 4.4},
	}
	if role == "hub" {
		s["machine_class"], s["serves"], s["counts_as_loss"] = "core", []string{"control_plane"}, true
		s["listen"] = map[string]string{"control_plane": address(ip, d.ports.control)}
		s["limits"] = map[string]any{"cpu_share": 0.96, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128}
		s["data_dir"] = filepath.Join(d.folder, "data-"+strconv.Itoa(machine))
		return s
	}
	s["machine_class"], s["serves"], s["counts_as_loss"] = "edge", []string{"edge"}, false
	s["listen"] = map[string]string{"frontend": address(ip, d.ports.frontend), "readiness": address(ip, d.ports.readiness)}
	s["limits"] = map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": d.entryMemoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	s["data_dir"] = nil
	return s
}

// start starts a program with the command of the deploy file.
func (d *deployment) start(role string, machine int) (*process, error) {
	b, err := json.Marshal(d.settings(role, machine))
	if err != nil {
		return nil, err
	}
	if role == "hub" {
		if err := os.MkdirAll(filepath.Join(d.folder, "data-"+strconv.Itoa(machine)), 0o700); err != nil {
			return nil, err
		}
	}
	path := filepath.Join(d.folder, fmt.Sprintf("settings-%d.json", machine))
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.folder, fmt.Sprintf("%s-%d.log", role, machine)))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("target/turmericdrum", role, "--metrics-port", strconv.Itoa(d.ports.metrics))
	cmd.Env = append(os.Environ(), "TURMERICDRUM_BOOT="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	started.add(cmd.Process)
	return &process{cmd: cmd, ip: d.ip(machine), log: log}, nil
}

func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
	_ = p.log.Close()
}

// close ends all processes. The folder is kept if KEEP is set.
func (d *deployment) close() {
	for _, p := range append(d.hubs, d.entries...) {
		p.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
		return
	}
	fmt.Fprintln(os.Stderr, "folder kept:", d.folder)
}

// controlAddresses returns the addresses of all hubs for engines and operators.
func (d *deployment) controlAddresses() []string {
	var out []string
	for i := range hubCount {
		out = append(out, address(d.ip(i), d.ports.control))
	}
	return out
}

// frontend returns the address of an entry for callers.
func (d *deployment) frontend(entry int) string {
	return address(d.entries[entry].ip, d.ports.frontend)
}

// manifest returns the manifest of a version. It is that of the pages' example.
func manifest(version int) []byte {
	route := func(name, prefix, kind, service string, timeoutMS, targetMS, attempts int) map[string]any {
		return map[string]any{"name": name, "host": routeHost, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMS, "target_latency_ms": targetMS,
			"priority": 1, "service": service, "max_attempts": attempts, "public": false, "session_affinity": kind == "streaming", "stream_resume": false,
			"itl_target_ms": 180, "allowed_regions": []string{}}
	}
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{route("r-px5pa2y", "/lohu930/", "streaming", modelService, 39000, 1800, 1), route("r-hvz3pfi", "/pufi791/", "streaming", modelService, 6000, 1500, 1),
			route("r-a", "/pule252/", "non_idempotent", plainService, 1000, 300, 1),
			route("r-b", "/puxa403/", "idempotent", plainService, 1000, 300, 2)},
		"services": []any{
			map[string]any{"name": modelService, "health_path": "/healthz", "max_connections": 1372, "protocol": "h1", "tls": false, "cold_start_s": 1.0, "cold_per_s": 40.0,
				"engine": map[string]any{"slots": 24, "kv_capacity_tokens": 34393, "kv_bytes": 327680, "link_mbps": 47000.0, "moves": true, "backups": true, "stride": 4,
					"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0, "models": []any{map[string]string{"name": "m"}}}},
			map[string]any{"name": plainService, "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}, "priority": 1, "allowed_regions": []string{}}},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// putManifest sends a manifest to one hub after another until it is acknowledged.
func (d *deployment) putManifest(version int) error {
	deadline := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		status, err := d.call(http.MethodPut, "http://"+d.controlAddresses()[i%hubCount]+"/-/config", manifest(version))
		if err == nil && status == http.StatusOK {
			d.record.printf("operator: manifest %d acknowledged", version)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("no hub acknowledged the manifest")
}

// call sends a request to a hub and follows redirects.
func (d *deployment) call(method, url string, body []byte) (int, error) {
	return callHub(d.client, method, url, body)
}

func callHub(c *http.Client, method, url string, body []byte) (int, error) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Body.Close()
}

// awaitReady waits until all entries are ready.
func (d *deployment) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, p := range d.entries {
		for {
			res, err := d.client.Get("http://" + address(p.ip, d.ports.readiness) + "/-/readyz")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.New("an entry is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}
