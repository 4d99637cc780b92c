package crowd

import (
	"bufio"
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// sampleInterval is the interval at which a process is measured. The peak of its resident memory
// is recorded by the kernel, so that nothing is missed between two samples.
const sampleInterval = 25 * time.Millisecond

// Usage is what a process uses, or the most that it used.
type Usage struct {
	// Memory is the resident memory of the process in bytes with the bytes in the kernel's
	// buffers of its listener's connections, which count towards the memory of a process.
	// The kernel's own peak of the resident memory is included, without these buffers.
	Memory int64
	// Descriptors is the number of open descriptors, Sockets that of sockets among them.
	Descriptors, Sockets int
	// Connections is the number of connections to the listener.
	Connections int
}

// Measure returns what a process uses at present.
func Measure(pid int, listener string) (Usage, error) {
	var u Usage
	folder := fmt.Sprintf("/proc/%d/", pid)
	resident, err := statusField(folder+"status", "VmRSS:")
	if err != nil {
		return u, err
	}
	queued, connections, err := connectionsOf(listener)
	if err != nil {
		return u, err
	}
	u.Memory, u.Connections = resident+queued, connections
	links, err := os.ReadDir(folder + "fd")
	if err != nil {
		return u, err
	}
	u.Descriptors = len(links)
	for _, l := range links {
		// A descriptor may have been closed since the folder was read.
		if name, err := os.Readlink(filepath.Join(folder, "fd", l.Name())); err == nil && strings.HasPrefix(name, "socket:") {
			u.Sockets++
		}
	}
	return u, nil
}

// Watch runs f and returns the most that the process used meanwhile. It cancels the context of
// f once the process uses more memory than limit.
func Watch(ctx context.Context, pid int, listener string, limit int64, f func(ctx context.Context)) (Usage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The kernel starts to record a new peak.
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0o600); err != nil {
		return Usage{}, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(ctx)
	}()
	var most Usage
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(sampleInterval):
		}
		u, err := Measure(pid, listener)
		if err != nil {
			cancel()
			<-done
			return most, err
		}
		most = Usage{
			Memory: max(most.Memory, u.Memory), Descriptors: max(most.Descriptors, u.Descriptors),
			Sockets: max(most.Sockets, u.Sockets), Connections: max(most.Connections, u.Connections),
		}
		if u.Memory > limit {
			cancel()
		}
	}
	peak, err := statusField(fmt.Sprintf("/proc/%d/status", pid), "VmHWM:")
	most.Memory = max(most.Memory, peak)
	return most, err
}

// statusField returns a field of a process's status file, in bytes.
func statusField(path, field string) (int64, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("%s has no %s; the process has ended", path, field)
}

// States of connections in the kernel's table that no process holds any more.
const (
	stateTimeWait = 0x06
	stateClosed   = 0x07
	stateListen   = 0x0A
)

// connectionsOf returns the number of a listener's connections and the bytes in their buffers
// that were not read yet or not taken by the other side.
func connectionsOf(listener string) (queued int64, connections int, err error) {
	address, err := netip.ParseAddrPort(listener)
	if err != nil {
		return 0, 0, err
	}
	b := address.Addr().As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", b[3], b[2], b[1], b[0], address.Port())
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, 0, err
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		field := strings.Fields(s.Text())
		if len(field) < 5 || field[1] != local {
			continue
		}
		var state int
		var tx, rx int64
		if _, err := fmt.Sscanf(field[3]+" "+field[4], "%x %x:%x", &state, &tx, &rx); err != nil {
			return 0, 0, err
		}
		if state == stateTimeWait || state == stateClosed || state == stateListen {
			continue
		}
		queued += tx + rx
		connections++
	}
	return queued, connections, nil
}
