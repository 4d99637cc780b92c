package registry

import (
	"crypto/sha256"
	"encoding/binary"
)

// claims holds the claims and, for claims past their retention, the hashes of
// their keys. Both queues are in time order, because the machine's time never
// goes back.
type claims struct {
	byKey map[claimKey]*claim
	// queue has one item per grant. Only the item of a claim's latest grant counts.
	queue         []claimItem
	expiredHashes map[keyHash]struct{}
	expiredQueue  []expiredItem
}

// claimItem is one grant of a claim. Grants are numbered, because two of them can
// have the same time in milliseconds.
type claimItem struct {
	c           *claim
	grantNumber int
	grantedMS   int64
}

// keyHash is the first 128 bits of the SHA-256 hash of a claim key, which makes
// collisions practically impossible. On a collision a new key would be refused as
// expired.
type keyHash [16]byte

type expiredItem struct {
	hash        keyHash
	keepUntilMS int64
}

func newClaims() claims {
	return claims{byKey: map[claimKey]*claim{}, expiredHashes: map[keyHash]struct{}{}}
}

// add stores a claim that has just been granted.
func (cs *claims) add(c *claim) {
	c.grantNumber++
	cs.byKey[c.key] = c
	cs.queue = append(cs.queue, claimItem{c, c.grantNumber, c.grantedMS})
}

// isLatest reports whether an item is the latest grant of a stored claim.
func (cs *claims) isLatest(item claimItem) bool {
	return item.grantNumber == item.c.grantNumber && cs.byKey[item.c.key] == item.c
}

// expired reports whether the claim of a key is past its retention.
func (cs *claims) expired(k claimKey) bool {
	_, ok := cs.expiredHashes[hashKey(k)]
	return ok
}

// expire replaces claims past the claim retention with the hashes of their keys
// and removes hashes past the key retention.
func (cs *claims) expire(nowMS int64, cfg Config) {
	claimRetention, keyRetention := cfg.ClaimRetention.Milliseconds(), cfg.KeyRetention.Milliseconds()
	n := 0
	for n < len(cs.queue) && cs.queue[n].grantedMS+claimRetention < nowMS {
		item := cs.queue[n]
		cs.queue[n] = claimItem{}
		n++
		if !cs.isLatest(item) {
			continue
		}
		delete(cs.byKey, item.c.key)
		cs.addExpired(expiredItem{hashKey(item.c.key), item.grantedMS + keyRetention})
	}
	cs.queue = cs.queue[n:]
	n = 0
	for n < len(cs.expiredQueue) && cs.expiredQueue[n].keepUntilMS < nowMS {
		delete(cs.expiredHashes, cs.expiredQueue[n].hash)
		n++
	}
	cs.expiredQueue = cs.expiredQueue[n:]
}

func (cs *claims) addExpired(p expiredItem) {
	cs.expiredHashes[p.hash] = struct{}{}
	cs.expiredQueue = append(cs.expiredQueue, p)
}

// hashKey hashes the parts of a key together with their lengths, so that
// different keys have different hash inputs.
func hashKey(k claimKey) keyHash {
	b := make([]byte, 0, 12+len(k.account)+len(k.service)+len(k.key))
	for _, s := range []string{k.account, k.service, k.key} {
		b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
		b = append(b, s...)
	}
	h := sha256.Sum256(b)
	return keyHash(h[:16])
}
