// Package audit finds what is doubtful in a routing configuration that can be applied, and what
// differs between two configurations. Whether a configuration can be applied is decided by
// routing.Compile alone; audit works on configurations that Compile refuses as well, so that
// an operator sees all findings at once.
//
// # Usage
//
//	for _, f := range audit.Check(cfg, audit.Bounds{Body: 24 << 20}) {
//		fmt.Println(f.Severity, f.Subject, f.Message, f.Remedy)
//	}
//	for _, d := range audit.Compare(inForce, cfg) {
//		fmt.Println(d.Subject, d.Before, d.After)
//	}
//
// A subject names a part of the configuration by the fields of package routing. Formats of
// configuration documents translate it to their own names and lines. No finding or difference
// contains a key of an account.
package audit
