package rpc

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// KeyHash is the SHA-256 hash of a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is stored and compared.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// ParseKeyHash parses the hexadecimal SHA-256 hash of a key, the form in which
// settings contain it.
func ParseKeyHash(s string) (KeyHash, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != sha256.Size {
		return KeyHash{}, serving.NewError(serving.KindInvalid, "a key hash must have 64 hexadecimal digits, the SHA-256 hash of the key")
	}
	return KeyHash(b), nil
}

type keyContext struct{}

// ReadKey stores the hash of a call's bearer key in the context of the call, where
// CallerKey finds it. It rejects calls without a bearer key. Whether the key is
// authorized is left to the next handler.
func ReadKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := BearerKey(r)
		if key == "" {
			writeUnauthenticated(w, "the call has no bearer key")
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), keyContext{}, HashKey(key))))
	})
}

// BearerKey returns the bearer key of a request, or "" if there is none.
func BearerKey(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return key
}

// RequireKey rejects calls whose bearer key does not have the hash want.
func RequireKey(want KeyHash, next http.Handler) http.Handler {
	return ReadKey(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if got, _ := CallerKey(r.Context()); subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			writeUnauthenticated(w, "the key is not the cluster key")
			return
		}
		next.ServeHTTP(w, r)
	}))
}

// CallerKey returns the hash of the bearer key that ReadKey stored in the context
// of a call.
func CallerKey(ctx context.Context) (KeyHash, bool) {
	h, ok := ctx.Value(keyContext{}).(KeyHash)
	return h, ok
}

func writeUnauthenticated(w http.ResponseWriter, message string) {
	// A failed write means that the caller has disconnected.
	_ = twirp.WriteError(w, ToTwirp(serving.NewError(serving.KindUnauthenticated, message)))
}

// bearerTransport adds the key to each request as a bearer token.
type bearerTransport struct {
	key  string
	next http.RoundTripper
}

func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.key)
	return b.next.RoundTrip(r)
}

// defaultTransport connects to the replicas directly, because a proxy configured in
// the environment would see the keys.
var defaultTransport = &answer.Transport{Next: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	MaxIdleConnsPerHost: 16,
	IdleConnTimeout:     time.Minute,
}}

// HTTPClient returns a client that sends the key with each call. It does not follow
// redirects, because they could send the key to another server. A nil transport
// means direct connections.
func HTTPClient(key string, transport http.RoundTripper) *http.Client {
	if transport == nil {
		transport = defaultTransport
	}
	return &http.Client{
		Transport:     bearerTransport{key, transport},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
