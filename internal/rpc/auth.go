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

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// KeyHash is the SHA-256 hash of a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is stored and compared.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// ParseKeyHash parses the hash of a key in hexadecimal, as settings have it.
func ParseKeyHash(s string) (KeyHash, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != sha256.Size {
		return KeyHash{}, serving.NewError(serving.KindInvalid, "a key hash must have 64 hexadecimal digits, the SHA-256 hash of the key")
	}
	return KeyHash(b), nil
}

type keyContext struct{}

// ReadKey puts the hash of a call's bearer key into the context of the call. It
// refuses a call without a key; the handler decides what the key may do.
func ReadKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		if !strings.EqualFold(scheme, "Bearer") || key == "" {
			refuse(w, "the call has no bearer key")
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), keyContext{}, HashKey(key))))
	})
}

// RequireKey refuses calls whose bearer key does not have the wanted hash.
func RequireKey(want KeyHash, next http.Handler) http.Handler {
	return ReadKey(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if got, _ := CallerKey(r.Context()); subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			refuse(w, "the key is not the cluster key")
			return
		}
		next.ServeHTTP(w, r)
	}))
}

// CallerKey returns the hash of the key of the call that is being answered.
func CallerKey(ctx context.Context) (KeyHash, bool) {
	h, ok := ctx.Value(keyContext{}).(KeyHash)
	return h, ok
}

func refuse(w http.ResponseWriter, message string) {
	// A failed write means that the caller is gone.
	_ = twirp.WriteError(w, ToTwirp(serving.NewError(serving.KindUnauthenticated, message)))
}

// bearer adds the key to each request.
type bearer struct {
	key  string
	next http.RoundTripper
}

func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.key)
	return b.next.RoundTrip(r)
}

// defaultTransport connects to the replicas directly: a proxy of the environment
// would see the keys.
var defaultTransport = &http.Transport{
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	MaxIdleConnsPerHost: 16,
	IdleConnTimeout:     time.Minute,
}

// HTTPClient returns a client that sends the key with each call and follows no
// redirect, which would carry the key elsewhere.
func HTTPClient(key string, transport http.RoundTripper) *http.Client {
	if transport == nil {
		transport = defaultTransport
	}
	return &http.Client{
		Transport:     bearer{key, transport},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
