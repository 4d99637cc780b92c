// Package settings decodes and checks the YAML settings of the processes.
//
// # Usage
//
//	s, err := settings.Load("entry.yaml")
//	if err != nil {
//		return err // names the key and the remedy
//	}
//	fmt.Println(s.Listen, s.Entry.ViewLease.Duration)
//
// Durations are written like 500ms or 2.5s, sizes like 64KiB or 1MiB, and
// addresses as an IP address and a port, like 10.0.0.1:7000. Unknown keys are refused.
package settings
