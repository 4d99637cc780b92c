// Package e2e has end-to-end tests. They run the programs as separate processes on
// loopback addresses and check the histories that clients and stand-in engines record.
//
// # Usage
//
//	go test ./internal/e2e
package e2e
