package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on every machine, as on the platform.
const (
	frontendPort  = "8740"
	readinessPort = "8749"
	controlPort   = "8748"
	internalPort  = 7200
	enginePort    = "8080"
	metricsPort   = "9464"
)

// program is the project's program, built by the deploy file.
const program = "target/turmericdrum"

// zoneNames are the zones of the deployment, each in a region of its own.
var zoneNames = []string{"norr-a", "mitt-a", "syd-a"}

func regionOf(zone string) string { return strings.TrimSuffix(zone, "-a") }

// deployment is a small deployment of the project's programs on loopback addresses, with
// stand-ins for everything else.
type deployment struct {
	trouble bool
	folder  string
	subnet  int
	start   time.Time
	guard   *guard
	// toleratedDisks is the number of machines with a disk that may be lost at once.
	toleratedDisks int

	mu     sync.Mutex
	record *os.File
	// processes holds every process that was started and has not been waited for.
	processes []*process
	hubs      []*process
	entries   []*process
	engines   map[string]*engineProcess
	links     []*link
	// runs holds what the engines have reported, in the order of arrival.
	runs []report
}

// process is one process that the driver started.
type process struct {
	name  string
	zone  string
	ip    string
	seeds []string
	cmd   *exec.Cmd
	ended chan struct{}
}

func newDeployment(record string, trouble bool) (*deployment, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{trouble: trouble, folder: folder, start: time.Now(), record: f, engines: map[string]*engineProcess{}, toleratedDisks: 1}
	if d.guard, err = startGuard(folder); err != nil {
		return nil, err
	}
	for range 50 {
		d.subnet = 20 + rand.IntN(200)
		if d.portsAreFree() {
			d.logf("trouble=%t addresses=127.%d.0.0/16", trouble, d.subnet)
			return d, nil
		}
	}
	d.close(true)
	return nil, fmt.Errorf("found no free loopback addresses")
}

// portsAreFree reports whether the addresses of the subnet that the programs use are free.
func (d *deployment) portsAreFree() bool {
	for _, ip := range []string{d.ip(1), d.ip(20), d.engineIP(1)} {
		for _, port := range []string{frontendPort, readinessPort, controlPort, fmt.Sprint(internalPort), enginePort, metricsPort} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) ip(n int) string       { return fmt.Sprintf("127.%d.0.%d", d.subnet, n) }
func (d *deployment) engineIP(n int) string { return fmt.Sprintf("127.%d.1.%d", d.subnet, n) }

// logf writes a line with the time since the start to the record.
func (d *deployment) logf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started and removes the folder. finished reports whether
// the case has returned, so that it starts no more.
func (d *deployment) close(finished bool) {
	defer d.guard.end(finished)
	d.mu.Lock()
	processes := d.processes
	links := d.links
	d.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, l := range links {
		l.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Fprintln(os.Stderr, "kept", d.folder)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.record.Close()
}

// launch starts a process.
func (d *deployment) launch(p *process, cmd *exec.Cmd) error {
	p.cmd = cmd
	if err := cmd.Start(); err != nil {
		return err
	}
	d.guard.started(cmd.Process.Pid)
	p.ended = make(chan struct{})
	go func() {
		_ = cmd.Wait()
		d.guard.ended(cmd.Process.Pid)
		close(p.ended)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes = append(d.processes, p)
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	select {
	case <-p.ended:
		return
	default:
	}
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// startSystem starts hubs and entries, one of each list entry's zone, and puts the manifest.
func (d *deployment) startSystem(hubZones, entryZones []string, manifest map[string]any) error {
	seeds := []string{}
	for i := range min(3, len(hubZones)) {
		seeds = append(seeds, net.JoinHostPort(d.ip(i+1), controlPort))
	}
	for i, zone := range hubZones {
		ip := d.ip(i + 1)
		p := &process{name: fmt.Sprintf("hub-%d", i+1), zone: zone, ip: ip, seeds: seeds}
		if err := d.startHub(p, true); err != nil {
			return err
		}
		d.hubs = append(d.hubs, p)
	}
	for i, zone := range entryZones {
		ip := d.ip(20 + i)
		p := &process{name: fmt.Sprintf("entry-%d", i+1), zone: zone, ip: ip, seeds: seeds}
		listen := map[string]string{"frontend": net.JoinHostPort(ip, frontendPort), "readiness": net.JoinHostPort(ip, readinessPort)}
		if err := d.startProgram(p, "gateway", "edge", listen, false, true); err != nil {
			return err
		}
		d.entries = append(d.entries, p)
	}
	return d.putManifest(manifest)
}

// startHub starts the program of a core machine, for the first time or again.
func (d *deployment) startHub(p *process, bootstrap bool) error {
	return d.startProgram(p, "hub", "core", map[string]string{"control_plane": net.JoinHostPort(p.ip, controlPort)}, true, bootstrap)
}

// dataFolder returns the folder that is the disk of a core machine.
func (d *deployment) dataFolder(p *process) string { return filepath.Join(d.folder, "data-"+p.name) }

func (d *deployment) startProgram(p *process, role, class string, listen map[string]string, disk, bootstrap bool) error {
	zones := map[string]string{}
	for _, zone := range zoneNames {
		zones[zone] = regionOf(zone)
	}
	var dataDir any
	limits := map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	if disk {
		folder := d.dataFolder(p)
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
		dataDir = folder
		limits["cpu_share"], limits["memory_mb"], limits["disk_mb"] = 0.96, 280, 128
	}
	settings := map[string]any{
		"node_name": p.name, "role": role, "machine_class": class, "serves": []string{map[string]string{"hub": "control_plane", "gateway": "edge"}[role]},
		"ip": p.ip, "zone": p.zone, "region": regionOf(p.zone), "zones": zones, "listen": listen,
		"internal_port_range": []int{internalPort, internalPort + 15}, "seeds": p.seeds, "bootstrap": bootstrap, "counts_as_loss": disk, "limits": limits,
		"data_dir": dataDir, "discovery": "registration", "entry": "virtual_ip", "heartbeat_interval_ms": heartbeatInterval.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places"},
		"fault_tolerance": map[string]int{"machines": d.toleratedDisks, "zones": 1, "regions": 1}, "config_mode": "highest",
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": graceTime.Seconds(),
			"loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "max_skew_ms": 6000, "fail_closed": false, "revoke_ms": 5000,
			"retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_allowance": 52, "cold_overshoot": 1.5, "cold_allowance": 5, "evacuate_ms": 5000,
			"recovery_s": 12, "iteration_ms": 250, "reuse_window_s": 4.4},
	}
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(d.folder, p.name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, role, "--metrics-port", metricsPort)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "TURMERICDRUM_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	return d.launch(p, cmd)
}

// Times of the deployment, from the sheet of klubba-order.
const (
	heartbeatInterval = 1200 * time.Millisecond
	graceTime         = 8 * time.Second
	startLimit        = 20 * time.Second
)

// controlAddresses are the control plane addresses of the hubs.
func (d *deployment) controlAddresses() (out []string) {
	for _, h := range d.hubs {
		out = append(out, net.JoinHostPort(h.ip, controlPort))
	}
	return out
}

// putManifest sends the manifest like an operator: to one hub after the other, until one
// acknowledges it.
func (d *deployment) putManifest(manifest map[string]any) error {
	return d.putManifestWithin(manifest, startLimit)
}

func (d *deployment) putManifestWithin(manifest map[string]any, limit time.Duration) error {
	body, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(100 * time.Millisecond) {
		for _, address := range d.controlAddresses() {
			r, err := http.NewRequest(http.MethodPut, "http://"+address+"/-/config", bytes.NewReader(body))
			if err != nil {
				return err
			}
			res, err := client.Do(r)
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				d.logf("manifest %v acknowledged", manifest["version"])
				return nil
			}
			if res.StatusCode/100 == 4 {
				return fmt.Errorf("the manifest was answered %d", res.StatusCode)
			}
		}
	}
	return fmt.Errorf("no hub acknowledged the manifest")
}

// readManifest reads the manifest from each hub and returns the highest version that one
// answered, 0 if none did.
func (d *deployment) readManifest() (version uint64) {
	client := &http.Client{Timeout: time.Second}
	for _, address := range d.controlAddresses() {
		res, err := client.Get("http://" + address + "/-/config")
		if err != nil {
			d.logf("operator GET /-/config at %s: %v", address, err)
			continue
		}
		var in struct {
			Version uint64 `json:"version"`
		}
		err = json.NewDecoder(res.Body).Decode(&in)
		_ = res.Body.Close()
		d.logf("operator GET /-/config at %s: status %d, version %d, err=%v", address, res.StatusCode, in.Version, err)
		if res.StatusCode == http.StatusOK {
			version = max(version, in.Version)
		}
	}
	return version
}

// engineProcess is a stand-in engine and the process that runs it.
type engineProcess struct {
	*process
	engineConfig
	stdin io.WriteCloser
}

// startEngine starts an engine and returns once it listens. Its reports are added to runs.
func (d *deployment) startEngine(cfg engineConfig) (*engineProcess, error) {
	cfg.Hubs, cfg.Trouble = d.controlAddresses(), d.trouble
	b, err := json.Marshal(cfg)
	if err != nil {
		return nil, err
	}
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e := &engineProcess{process: &process{name: cfg.ID, zone: cfg.Zone}, engineConfig: cfg}
	cmd := exec.Command(own, "engine", string(b))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if e.stdin, err = cmd.StdinPipe(); err != nil {
		return nil, err
	}
	if err := d.launch(e.process, cmd); err != nil {
		return nil, err
	}
	listening := make(chan struct{})
	go d.readReports(out, listening)
	select {
	case <-listening:
	case <-time.After(startLimit):
		return nil, fmt.Errorf("engine %s does not listen", cfg.ID)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engines[cfg.ID] = e
	return e, nil
}

// command sends a line to the engine.
func (e *engineProcess) command(line string) { _, _ = io.WriteString(e.stdin, line+"\n") }

// readReports adds the lines that an engine writes to runs and to the record.
func (d *deployment) readReports(r io.Reader, listening chan struct{}) {
	for s := bufio.NewScanner(r); s.Scan(); {
		var line report
		if json.Unmarshal(s.Bytes(), &line) != nil {
			continue
		}
		if line.Event == "listens" {
			close(listening)
		}
		d.logf("engine %s", s.Text())
		d.mu.Lock()
		d.runs = append(d.runs, line)
		d.mu.Unlock()
	}
}

// reports returns the reports of an event so far.
func (d *deployment) reports(event string) (out []report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.runs {
		if r.Event == event {
			out = append(out, r)
		}
	}
	return out
}

// waitServed repeats a plain request at an entry until it is served n times in a row.
func (d *deployment) waitServed(c *caller, path string, n int) error {
	served := 0
	for begin := time.Now(); time.Since(begin) < startLimit; time.Sleep(50 * time.Millisecond) {
		if a := c.plain(http.MethodGet, path, 5*time.Second); a.status != http.StatusOK || a.err != nil {
			served = 0
			continue
		}
		if served++; served == n {
			return nil
		}
	}
	return fmt.Errorf("%s is not served", path)
}
