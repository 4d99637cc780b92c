package standin

import (
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// maxBody is the maximum size of a request body in bytes.
const maxBody = 1 << 20

// bytesPerToken converts the size of a prompt to tokens; the stand-in has no tokenizer.
const bytesPerToken = 4

// CompletionRequest is the body of a completion request. TestLength is an extension for
// tests that sets the number of tokens of the answer; if it is 0, the number is drawn at
// random with the hash of the prompt as seed.
type CompletionRequest struct {
	Model      serving.ModelID `json:"model"`
	Prompt     string          `json:"prompt"`
	MaxTokens  int             `json:"max_tokens"`
	TestLength int             `json:"test_length,omitempty"`
}

// Frame is one token of an answer.
type Frame struct {
	RequestID    serving.RequestID    `json:"request_id"`
	GenerationID serving.GenerationID `json:"generation_id"`
	Index        int                  `json:"index"`
	Token        string               `json:"token"`
	FinishReason string               `json:"finish_reason"`
}

// decode reads one JSON value of at most maxBody bytes into v.
func decode(r io.Reader, v any) error {
	if err := json.NewDecoder(io.LimitReader(r, maxBody)).Decode(v); err != nil {
		return serving.WrapError(err, serving.KindInvalid, "decode body")
	}
	return nil
}

// DecodeCompletion reads and validates the body of a completion request.
func DecodeCompletion(r io.Reader) (*CompletionRequest, error) {
	c := &CompletionRequest{}
	if err := decode(r, c); err != nil {
		return nil, err
	}
	if c.MaxTokens < 0 || c.TestLength < 0 {
		return nil, serving.NewError(serving.KindInvalid, "max_tokens and test_length must not be negative")
	}
	return c, nil
}

// TokenText returns the token at an index of a generation. It depends only on the
// arguments, so that a reader can check each token.
func TokenText(request serving.RequestID, generation serving.GenerationID, index int) string {
	h := xxhash.Sum64String(string(request) + "\x00" + string(generation) + "\x00" + strconv.Itoa(index))
	return strconv.FormatUint(h&0xffffff, 36) + " "
}

// AnswerLength returns the number of tokens of the answer to a request and its
// finish reason. Without TestLength the length depends only on the prompt.
func AnswerLength(c *CompletionRequest) (n int, finish string) {
	n = c.TestLength
	if n == 0 {
		r := rand.New(rand.NewPCG(xxhash.Sum64String(c.Prompt), 1))
		n = int(math.Exp(math.Log(120) + r.NormFloat64()))
		n = min(max(n, 1), 32768)
	}
	if c.MaxTokens > 0 && n > c.MaxTokens {
		return c.MaxTokens, "length"
	}
	return n, "stop"
}

// PromptTokens returns the number of tokens of a prompt, which is at least 1.
func PromptTokens(prompt string) int {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}

// PrefixHashes returns the xxhash of each block-aligned prefix of a prompt, shortest first.
func PrefixHashes(prompt string, blockTokens serving.Tokens) []uint64 {
	step := int(blockTokens) * bytesPerToken
	var hashes []uint64
	d := xxhash.New()
	for end := step; end <= len(prompt); end += step {
		_, _ = d.WriteString(prompt[end-step : end])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
