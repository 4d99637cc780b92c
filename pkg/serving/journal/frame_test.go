package journal

import (
	"bytes"
	"testing"

	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// Guards against input that makes the decoder panic, and against frames and
// payloads that change when they are decoded and encoded again.
func FuzzDecode(f *testing.F) {
	payload := appendEntry(appendHard(nil, ledger.HardState{Term: 2}), ledger.Entry{Index: 1, Term: 2, Data: []byte("put")})
	f.Add(appendFrame(nil, payload))
	f.Add(appendFrame(appendFrame(nil, payload), payload)[:60])
	f.Add(encodeSnapshot(ledger.Snapshot{Index: 1, Term: 1, Data: []byte("state")}))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _ = decodeSnapshot(b)
		var roundTrip []byte
		intact, _, _ := readFrames(b, func(payload []byte) error {
			roundTrip = appendFrame(roundTrip, payload)
			return nil
		})
		if !bytes.Equal(roundTrip, b[:intact]) {
			t.Fatal("frames change when encoded again")
		}
		hard, entries, err := decodePayload(b)
		if err != nil {
			return
		}
		var out []byte
		if hard != nil {
			out = appendHard(out, *hard)
		}
		for _, e := range entries {
			out = appendEntry(out, e)
		}
		if _, roundTrip, err := decodePayload(out); err != nil || len(roundTrip) != len(entries) {
			t.Fatalf("payload changes when encoded again: %v", err)
		}
	})
}
