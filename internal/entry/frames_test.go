package entry

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

// Guards against frames that the fast decoder decodes differently from encoding/json,
// or accepts although they are not valid JSON.
func FuzzCanonicalFrame(f *testing.F) {
	const head = `{"request_id":"r","generation_id":"g","index":`
	for _, s := range []string{
		`0,"token":"a"}`, `7,"token":"","finish_reason":""}`, `12,"token":"å ","finish_reason":"stop"}`,
		`01,"token":"a"}`, `,"token":"a"}`, `1,"token":"a\"}`, "1,\"token\":\"\xff\"}", "1,\"token\":\"\n\"}",
		`1,"token":"a"}}`, `1,"token":"a","x":1}`, `99999999999999999999,"token":"a"}`, `1,"token":"a","finish_reason":"s"`,
	} {
		f.Add(head + s)
	}
	p := newFrameParser("r", "g")
	f.Fuzz(func(t *testing.T, data string) {
		got, ok := p.parseCanonical([]byte(data))
		if !ok {
			return
		}
		var want generation.Frame
		assert.NilError(t, json.Unmarshal([]byte(data), &want))
		assert.Equal(t, got.Data, data)
		got.Data = ""
		assert.DeepEqual(t, got, want)
	})
}
