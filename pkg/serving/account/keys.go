package account

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// KeyHash is the SHA-256 hash of a key. Keys are long and random, so a slow
// password hash would make each request more expensive without adding security.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash in hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// ParseKeyHash parses the hexadecimal form.
func ParseKeyHash(s string) (KeyHash, error) {
	var h KeyHash
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) {
		return h, serving.NewError(serving.KindInvalid, "key hash is not 64 hexadecimal digits")
	}
	copy(h[:], b)
	return h, nil
}

// Bearer returns the key of an Authorization header, or false if the header does
// not have the Bearer scheme or the key is empty.
func Bearer(header string) (string, bool) {
	scheme, key, ok := strings.Cut(header, " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}

// Keyring maps keys to accounts. It is immutable and safe for concurrent use.
type Keyring struct {
	// byPrefix is keyed by the first four bytes of the key hash.
	byPrefix map[[4]byte][]ringKey
}

type ringKey struct {
	hash    KeyHash
	account serving.ClientAccountID
}

// NewKeyring returns a keyring for the given key hashes of each account.
func NewKeyring(keys map[serving.ClientAccountID][]KeyHash) *Keyring {
	k := &Keyring{byPrefix: map[[4]byte][]ringKey{}}
	for account, hashes := range keys {
		for _, h := range hashes {
			p := [4]byte(h[:4])
			k.byPrefix[p] = append(k.byPrefix[p], ringKey{h, account})
		}
	}
	return k
}

// Authenticate returns the account of a key, or false if the key is unknown. Its
// duration depends only on the first four bytes of the key's hash, from which the
// key can't be derived; full hashes are compared in constant time.
func (k *Keyring) Authenticate(key string) (serving.ClientAccountID, bool) {
	h := HashKey(key)
	candidates := k.byPrefix[[4]byte(h[:4])]
	if len(candidates) == 0 {
		// Compare once for an unknown prefix too, so that it takes as long as a known one.
		candidates = []ringKey{{}}
	}
	var account serving.ClientAccountID
	found := 0
	for i := range candidates {
		if subtle.ConstantTimeCompare(candidates[i].hash[:], h[:]) == 1 {
			account, found = candidates[i].account, 1
		}
	}
	return account, found == 1 && account != ""
}
