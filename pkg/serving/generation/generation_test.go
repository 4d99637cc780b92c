package generation_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

func frames(request, gen string, n int) []generation.Frame {
	var all []generation.Frame
	for i := range n {
		f := generation.Frame{
			RequestID: serving.RequestID(request), GenerationID: serving.GenerationID(gen),
			Index: serving.TokenIndex(i), Token: fmt.Sprintf("%s-%s-%d", request, gen, i),
		}
		if i == n-1 {
			f.FinishReason = "stop"
		}
		all = append(all, f)
	}
	return all
}

// Guards against a caller that receives tokens twice, out of order or from another
// answer. Repeated, reordered and foreign frames arrive in a random permutation.
func TestSequencerDeliversEachTokenOnceInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(rt, "n")
		own := frames("r1", "g2", n)
		var arriving []generation.Frame
		arriving = append(arriving, own...)
		arriving = append(arriving, frames("r1", "g1", n)...)
		arriving = append(arriving, frames("r9", "g2", n)...)
		for range rapid.IntRange(0, 20).Draw(rt, "repeats") {
			arriving = append(arriving, own[rapid.IntRange(0, n-1).Draw(rt, "repeat")])
		}
		arriving = rapid.Permutation(arriving).Draw(rt, "order")

		s := generation.NewSequencer("r1", "g2", 0)
		var got []generation.Frame
		for _, f := range arriving {
			ready, err := s.Accept(f)
			assert.NilError(rt, err)
			got = append(got, ready...)
		}
		assert.DeepEqual(rt, got, own)
		assert.Assert(rt, s.Finished())
		assert.Assert(rt, !s.HasGap())
	})
}

// Guards against unbounded buffering when one token never arrives.
func TestSequencerBoundsFramesBehindGap(t *testing.T) {
	s := generation.NewSequencer("r1", "g1", 0)
	var err error
	for _, f := range frames("r1", "g1", 5000)[1:] {
		if _, err = s.Accept(f); err != nil {
			break
		}
	}
	assert.Equal(t, serving.KindOf(err), serving.KindEngineFailed)
}

// Guards against altered resume tokens that pass verification: spliced from two
// tokens, with a changed index, truncated, extended or signed with another key.
func TestSignerRefusesAlteredTokens(t *testing.T) {
	s := generation.NewSigner("key")
	want := generation.Position{Account: "bench", RequestID: "r1", GenerationID: "g1", Engine: "e1", Incarnation: 3, Address: "127.0.0.1:1", Next: 7}
	token := s.Sign(want)
	got, err := s.Verify(token)
	assert.NilError(t, err)
	assert.Equal(t, got, want)

	last, err := s.Verify(string(s.Stream(want).Append(nil, 9, true)))
	assert.NilError(t, err)
	assert.Assert(t, last.Finished && last.Next == 9)

	other := s.Sign(generation.Position{Account: "bench", Next: 8})
	spliced := token[:strings.Index(token, ".")] + other[strings.Index(other, "."):]
	tests := []string{"", ".", "x", "..", spliced, strings.Replace(token, ".7.", ".8.", 1), strings.Replace(token, ".7.", ".7e.", 1), token + "x", strings.Replace(token, ".", "..", 1), "A" + token, strings.Repeat("a", 5000)}
	for _, tt := range tests {
		_, err := s.Verify(tt)
		assert.Equal(t, serving.KindOf(err), serving.KindResumeTokenWrong, tt)
	}
	_, err = generation.NewSigner("other").Verify(token)
	assert.Equal(t, serving.KindOf(err), serving.KindResumeTokenWrong)
}

// Guards against a panic on malformed resume tokens, which callers send.
func FuzzVerify(f *testing.F) {
	s := generation.NewSigner("key")
	f.Add(s.Sign(generation.Position{Next: 1}))
	f.Add("e30.1.AAAAAAAAAAAAAAAAAAAAAA")
	f.Fuzz(func(_ *testing.T, token string) {
		_, _ = s.Verify(token)
	})
}

func ExampleSequencer() {
	s := generation.NewSequencer("r", "g", 0)
	for _, f := range []generation.Frame{
		{RequestID: "r", GenerationID: "g", Index: 1, Token: "b", FinishReason: "stop"},
		{RequestID: "r", GenerationID: "g", Index: 0, Token: "a"},
		{RequestID: "r", GenerationID: "g", Index: 0, Token: "a"},
	} {
		ready, _ := s.Accept(f)
		for _, r := range ready {
			fmt.Println(r.Index, r.Token)
		}
	}
	// Output:
	// 0 a
	// 1 b
}
