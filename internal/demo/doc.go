// Package demo runs the whole system in one process on loopback ports, with
// stand-in engines: it streams an answer, takes a data centre out and brings it
// back, places an order twice, and prints the time line.
//
// # Usage
//
//	c := &demo.Command{}
//	err := c.Run(ctx, os.Stdout)
package demo
