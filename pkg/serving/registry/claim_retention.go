package registry

import (
	"crypto/sha256"
	"encoding/binary"
)

// claims holds the claims and the hashes of the keys whose claims are past their
// retention. Both queues are in the order of time, which never goes back.
type claims struct {
	byKey map[claimKey]*claim
	// queue has one item for each grant; that of an earlier grant is ignored.
	queue   []claimItem
	past    map[keyHash]struct{}
	pastDue []pastKey
}

// claimItem is one grant of a claim. Grants are numbered, because two of them may
// fall into one millisecond.
type claimItem struct {
	c         *claim
	grant     int
	grantedMS int64
}

// keyHash is the start of the SHA-256 hash of a key. At 128 bits two keys in use
// practically never share it; if they did, a new key would be refused as expired.
type keyHash [16]byte

type pastKey struct {
	hash        keyHash
	keepUntilMS int64
}

func newClaims() claims {
	return claims{byKey: map[claimKey]*claim{}, past: map[keyHash]struct{}{}}
}

// add stores a claim that was just granted.
func (cs *claims) add(c *claim) {
	c.grant++
	cs.byKey[c.key] = c
	cs.queue = append(cs.queue, claimItem{c, c.grant, c.grantedMS})
}

// current reports whether an item is that of the last grant of a claim.
func (cs *claims) current(item claimItem) bool {
	return item.grant == item.c.grant && cs.byKey[item.c.key] == item.c
}

// expired reports whether the claim of a key is past its retention.
func (cs *claims) expired(k claimKey) bool {
	_, ok := cs.past[hashKey(k)]
	return ok
}

// expire replaces claims past their retention by the hash of their key, and drops
// hashes past theirs.
func (cs *claims) expire(nowMS int64, cfg Config) {
	retention, keep := cfg.ClaimRetention.Milliseconds(), cfg.KeyRetention.Milliseconds()
	n := 0
	for n < len(cs.queue) && cs.queue[n].grantedMS+retention < nowMS {
		item := cs.queue[n]
		cs.queue[n] = claimItem{}
		n++
		if !cs.current(item) {
			continue
		}
		delete(cs.byKey, item.c.key)
		cs.addPast(pastKey{hashKey(item.c.key), item.grantedMS + keep})
	}
	cs.queue = cs.queue[n:]
	n = 0
	for n < len(cs.pastDue) && cs.pastDue[n].keepUntilMS < nowMS {
		delete(cs.past, cs.pastDue[n].hash)
		n++
	}
	cs.pastDue = cs.pastDue[n:]
}

func (cs *claims) addPast(p pastKey) {
	cs.past[p.hash] = struct{}{}
	cs.pastDue = append(cs.pastDue, p)
}

// hashKey hashes the parts of a key with their lengths, so that no two keys
// have the same input.
func hashKey(k claimKey) keyHash {
	b := make([]byte, 0, 12+len(k.account)+len(k.service)+len(k.key))
	for _, s := range []string{k.account, k.service, k.key} {
		b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
		b = append(b, s...)
	}
	h := sha256.Sum256(b)
	return keyHash(h[:16])
}
