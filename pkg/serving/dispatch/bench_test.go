package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

// BenchmarkDecision measures candidate selection, placement, admission and recording of
// the choice, with 20 generations of this entry at each of at most 100 engines.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{12, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rng := newRandom()
			lengths := dispatch.NewLengths(dispatch.LengthsConfig{})
			key := serving.LengthKey{Service: "s", Model: "m", Account: "a"}
			for range 1000 {
				lengths.Observe(key, serving.Tokens(rng.IntN(1000)))
			}
			tracker := dispatch.NewTracker(dispatch.TrackerConfig{Lengths: lengths, Random: rng, StaleAfter: time.Hour})
			r := &serving.Request{Service: "s", Model: "m", Account: "a", PromptTokens: 300, Region: "leon", Session: "x"}
			for i := range uint64(16) {
				r.PrefixHashes = append(r.PrefixHashes, i)
			}
			for i := range n {
				a := announcement(fmt.Sprint("e", i), 20)
				a.Capacity = serving.Capacity{MaxRunning: 64, ColdRunning: 64, MemoryBlocks: 8192, BlockTokens: 16}
				tracker.Announce(0, a)
				for k := range 20 {
					if i < 100 {
						tracker.Sent(0, a.Engine, serving.GenerationID(fmt.Sprint(k)), r)
					}
				}
			}
			admitter := &dispatch.MemoryAdmitter{Lengths: lengths}
			placer := dispatch.NewAffinity(&dispatch.CostPlacer{Lengths: lengths, Random: rng, Admitter: admitter}, 1.25)
			placer.Admitter = admitter
			var buf []serving.Candidate
			now, tokens := time.Duration(0), serving.Tokens(0)
			var engines, ids []string
			for i := range n {
				engines = append(engines, fmt.Sprint("e", i))
			}
			for k := range 20 {
				ids = append(ids, fmt.Sprint(k))
			}

			b.ResetTimer()
			for b.Loop() {
				tokens++
				b.StopTimer()
				for i := range min(n, 100) {
					for k := range 20 {
						tracker.Progress(now, serving.EngineID(engines[i]), serving.GenerationID(ids[k]), tokens)
					}
				}
				b.StartTimer()
				// In a deployment of the target size, one entry makes 30 decisions per second.
				now += 33 * time.Millisecond
				buf = tracker.Candidates(now, r, buf[:0])
				i, err := placer.Place(now, r, buf)
				if err != nil {
					b.Fatal(err)
				}
				if a := admitter.Admit(now, r, &buf[i]); !a.Admitted {
					b.Fatal(a.Reason)
				}
				tracker.Sent(now, buf[i].Engine, "g", r)
				tracker.Done(now, buf[i].Engine, "g", dispatch.OutcomeCanceled)
			}
		})
	}
}
