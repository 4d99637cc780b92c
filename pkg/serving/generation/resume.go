package generation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// maxResumeToken bounds the length of a resume token that is looked at.
const maxResumeToken = 2048

// Position is a place in a stream from which a caller can resume it.
type Position struct {
	Account      serving.ClientAccountID `json:"a"`
	RequestID    serving.RequestID       `json:"r"`
	GenerationID serving.GenerationID    `json:"g"`
	Engine       serving.EngineID        `json:"e"`
	// Incarnation tells a restarted engine, which has lost the generation, from the one that ran it.
	Incarnation serving.Incarnation `json:"i"`
	// Address lets an entry that does not know the engine yet reach it.
	Address string `json:"h"`
	// Next is the index of the next token that the caller needs.
	Next serving.TokenIndex `json:"n"`
}

// Signer signs and verifies resume tokens with a key that all entries share.
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
	b, err := json.Marshal(p)
	if err != nil {
		panic(err) // Position has no field that fails to marshal.
	}
	body := base64.RawURLEncoding.EncodeToString(b)
	return body + "." + s.mac(body)
}

// Verify returns the position of a resume token.
func (s *Signer) Verify(token string) (Position, error) {
	var p Position
	body, mac, ok := strings.Cut(token, ".")
	if !ok || len(token) > maxResumeToken || !hmac.Equal([]byte(mac), []byte(s.mac(body))) {
		return p, serving.NewError(serving.KindResumeTokenWrong, "the resume token is damaged or was signed with another key")
	}
	b, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return p, serving.WrapError(err, serving.KindResumeTokenWrong, "decode resume token")
	}
	if err := json.Unmarshal(b, &p); err != nil {
		return p, serving.WrapError(err, serving.KindResumeTokenWrong, "decode resume token")
	}
	return p, nil
}

func (s *Signer) mac(body string) string {
	m := hmac.New(sha256.New, s.key)
	m.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil)[:16])
}
