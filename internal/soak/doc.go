// Package soak runs the real programs as separate processes on one machine,
// injects faults from outside and checks the guarantees of the system against
// what callers, engines and the operator observe. The callers, the engines and the
// operator are simulated by platform/standin, not by internal/standin.
//
// # Usage
//
//	turmericdrum soak --binary target/turmericdrum --seeds 50
//	turmericdrum soak --binary target/turmericdrum --first 17 --seeds 1 --keep
//
// A seed determines the schedule of faults; which calls they affect also depends on
// the machine. docs/soak.md lists the checks, the faults and the seeds that have
// failed.
package soak
