package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"turmericdrum.org/turmericdrum/platform/standin"
)

// restartPause is the delay before a process that has ended is restarted.
const restartPause = 300 * time.Millisecond

// process is one process of the program under test. It is restarted whenever it ends, as by
// a service manager.
type process struct {
	name          string
	binary        string
	role          string
	writeSettings func() (string, error)
	log           *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	starts  int
	done    chan struct{}
}

// startProcess starts a program. Before each start, writeSettings writes the settings file
// and returns its path. The output of the program goes to NAME.log in folder.
func startProcess(binary, role, name, folder string, writeSettings func() (string, error)) (*process, error) {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, binary: binary, role: role, writeSettings: writeSettings, log: log, done: make(chan struct{})}
	if err := p.start(); err != nil {
		return nil, err
	}
	go p.supervise()
	return p, nil
}

func (p *process) start() error {
	path, err := p.writeSettings()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	p.cmd = exec.Command(p.binary, p.role)
	p.cmd.Env = append(os.Environ(), standin.SettingsVariable+"="+path, "GOMAXPROCS=1")
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.starts++
	return p.cmd.Start()
}

// supervise restarts the process whenever it ends, until stop is called.
func (p *process) supervise() {
	defer close(p.done)
	for {
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		err := cmd.Wait()
		p.mu.Lock()
		stopped := p.stopped
		p.mu.Unlock()
		if stopped {
			return
		}
		fmt.Fprintf(p.log, "soak: %s ended: %v\n", p.name, err)
		time.Sleep(restartPause)
		if err := p.start(); err != nil {
			fmt.Fprintf(p.log, "soak: %s does not start: %v\n", p.name, err)
			return
		}
	}
}

// signal sends a signal to the running process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		// An error means that the process has just ended, so there is nothing to signal.
		_ = p.cmd.Process.Signal(s)
	}
}

// stop kills the process without a restart and waits until it has ended.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	_ = p.log.Close()
}
