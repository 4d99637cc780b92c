// Package machine estimates how fast an engine works, and how much slower it becomes while
// other work runs on its machine.
//
// An engine generates tokens in steps. A step adds one token to each running generation, and
// reads one chunk of the prompts that wait. Its duration is that of the [Model], divided by
// the speed of the engine and multiplied by the factor of its machine. The speed is constant
// for a process of an engine; the factor changes within a second.
//
// # Usage
//
// An entry records the times between the events of its streams, and the factors that engines
// state:
//
//	var steps machine.Steps
//	steps.Record(machine.Nominal.Slowness(took, tokens, running), events)
//
// The steps of all entries are added up. They give the speed of an engine, whatever its
// machine and the prompts beside the measured streams were doing:
//
//	var e machine.Engine
//	e.Update(now, &steps)
//	e.SetFactor(at, 250)
//	est := e.Estimate(now, &machine.Work{Prompt: 3000, Running: 7, PerEvent: 4}, &sharing)
//	fmt.Println(est.FirstEvent, est.Pause, est.PauseBad)
//
// # Separation of speed and factor
//
// A time between events can be long because the engine is slow, because its machine is
// shared, or because a prompt is read beside the stream. Only the first is a property of the
// engine. The other two are absent for a part of the time, so the speed is taken from a low
// quantile of the measured times. A time that is measured right after the engine stated its
// factor is divided by that factor first.
//
// The types have no clock and no lock.
package machine
