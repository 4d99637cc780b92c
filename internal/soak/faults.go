package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"turmericdrum.org/turmericdrum/platform/standin"
)

// fault is one step of a schedule. Faults can overlap, since each has its own duration.
type fault struct {
	// offset is the start of the fault, counted from the start of the schedule.
	offset, duration time.Duration
	name             string
	begin            func()
	end              func()
}

// schedule draws the faults of a seed.
func (t *trial) schedule(r *rand.Rand) []fault {
	var out []fault
	for offset := time.Duration(0); offset < t.faultTime; offset += time.Duration(200+r.IntN(900)) * time.Millisecond {
		duration := time.Duration(300+r.IntN(2500)) * time.Millisecond
		f := t.randomFault(r)
		f.offset, f.duration = offset, duration
		out = append(out, f)
	}
	return out
}

// randomFault draws a fault and its target.
func (t *trial) randomFault(r *rand.Rand) fault {
	hub, entry := t.hubs[r.IntN(len(t.hubs))], t.entries[r.IntN(len(t.entries))]
	link := r.IntN(len(t.links))
	signalFault := func(p *process, action string, sig, endSig syscall.Signal) fault {
		f := fault{name: action + " " + p.name, begin: func() { p.signal(sig) }}
		if endSig != 0 {
			f.end = func() { p.signal(endSig) }
		}
		return f
	}
	linkFault := func(m linkMode, action string) fault {
		return fault{name: fmt.Sprintf("%s link %d", action, link), begin: func() { t.links[link].set(m) }, end: func() { t.links[link].set(linkPass) }}
	}
	switch r.IntN(11) {
	case 0:
		return signalFault(hub, "kill", syscall.SIGKILL, 0)
	case 1:
		return signalFault(entry, "kill", syscall.SIGKILL, 0)
	case 2:
		return signalFault(entry, "stop", syscall.SIGTERM, 0)
	case 3:
		return signalFault(hub, "pause", syscall.SIGSTOP, syscall.SIGCONT)
	case 4:
		return signalFault(entry, "pause", syscall.SIGSTOP, syscall.SIGCONT)
	case 5:
		return signalFault(entry, "reload", syscall.SIGHUP, 0)
	case 6:
		return linkFault(linkDelay, "delay")
	case 7:
		return linkFault(linkSilent, "silence")
	case 8:
		return linkFault(linkOneWay, "cut one way")
	case 9:
		return fault{name: fmt.Sprintf("reset link %d", link), begin: func() { t.links[link].reset() }}
	default:
		return fault{name: "reclaim an engine", begin: t.reclaim}
	}
}

// inject injects the faults of a schedule and waits until the last one has ended.
func (t *trial) inject(faults []fault) {
	start := time.Now()
	var active []fault
	for _, f := range faults {
		time.Sleep(time.Until(start.Add(f.offset)))
		active = endExpired(active, time.Since(start))
		t.logf("fault: %s for %v", f.name, f.duration)
		f.begin()
		active = append(active, f)
	}
	for len(active) > 0 {
		time.Sleep(10 * time.Millisecond)
		active = endExpired(active, time.Since(start))
	}
}

// endExpired ends the faults whose duration has passed and returns the others.
func endExpired(faults []fault, now time.Duration) []fault {
	var remaining []fault
	for _, f := range faults {
		if now < f.offset+f.duration {
			remaining = append(remaining, f)
			continue
		}
		if f.end != nil {
			f.end()
		}
	}
	return remaining
}

// reclaim makes the oldest model engine leave with two seconds of notice and starts another
// one behind its own proxy.
func (t *trial) reclaim() {
	t.mu.Lock()
	old := t.modelEngines[0]
	t.modelEngines = t.modelEngines[1:]
	var link *proxy
	for _, l := range t.links {
		if l.address() == old.Address() {
			link = l
		}
	}
	t.mu.Unlock()
	old.Drain()
	time.AfterFunc(2*time.Second, func() {
		old.Close()
		// Nothing listens at the address of a process that is gone.
		link.close()
	})
	if err := t.addEngine(standin.ModelService); err != nil {
		t.violation("no further engine: %v", err)
	}
}

// logf writes a line with the current time to the log of the seed.
func (t *trial) logf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.log, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}

// violation records and logs a violated guarantee.
func (t *trial) violation(format string, args ...any) {
	t.logf("VIOLATION: "+format, args...)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, fmt.Sprintf(format, args...))
}
