package settings

import (
	"fmt"
	"runtime/debug"

	"turmericdrum.org/turmericdrum/internal/ingress"
)

const (
	// runtimeFraction is the fraction of a host's memory that the Go runtime may use, and
	// clientFraction that for clients together. The rest is for what a process holds without
	// them, for its program and for kernel buffers.
	runtimeFraction = 0.6
	clientFraction  = 0.45
	// unknownMemoryMB is assumed for a host of unknown memory.
	unknownMemoryMB = 4 << 10
	// fileDescriptors is the number of descriptors that are reserved for files.
	fileDescriptors = 200
	// clientShare is the part of the other descriptors for clients. Each call needs one more
	// for its engine.
	clientShare = 0.5
	// connectionShare is the part of the memory for clients that connections without requests
	// may take.
	connectionShare = 0.7
	// bufferShare is the part of a host's memory for the kernel's buffers of all connections, in
	// each direction. A third of these connections wait to be accepted.
	bufferShare          = 0.15
	acceptedShare        = 2.0 / 3
	minBuffer, maxBuffer = 16 << 10, 64 << 10
	// minMemoryMB and minDescriptors are below those of the smallest hosts.
	minMemoryMB, minDescriptors = 64, 400
	maxLimit                    = 1 << 30
)

// Limits are those of the host for the process; 0 means unknown. What clients may use is
// derived from them.
type Limits struct {
	// MemoryMB is the memory in MiB.
	MemoryMB int `yaml:"memory_mb,omitempty"`
	// MaxFDs is the number of open descriptors.
	MaxFDs int `yaml:"max_fds,omitempty"`
}

func (l Limits) check() error {
	for _, f := range []struct {
		key        string
		value, low int
	}{{"limits.memory_mb", l.MemoryMB, minMemoryMB}, {"limits.max_fds", l.MaxFDs, minDescriptors}} {
		if f.value != 0 && (f.value < f.low || f.value > maxLimit) {
			return keyError(f.key, fmt.Sprintf("is %d", f.value), fmt.Sprintf("use at least %d and at most %d, or 0 if it is unknown", f.low, maxLimit))
		}
	}
	return nil
}

// LimitRuntime makes the Go runtime stay within its part of the host's memory.
func (l Limits) LimitRuntime() {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(runtimeFraction * float64(l.bytes())))
	}
}

func (l Limits) bytes() int64 {
	if l.MemoryMB > 0 {
		return int64(l.MemoryMB) << 20
	}
	return unknownMemoryMB << 20
}

// Listener returns a listener with the limits for clients. The caller may add others before it
// is used.
func (l Limits) Listener(name string) *ingress.Listener {
	budget := &ingress.Budget{Bytes: int64(clientFraction * float64(l.bytes()))}
	most := min(connectionShare*float64(budget.Bytes)/ingress.ConnectionBytes, acceptedShare*bufferShare*float64(l.bytes())/minBuffer)
	limits := ingress.Limits{Connections: int(most)}
	if l.MaxFDs > 0 {
		limits.Connections = max(1, min(limits.Connections, int(clientShare*float64(l.MaxFDs-fileDescriptors))))
	}
	buffer := int(bufferShare * float64(l.bytes()) / float64(limits.Accepted()))
	limits.ReadBuffer = min(max(buffer, minBuffer), maxBuffer)
	limits.WriteBuffer = limits.ReadBuffer
	return &ingress.Listener{Name: name, Budget: budget, Limits: limits}
}
