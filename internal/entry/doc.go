// Package entry is the process on every entry host: the callers' HTTP API,
// engines' announcements, and dispatch.
//
// One goroutine, the control goroutine, owns the [Blackboard] and publishes
// immutable snapshots of it; traffic goroutines read the snapshots and send
// events back.
//
// # Usage
//
//	s, err := settings.Load("entry.yaml")
//	if err != nil {
//		return err
//	}
//	e := &entry.Entry{Settings: s, Clock: serving.NewMonotonicClock()}
//	return e.Run(ctx) // until ctx ends; then drains
package entry
