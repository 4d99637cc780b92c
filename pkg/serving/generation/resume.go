package generation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"hash"
	"strconv"
	"strings"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// maxResumeTokenLength is the length in bytes above which a resume token is
	// rejected without being decoded.
	maxResumeTokenLength = 2048
	// macBytes is the length to which the MAC of a resume token is truncated.
	macBytes = 16
	// finishedSuffix follows the index in the resume token of the last frame.
	finishedSuffix = "e"
)

// Position is the point in a stream at which a caller resumes it.
type Position struct {
	Account      serving.ClientAccountID `json:"a"`
	RequestID    serving.RequestID       `json:"r"`
	GenerationID serving.GenerationID    `json:"g"`
	Engine       serving.EngineID        `json:"e"`
	// Incarnation distinguishes the engine process that ran the generation from a
	// restarted one, which has lost it.
	Incarnation serving.Incarnation `json:"i"`
	// Address lets an entry that has not yet received an announcement of the engine
	// connect to it.
	Address string `json:"h"`
	// Next is the index of the next token that the caller needs.
	Next serving.TokenIndex `json:"-"`
	// Finished is true if the caller has received the last token.
	Finished bool `json:"-"`
}

// Signer signs and verifies resume tokens with a key that all entries share. A resume
// token consists of the encoded Position, the index of the next token and a MAC,
// separated by dots.
type Signer struct {
	key []byte
}

// NewSigner returns a signer for a key.
func NewSigner(key string) *Signer {
	sum := sha256.Sum256([]byte("turmericdrum resume token " + key))
	return &Signer{key: sum[:]}
}

// Sign returns the resume token of a position.
func (s *Signer) Sign(p Position) string {
	return string(s.Stream(p).Append(nil, p.Next, p.Finished))
}

// Stream returns a signer for the positions of one stream, which differ only in
// Next and Finished. The StreamSigner is not safe for concurrent use.
func (s *Signer) Stream(p Position) *StreamSigner {
	b, err := json.Marshal(p)
	if err != nil {
		panic(err) // Position has no field that fails to marshal.
	}
	body := base64.RawURLEncoding.EncodeToString(b)
	return &StreamSigner{body: body, mac: s.streamMAC(body)}
}

// streamMAC returns an HMAC whose key is derived from the signing key and body,
// so that the MAC of an index also covers the body without hashing it again.
func (s *Signer) streamMAC(body string) hash.Hash {
	m := hmac.New(sha256.New, s.key)
	m.Write([]byte(body))
	return hmac.New(sha256.New, m.Sum(nil))
}

// Verify checks the signature of a resume token and returns its position.
func (s *Signer) Verify(token string) (Position, error) {
	var p Position
	invalid := serving.NewError(serving.KindResumeTokenWrong, "the resume token is damaged or was signed with another key")
	parts := strings.Split(token, ".")
	if len(token) > maxResumeTokenLength || len(parts) != 3 {
		return p, invalid
	}
	want := appendMAC(nil, s.streamMAC(parts[0]), []byte(parts[1]))
	if !hmac.Equal([]byte(parts[2]), want) {
		return p, invalid
	}
	b, err := base64.RawURLEncoding.DecodeString(parts[0])
	if err != nil {
		return p, serving.WrapError(err, serving.KindResumeTokenWrong, "decode resume token")
	}
	if err := json.Unmarshal(b, &p); err != nil {
		return p, serving.WrapError(err, serving.KindResumeTokenWrong, "decode resume token")
	}
	index, finished := strings.CutSuffix(parts[1], finishedSuffix)
	n, err := strconv.ParseInt(index, 10, 64)
	if err != nil {
		return p, serving.WrapError(err, serving.KindResumeTokenWrong, "decode resume token")
	}
	p.Next, p.Finished = serving.TokenIndex(n), finished
	return p, nil
}

// StreamSigner signs the resume tokens of one stream. Its encoded position and
// derived key are computed once.
type StreamSigner struct {
	body string
	mac  hash.Hash
}

// Append appends to dst the resume token for the index next. finished means that
// the caller has received the last token.
func (s *StreamSigner) Append(dst []byte, next serving.TokenIndex, finished bool) []byte {
	dst = append(dst, s.body...)
	dst = append(dst, '.')
	start := len(dst)
	dst = strconv.AppendInt(dst, int64(next), 10)
	if finished {
		dst = append(dst, finishedSuffix...)
	}
	index := dst[start:]
	dst = append(dst, '.')
	return appendMAC(dst, s.mac, index)
}

func appendMAC(dst []byte, m hash.Hash, index []byte) []byte {
	var sum [sha256.Size]byte
	m.Reset()
	m.Write(index)
	return base64.RawURLEncoding.AppendEncode(dst, m.Sum(sum[:0])[:macBytes])
}
