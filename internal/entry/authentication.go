package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// authenticate returns the client account of a caller's key. It rejects operator keys.
func (e *Entry) authenticate(b *Blackboard, r *http.Request) (serving.ClientAccountID, error) {
	if b.View == nil {
		return "", serving.NewError(serving.KindViewExpired, "this entry has no confirmed configuration yet").WithRetryAfter(time.Second)
	}
	account, spec, ok := b.View.AccountByKey(bearerToken(r))
	if !ok || spec.GetOperator() {
		return "", serving.NewError(serving.KindUnauthenticated, "the key is missing or unknown")
	}
	return account, nil
}

// hasClusterKey reports whether a request carries the cluster key. Hashing both keys
// makes the comparison take the same time for keys of any length.
func (e *Entry) hasClusterKey(r *http.Request) bool {
	got, want := sha256.Sum256([]byte(bearerToken(r))), sha256.Sum256([]byte(e.Settings.ClusterKey))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

// requireClusterKey rejects requests without the cluster key.
func (e *Entry) requireClusterKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.hasClusterKey(r) {
			http.Error(w, "the cluster key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// bearerToken returns the bearer token of a request, or "" if there is none.
func bearerToken(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}
