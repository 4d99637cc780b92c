// Package load generates load and measures how the system responds to it.
// [Command] sends calls to running entries over HTTP. [Experiment] runs one
// dispatch policy in virtual time on a small model of engines; [Compare] runs
// several. [Command] and [Experiment] draw arrivals and lengths from a seed, so
// runs with the same seed have the same requests.
//
// # Usage
//
//	r := load.Experiment(load.Config{Seed: 1, Load: 0.95, Policy: load.CostBased})
//	load.WriteTable(os.Stdout, []load.Summary{r})
//
// The figures of an experiment describe the model. They compare policies under
// equal conditions and do not predict the speed of a real engine.
package load
