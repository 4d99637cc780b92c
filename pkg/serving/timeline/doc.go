// Package timeline keeps the events of a process in a bounded log and merges the
// logs of many processes into one order.
//
// Events carry the time of a hybrid logical clock (Kulkarni et al., 2014): it
// stays close to physical time, and an event that was caused by another one over
// HTTP always has the later time, whatever the skew of the hosts' clocks within
// MaxSkew.
//
// # Usage
//
// A process has one clock and one log. The clock travels with HTTP calls:
//
//	clock := &timeline.Clock{Physical: time.Now}
//	log := timeline.NewLog("events.jsonl", "entry-1", clock)
//	go log.Run(ctx)
//	server.Handler = timeline.Handler(clock, server.Handler)
//	client.Transport = timeline.RoundTripper(clock, http.DefaultTransport)
//	log.Add("dispatched", requestID, "engine", "e1")
//
// A reader merges the files and renders them:
//
//	events, skipped, err := timeline.ReadFiles("entry-1.jsonl", "e1.jsonl")
//	err = timeline.WriteTable(os.Stdout, events)
package timeline
