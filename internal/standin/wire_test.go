package standin

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against answers longer than max_tokens, and lengths that differ between two requests
// with the same prompt.
func TestAnswerLength(t *testing.T) {
	tests := []struct {
		name   string
		c      CompletionRequest
		n      int
		finish string
	}{
		{"given", CompletionRequest{TestLength: 7}, 7, "stop"},
		{"bounded", CompletionRequest{TestLength: 7, MaxTokens: 5}, 5, "length"},
		{"at the bound", CompletionRequest{TestLength: 5, MaxTokens: 5}, 5, "stop"},
	}
	for _, tt := range tests {
		n, finish := AnswerLength(&tt.c)
		assert.Equal(t, n, tt.n, tt.name)
		assert.Equal(t, finish, tt.finish, tt.name)
	}
	a, _ := AnswerLength(&CompletionRequest{Prompt: "p"})
	b, _ := AnswerLength(&CompletionRequest{Prompt: "p"})
	assert.Equal(t, a, b)
}

// Guards against prefix hashes that differ between prompts with a common prefix.
func TestPrefixHashes(t *testing.T) {
	p := strings.Repeat("x", 64)
	a, b := PrefixHashes(p+"a tail", 4), PrefixHashes(p+strings.Repeat("y", 16), 4)
	assert.Equal(t, len(a), 4)
	assert.Equal(t, len(b), 5)
	assert.DeepEqual(t, a, b[:4])
	assert.Assert(t, b[3] != b[4])
}

// Guards against request bodies that make the stand-in panic, or that are accepted with an
// invalid length.
func FuzzDecodeCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":3,"test_length":2}`))
	f.Add([]byte(`{"max_tokens":-1}`))
	f.Add([]byte(`{"prompt":"\ud800"`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeCompletion(bytes.NewReader(data))
		if err != nil {
			return
		}
		n, finish := AnswerLength(c)
		if n < 1 || (c.MaxTokens > 0 && n > c.MaxTokens) || finish == "" {
			t.Fatalf("length %d, finish %q", n, finish)
		}
		PrefixHashes(c.Prompt, 16)
	})
}

// Guards against announcements that change when they are decoded and encoded again.
func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add([]byte(`{"engine":"e","incarnation":3,"kind":"model","models":[{"model":"m","version":"1"}],"load":{"step_ms":1.5},"cache_events":[{"seq":1,"op":"add","prefix":"ff"}]}`))
	f.Add([]byte(`{"capacity":{"max_running":-1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var a, b Announcement
		if decode(bytes.NewReader(data), &a) != nil {
			return
		}
		first, err := json.Marshal(a)
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(first, &b))
		second, err := json.Marshal(b)
		assert.NilError(t, err)
		assert.Equal(t, string(first), string(second))
	})
}
