// Package soak runs the real programs as separate processes on one machine,
// injects faults from outside them, and checks the promises of the system from
// what callers, engines and the operator see.
//
// # Usage
//
//	turmericdrum soak --binary target/turmericdrum --seeds 50
//	turmericdrum soak --binary target/turmericdrum --first 17 --seeds 1 --keep
//
// A seed decides the schedule of faults; which calls meet them depends on the
// machine as well. docs/soak.md lists the checks, the faults, and the seeds that
// ever failed.
package soak
