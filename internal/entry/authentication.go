package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// authenticate returns the client account of a caller's key. An operator's key
// is not a caller's key.
func (e *Entry) authenticate(b *Blackboard, r *http.Request) (serving.ClientAccountID, error) {
	if b.View == nil {
		return "", serving.NewError(serving.KindViewExpired, "this entry has no confirmed configuration yet").WithRetryAfter(time.Second)
	}
	account, ok := b.View.accounts[sha256.Sum256([]byte(bearer(r)))]
	if !ok {
		return "", serving.NewError(serving.KindUnauthenticated, "the key is missing or unknown")
	}
	return account, nil
}

// isCluster tells whether a request carries the cluster key. Hashing first makes
// the comparison take the same time for keys of any length.
func (e *Entry) isCluster(r *http.Request) bool {
	got, want := sha256.Sum256([]byte(bearer(r))), sha256.Sum256([]byte(e.Settings.ClusterKey))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

func (e *Entry) requireCluster(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.isCluster(r) {
			http.Error(w, "the cluster key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func bearer(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}
