// Package e2e has end-to-end tests. They run the programs as separate processes on
// loopback addresses and check the histories that clients and stand-in engines record.
//
// # Usage
//
//	go test ./internal/e2e
//
// The measurements have the build tag measure:
//
//	go test -tags measure -v -run TestMeasure ./internal/e2e
//
// If the environment variable KEEP_RECORDS names a folder, the files of a test are
// copied to it when a check of its histories fails.
package e2e
