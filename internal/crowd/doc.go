// Package crowd plays groups of misbehaving clients against one listener and measures what the
// process behind it uses meanwhile. It is used only by tests.
//
// # Usage
//
// A Crowd is a group of connections that all play the same script. Run opens them, lets them
// play, holds them open for a while and closes them:
//
//	for _, c := range crowd.All() {
//		usage := crowd.Watch(ctx, pid, target.Address, memory, func(ctx context.Context) { c.Run(ctx, target) })
//		...
//	}
//
// The scripts use raw TCP connections, because they stop at places at which an HTTP client
// never stops. A crowd is bounded: its number of connections is fixed, it ends at its limit, all
// members send the same few buffers, and Watch ends it as soon as the process exceeds its
// memory. All addresses must be loopback addresses.
package crowd
