// Package timeline writes the events of a process to a log of bounded size and
// merges the logs of many processes into one order.
//
// Events are timestamped by a hybrid logical clock (Kulkarni et al., 2014). Its
// time stays close to physical time, and an event that was caused by another one
// over HTTP always has the later time, as long as the skew between the hosts'
// clocks is within MaxSkew.
//
// # Usage
//
// A process has one clock and one log. HTTP requests and responses propagate the
// time of the clock:
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
