package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
)

// guard ends the processes of a driver and removes its folder if the driver is killed, or if
// its case was still running when it had to end.
type guard struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
}

// startGuard starts the guard in a process of its own, which a signal to the driver's group
// does not reach.
func startGuard(folder string) (*guard, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	g := &guard{cmd: exec.Command(own, "guard")}
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if g.stdin, err = g.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	return g, g.tell("folder " + folder)
}

func (g *guard) tell(line string) error {
	_, err := io.WriteString(g.stdin, line+"\n")
	return err
}

// end ends the guard. done reports whether nothing is left for it to do.
func (g *guard) end(done bool) {
	if done {
		_ = g.tell("done")
	}
	_ = g.stdin.Close()
	_ = g.cmd.Wait()
}

// runGuard reads what the driver starts until the driver has ended.
func runGuard() {
	running := map[int]bool{}
	folder := ""
	for s := bufio.NewScanner(os.Stdin); s.Scan(); {
		what, value, _ := strings.Cut(s.Text(), " ")
		pid, _ := strconv.Atoi(value)
		switch what {
		case "started":
			running[pid] = true
		case "ended":
			delete(running, pid)
		case "folder":
			folder = value
		case "done":
			return
		}
	}
	for pid := range running {
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
	if folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	}
}

// started and ended tell the guard of a process.
func (g *guard) started(pid int) { _ = g.tell(fmt.Sprintf("started %d", pid)) }
func (g *guard) ended(pid int)   { _ = g.tell(fmt.Sprintf("ended %d", pid)) }
