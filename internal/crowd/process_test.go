package crowd_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/gofrs/flock"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/crowd"
)

const (
	// memoryMB is the memory of the host in the settings, that of the smallest hosts. The
	// memory of a process must stay below it at all times.
	memoryMB = 112
	// maxDescriptors is the number of descriptors in the settings, and the limit of the
	// operating system for the process. It is lower than on any host, so that a small crowd
	// exceeds it. reservedDescriptors of them are not for sockets.
	maxDescriptors      = 2_000
	reservedDescriptors = 200
	// recoveryTimeout is generous, because these tests check no times.
	recoveryTimeout = 30 * time.Second
	// leftConnections is the number of connections to a listener that remain after a crowd:
	// those of engines, other processes and the test's own requests.
	leftConnections = 16
)

// buildPrograms builds the programs once for all tests.
var buildPrograms = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "turmericdrum-crowd")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", folder, "../../cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return folder, nil
})

// TestMain keeps the crowds of several test processes on one machine apart.
func TestMain(m *testing.M) {
	lock := flock.New(filepath.Join(os.TempDir(), "turmericdrum-crowd.lock"))
	if err := lock.Lock(); err != nil {
		fmt.Fprintln(os.Stderr, "lock the crowds of the machine:", err)
		os.Exit(1)
	}
	status := m.Run()
	if folder, err := buildPrograms(); err == nil {
		_ = os.RemoveAll(folder)
	}
	_ = lock.Unlock()
	os.Exit(status)
}

// process is a started program.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// startProgram starts a program that stop ends. The end of its log is printed if the test fails.
func startProgram(t *testing.T, environment []string, program string, args ...string) *process {
	t.Helper()
	programs, err := buildPrograms()
	assert.NilError(t, err)
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	assert.NilError(t, err)
	p := &process{cmd: exec.Command(filepath.Join(programs, program), args...), exited: make(chan struct{})}
	p.cmd.Env = append(append(os.Environ(), "GOMAXPROCS=2"), environment...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// A test that panics or runs out of time leaves no processes behind.
	p.cmd.SysProcAttr = &unix.SysProcAttr{Pdeathsig: unix.SIGKILL}
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.stop()
		if b, _ := os.ReadFile(log.Name()); t.Failed() {
			t.Logf("log of %s %v:\n%s", program, args, b[max(0, len(b)-1500):])
		}
		_ = log.Close()
	})
	return p
}

// stop kills the process and waits for its exit.
func (p *process) stop() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// limitDescriptors sets the limit of descriptors that the operating system enforces.
func (p *process) limitDescriptors(t *testing.T) {
	t.Helper()
	assert.NilError(t, unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}, nil))
}

// lowerLimits sets the limits of the host in a settings file of the platform.
func lowerLimits(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	var s map[string]any
	if err := json.Unmarshal(b, &s); err != nil {
		return "", err
	}
	s["limits"] = map[string]int{"memory_mb": memoryMB, "max_fds": maxDescriptors}
	if b, err = json.Marshal(s); err != nil {
		return "", err
	}
	return path, os.WriteFile(path, b, 0o600)
}

// eventually waits until check succeeds.
func eventually(t *testing.T, what string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(recoveryTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v: %v", what, recoveryTimeout, err)
		}
		time.Sleep(20 * time.Millisecond) // Separate processes have no virtual clock.
	}
}

// statusOf requests a URL and returns an error unless the answer is 200.
func statusOf(url string) error {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(url)
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.New(res.Status)
	}
	return nil
}

// listener is a listener under test.
type listener struct {
	// start starts a process with the lowered limits.
	start func(t *testing.T) *process
	// kept is set if a process that stays within the bounds is kept for the next crowd, because
	// a new one does not serve for some seconds. Without it, each crowd gets a new process.
	kept bool
	// ordinary sends an ordinary request, and ready asks whether the process is ready.
	ordinary, ready func() error
	targets         []crowd.Target
}

// run plays each crowd at the listener. The targets of a crowd follow each other at the same
// process, unless it broke a bound.
func (l *listener) run(whole *testing.T) {
	var p *process
	for _, c := range crowd.All() {
		whole.Run(c.Name, func(t *testing.T) {
			owner := t
			if l.kept {
				owner = whole
			}
			groups := [][]crowd.Target{l.targets}
			if c.PerTarget {
				groups = nil
				for _, target := range l.targets {
					groups = append(groups, []crowd.Target{target})
				}
			}
			for _, targets := range groups {
				name := "all targets"
				if c.PerTarget {
					name = targets[0].Name
				}
				if p == nil {
					p = l.startServing(owner)
				}
				if !t.Run(name, func(t *testing.T) { l.play(t, p, c, targets) }) {
					p.stop()
					p = nil
				}
			}
			if p != nil && !l.kept {
				p.stop()
				p = nil
			}
		})
	}
}

func (l *listener) startServing(t *testing.T) *process {
	t.Helper()
	p := l.start(t)
	eventually(t, "ordinary request before the crowd", l.ordinary)
	eventually(t, "readiness before the crowd", l.ready)
	p.limitDescriptors(t)
	return p
}

// play plays a crowd and checks the bounds meanwhile, and the service afterwards.
func (l *listener) play(t *testing.T, p *process, c crowd.Crowd, targets []crowd.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	start := time.Now()
	pid, address := p.cmd.Process.Pid, targets[0].Address
	u, err := crowd.Watch(ctx, pid, address, memoryMB<<20, func(ctx context.Context) { c.Run(ctx, targets...) })
	t.Logf("measured: memory %d MiB, descriptors %d, sockets %d, connections %d, %d ms", u.Memory>>20, u.Descriptors, u.Sockets, u.Connections, time.Since(start).Milliseconds())
	assert.NilError(t, err, "the process ended or can't be measured")
	assert.Check(t, u.Memory <= memoryMB<<20, "the process used %d MiB of %d MiB", u.Memory>>20, memoryMB)
	assert.Check(t, u.Sockets <= maxDescriptors-reservedDescriptors, "the process had %d sockets, of %d descriptors of which %d are reserved", u.Sockets, maxDescriptors, reservedDescriptors)
	eventually(t, "end of the crowd's connections", func() error {
		u, err := crowd.Measure(pid, address)
		if err == nil && u.Connections > leftConnections {
			err = fmt.Errorf("%d connections", u.Connections)
		}
		return err
	})
	eventually(t, "ordinary request after the crowd", l.ordinary)
	eventually(t, "readiness after the crowd", l.ready)
	select {
	case <-p.exited:
		t.Error("the process ended")
	default:
	}
}
