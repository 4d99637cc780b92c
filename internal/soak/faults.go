package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"turmericdrum.org/turmericdrum/platform/standin"
)

// fault is one step of a schedule. Steps overlap: each one lasts for its time
// while the next ones begin.
type fault struct {
	at, lasts time.Duration
	name      string
	begin     func()
	end       func()
}

// schedule draws the faults of a seed.
func (t *trial) schedule(r *rand.Rand) []fault {
	var out []fault
	for at := time.Duration(0); at < t.faultTime; at += time.Duration(200+r.IntN(900)) * time.Millisecond {
		lasts := time.Duration(300+r.IntN(2500)) * time.Millisecond
		f := t.draw(r)
		f.at, f.lasts = at, lasts
		out = append(out, f)
	}
	return out
}

// draw draws one fault.
func (t *trial) draw(r *rand.Rand) fault {
	hub, entry := t.hubs[r.IntN(len(t.hubs))], t.entries[r.IntN(len(t.entries))]
	link := r.IntN(len(t.links))
	on := func(p *process, what string, s, then syscall.Signal) fault {
		f := fault{name: what + " " + p.name, begin: func() { p.signal(s) }}
		if then != 0 {
			f.end = func() { p.signal(then) }
		}
		return f
	}
	mode := func(m linkMode, what string) fault {
		return fault{name: fmt.Sprintf("%s link %d", what, link), begin: func() { t.links[link].set(m) }, end: func() { t.links[link].set(linkPass) }}
	}
	switch r.IntN(11) {
	case 0:
		return on(hub, "kill", syscall.SIGKILL, 0)
	case 1:
		return on(entry, "kill", syscall.SIGKILL, 0)
	case 2:
		return on(entry, "stop", syscall.SIGTERM, 0)
	case 3:
		return on(hub, "pause", syscall.SIGSTOP, syscall.SIGCONT)
	case 4:
		return on(entry, "pause", syscall.SIGSTOP, syscall.SIGCONT)
	case 5:
		return on(entry, "reload", syscall.SIGHUP, 0)
	case 6:
		return mode(linkDelay, "delay")
	case 7:
		return mode(linkSilent, "silence")
	case 8:
		return mode(linkOneWay, "cut one way")
	case 9:
		return fault{name: fmt.Sprintf("reset link %d", link), begin: func() { t.links[link].reset() }}
	default:
		return fault{name: "reclaim an engine", begin: t.reclaim}
	}
}

// inject plays a schedule and waits until the last fault has ended.
func (t *trial) inject(faults []fault) {
	start := time.Now()
	var ends []fault
	for _, f := range faults {
		time.Sleep(time.Until(start.Add(f.at)))
		ends = finish(ends, time.Since(start))
		t.logf("fault: %s for %v", f.name, f.lasts)
		f.begin()
		ends = append(ends, f)
	}
	for len(ends) > 0 {
		time.Sleep(10 * time.Millisecond)
		ends = finish(ends, time.Since(start))
	}
}

// finish ends the faults whose time is over and returns the others.
func finish(faults []fault, now time.Duration) []fault {
	var open []fault
	for _, f := range faults {
		if now < f.at+f.lasts {
			open = append(open, f)
			continue
		}
		if f.end != nil {
			f.end()
		}
	}
	return open
}

// reclaim makes the oldest model engine leave, with two seconds of notice, and
// starts another one. Engines sit behind links, which the new one takes over.
func (t *trial) reclaim() {
	t.mu.Lock()
	old := t.models[0]
	t.models = t.models[1:]
	t.mu.Unlock()
	old.Drain()
	time.AfterFunc(2*time.Second, old.Close)
	if err := t.addEngine(standin.ModelService); err != nil {
		t.violation("no further engine: %v", err)
	}
}

func (t *trial) logf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.log, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}

// violation records a broken promise.
func (t *trial) violation(format string, args ...any) {
	t.logf("VIOLATION: "+format, args...)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, fmt.Sprintf(format, args...))
}
