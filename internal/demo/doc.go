// Package demo runs the whole system in one process on loopback ports, with
// stand-in engines. It streams an answer, sends an order twice, takes a data centre
// out of service and brings it back, and prints the timeline.
//
// # Usage
//
//	c := &demo.Command{}
//	err := c.Run(ctx, os.Stdout)
package demo
