// Package e2e has tests that run the programs as separate processes on loopback
// addresses and check the histories that clients and stand-ins record.
//
// # Usage
//
//	go test ./internal/e2e
package e2e
