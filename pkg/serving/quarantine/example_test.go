package quarantine_test

import (
	"fmt"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
)

// Three engines end when they begin to answer calls with the part 0xdead. An answer has
// begun with the other part, 0xa1.
func ExampleEvidence() {
	var e quarantine.Evidence
	for i, engine := range []serving.EngineID{"engine-1", "engine-2", "engine-3"} {
		at := time.Duration(i) * time.Second
		e.Lost(at, quarantine.LostCall{Request: serving.RequestID(fmt.Sprint("call-", i)), Engine: engine, Parts: []quarantine.Part{0xa1, 0xdead}, At: at}, true)
		e.Sound(quarantine.SoundPart{Part: 0xa1, At: at + 100*time.Millisecond}, true)
	}
	finding, ok := e.Find(2500*time.Millisecond, nil)
	fmt.Println(ok, finding.Block, finding.Losses, finding.Engines)
	blocks := quarantine.NewBlocklist([]quarantine.Block{finding.Block})
	fmt.Println(blocks.Match([]quarantine.Part{0xb2, 0xdead}), blocks.Match([]quarantine.Part{0xa1}) == nil)
	// Output:
	// true dead 3 3
	// dead true
}
