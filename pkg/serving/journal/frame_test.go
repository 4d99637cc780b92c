package journal

import (
	"bytes"
	"testing"

	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// Guards against records that crash the decoder, or that change when decoded
// and encoded again.
func FuzzDecode(f *testing.F) {
	payload := appendEntry(appendHard(nil, ledger.HardState{Term: 2}), ledger.Entry{Index: 1, Term: 2, Data: []byte("put")})
	f.Add(appendFrame(nil, payload))
	f.Add(appendFrame(appendFrame(nil, payload), payload)[:60])
	f.Add(encodeSnapshot(ledger.Snapshot{Index: 1, Term: 1, Data: []byte("state")}))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _ = decodeSnapshot(b)
		var again []byte
		intact, _, _ := readFrames(b, func(payload []byte) error {
			again = appendFrame(again, payload)
			return nil
		})
		if !bytes.Equal(again, b[:intact]) {
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
		if _, again, err := decodePayload(out); err != nil || len(again) != len(entries) {
			t.Fatalf("payload changes when encoded again: %v", err)
		}
	})
}
