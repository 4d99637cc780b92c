package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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

// Ports are the same on all hosts of a deployment, which have addresses of their own.
const (
	frontendPort  = 8740
	readinessPort = 8749
	controlPort   = 8748
	internalPort  = 7200
	metricsPort   = 9464
	enginePort    = 8080
)

// deployment is a small deployment on loopback addresses.
type deployment struct {
	*record
	folder string
	binary string
	// subnet is the second octet of all addresses.
	subnet int
	// Hubs and entries are the numbers of hosts. Limits are those of the entries.
	hubs, entries int
	limits        map[string]any
	tolerated     int

	mu        sync.Mutex
	processes map[string]*process
	engines   []*engine
	closed    bool
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// newDeployment returns a deployment without hosts, on a subnet whose ports are free.
func newDeployment(r *record) (*deployment, error) {
	binary, err := filepath.Abs(filepath.Join(filepath.Dir(os.Args[0]), "turmericdrum"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder, binary: binary, hubs: 3, entries: 1, tolerated: 1, processes: map[string]*process{},
		limits: map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}}
	for i := range 200 {
		d.subnet = 20 + (os.Getpid()+i)%200
		if d.free() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free ports on loopback addresses")
}

// free reports whether the ports of the first hosts are free.
func (d *deployment) free() bool {
	for host := range 12 {
		for _, port := range []int{frontendPort, readinessPort, controlPort, internalPort, metricsPort, enginePort} {
			l, err := net.Listen("tcp", d.address(host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) ip(host int) string { return fmt.Sprintf("127.%d.0.%d", d.subnet, host+1) }

func (d *deployment) address(host, port int) string {
	return net.JoinHostPort(d.ip(host), strconv.Itoa(port))
}

// control returns the control plane address of a hub, and frontend that of an entry for clients.
func (d *deployment) control(hub int) string    { return d.address(hub, controlPort) }
func (d *deployment) frontend(entry int) string { return d.address(d.hubs+entry, frontendPort) }

// hubName and entryName return the names of processes.
func hubName(i int) string   { return "hub-" + strconv.Itoa(i) }
func entryName(i int) string { return "entry-" + strconv.Itoa(i) }

var zones = []string{"norr-a", "mitt-a", "syd-a"}

func regionOf(zone string) string { return zone[:len(zone)-2] }

// settings writes the settings file of a host and returns its path.
func (d *deployment) settings(host int, class string, bootstrap bool) (string, error) {
	zone := zones[host%len(zones)]
	if d.entries == 1 && host == d.hubs {
		zone = zones[0]
	}
	limits := d.limits
	listen := map[string]string{"frontend": d.address(host, frontendPort), "readiness": d.address(host, readinessPort)}
	serves := []string{"edge"}
	var dataDir any
	if class == "core" {
		limits = map[string]any{"cpu_share": 0.96, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128}
		listen = map[string]string{"control_plane": d.address(host, controlPort)}
		serves = []string{"control_plane"}
		dataDir = filepath.Join(d.folder, "data-"+strconv.Itoa(host))
	}
	var seeds []string
	for i := range min(3, d.hubs) {
		seeds = append(seeds, d.control(i))
	}
	b, err := json.MarshalIndent(map[string]any{
		"node_name": class + "-" + strconv.Itoa(host), "role": class, "machine_class": class, "serves": serves, "ip": d.ip(host), "zone": zone, "region": regionOf(zone),
		"zones":  map[string]string{"norr-a": "norr", "mitt-a": "mitt", "syd-a": "syd"},
		"listen": listen, "internal_port_range": []int{internalPort, internalPort + 15}, "seeds": seeds, "bootstrap": bootstrap, "counts_as_loss": class == "core",
		"limits": limits, "data_dir": dataDir, "discovery": "registration", "entry": "virtual_ip", "heartbeat_interval_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places"},
		"fault_tolerance": map[string]int{"machines": d.tolerated, "zones": 1, "regions": 1},
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "max_skew_ms": 6000, "fail_closed": false, "revoke_ms": 5000,
			"retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_allowance": 52, "cold_overshoot": 1.5, "cold_allowance": 5, "evacuate_ms": 5000,
			"recovery_s": 12, "iteration_ms": 250, "reuse_window_s": 4.4},
		"config_mode": "highest",
	}, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(d.folder, fmt.Sprintf("settings-%d.json", host))
	return path, os.WriteFile(path, b, 0o600)
}

// startHub and startEntry start a process of a host.
func (d *deployment) startHub(i int, bootstrap bool) error {
	path, err := d.settings(i, "core", bootstrap)
	if err != nil {
		return err
	}
	return d.start(hubName(i), "hub", path)
}

func (d *deployment) startEntry(i int) error {
	path, err := d.settings(d.hubs+i, "edge", false)
	if err != nil {
		return err
	}
	return d.start(entryName(i), "gateway", path)
}

func (d *deployment) start(name, command, settings string) error {
	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.binary, command, "--metrics-port", strconv.Itoa(metricsPort))
	cmd.Env = append(os.Environ(), "TURMERICDRUM_BOOT="+settings, "GOMAXPROCS=2")
	cmd.Stdout, cmd.Stderr = log, log
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return fmt.Errorf("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	d.processes[name] = p
	go func() {
		err := cmd.Wait()
		d.note("process %s ended: %v", name, err)
		_ = log.Close()
		close(p.done)
	}()
	return nil
}

// signal sends a signal to a process, and reports whether it still runs.
func (d *deployment) signal(name string, s syscall.Signal) bool {
	d.mu.Lock()
	p := d.processes[name]
	d.mu.Unlock()
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
	}
	return p.cmd.Process.Signal(s) == nil
}

// kill kills a process and waits for its end.
func (d *deployment) kill(name string) {
	d.signal(name, syscall.SIGKILL)
	d.mu.Lock()
	p := d.processes[name]
	d.mu.Unlock()
	if p != nil {
		<-p.done
	}
}

// close ends all processes and engines, and removes the folder unless KEEP is set.
func (d *deployment) close() {
	d.mu.Lock()
	d.closed = true
	var names []string
	for name := range d.processes {
		names = append(names, name)
	}
	engines := d.engines
	d.mu.Unlock()
	for _, e := range engines {
		e.stop()
	}
	for _, name := range names {
		d.kill(name)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println(d.folder)
	}
}

// startAll starts all hosts for the first time, puts the manifest and waits until every entry is
// ready.
func (d *deployment) startAll(manifest map[string]any) error {
	for i := range d.hubs {
		if err := d.startHub(i, true); err != nil {
			return err
		}
	}
	for i := range d.entries {
		if err := d.startEntry(i); err != nil {
			return err
		}
	}
	if err := d.put(manifest, 20*time.Second); err != nil {
		return err
	}
	for i := range d.entries {
		if err := d.awaitReady(i, 10*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// call sends a request of the operator or of an engine to a hub. It follows redirects twice.
func (d *deployment) call(hub int, method, path string, body []byte) (status int, answer []byte, err error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	target := "http://" + d.control(hub) + path
	for range 3 {
		r, err := http.NewRequest(method, target, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		r.Header.Set("Content-Type", "application/json")
		res, err := client.Do(r)
		if err != nil {
			return 0, nil, err
		}
		answer, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil {
			return res.StatusCode, nil, err
		}
		status = res.StatusCode
		if status != http.StatusTemporaryRedirect {
			break
		}
		target = res.Header.Get("Location")
	}
	return status, answer, nil
}

// put sends a manifest until a hub acknowledges it.
func (d *deployment) put(manifest map[string]any, within time.Duration) error {
	b, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(within)
	for hub := 0; time.Now().Before(deadline); hub++ {
		status, _, err := d.call(hub%d.hubs, http.MethodPut, "/-/config", b)
		if err == nil && status/100 == 2 {
			d.note("manifest %v acknowledged by way of hub %d", manifest["version"], hub%d.hubs)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("manifest %v was not acknowledged within %v", manifest["version"], within)
}

// awaitReady waits until the readiness check of an entry is answered with 200.
func (d *deployment) awaitReady(entry int, within time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		res, err := client.Get("http://" + d.address(d.hubs+entry, readinessPort) + "/-/readyz")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("entry %d is not ready after %v", entry, within)
}

// Names in the manifest.
const (
	hostName     = "ficu95.example"
	modelService = "draftsman"
	plainService = "orderdesk"
	tenant       = "huka270"
	apiKey       = "xd9dnn2ctnfzs989anu6"
	streamPath   = "/pufi791/x"
	lookupPath   = "/lohu930/x"
	orderPath    = "/pule252/x"
)

// manifest returns a manifest with a route for each kind of request.
func manifest(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target, attempts int) map[string]any {
		return map[string]any{"name": name, "host": hostName, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout, "target_latency_ms": target, "priority": 1,
			"service": service, "max_attempts": attempts, "public": false, "session_affinity": kind == "streaming", "stream_resume": false, "itl_target_ms": 180,
			"allowed_regions": []string{}}
	}
	return map[string]any{"version": version,
		"routes": []any{route("r-stream", "/pufi791/", "streaming", modelService, 39000, 1800, 1), route("r-look", "/lohu930/", "idempotent", plainService, 5000, 300, 2),
			route("r-order", "/pule252/", "non_idempotent", plainService, 5000, 300, 1)},
		"services": []any{
			map[string]any{"name": modelService, "health_path": "/healthz", "max_connections": 272, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
				"engine": map[string]any{"slots": 24, "kv_capacity_tokens": 34393, "kv_bytes": 327680, "link_mbps": 47000, "moves": true, "backups": true, "stride": 4,
					"most": 12, "pin_ms": 4000, "hold_ms": 2000, "handle_ttl_s": 5, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": plainService, "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}, "priority": 1, "allowed_regions": []string{}}}}
}
