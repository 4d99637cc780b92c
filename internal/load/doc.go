// Package load has the building blocks of load generation and measurement:
// seeded arrivals and lengths, a recorder of results, and [Experiment], which
// compares dispatch policies in virtual time on a small model of engines.
//
// # Usage
//
//	r := load.Experiment(load.Config{Seed: 1, Load: 0.95, Policy: load.Ours})
//	load.WriteTable(os.Stdout, []load.Summary{r})
//
// The figures of an experiment are those of the model. They compare policies
// under equal conditions and do not predict the speed of a real engine.
package load
