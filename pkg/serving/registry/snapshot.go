package registry

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Snapshot returns the complete state as a deterministically encoded
// schema.RegistrySnapshot. The lock is released before encoding, because stored
// messages are never modified.
func (m *Machine) Snapshot() ([]byte, error) {
	s := m.save()
	sortObjects(s.Objects)
	sortAliases(s.Aliases)
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, serving.WrapError(err, serving.KindInternal, "encode registry snapshot")
	}
	return b, nil
}

func (m *Machine) save() *schema.RegistrySnapshot {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &schema.RegistrySnapshot{
		NowMs:    m.nowMS,
		Revision: m.revision,
		Objects:  slices.Collect(maps.Values(m.objects)),
		Aliases:  slices.Collect(maps.Values(m.aliases)),
		History:  slices.Clone(m.history),
		Results:  slices.Clone(m.results.queue),
		Entries:  m.entries,
	}
	if m.defects.omitResults {
		s.Results = nil
	}
	s.Claims, s.ExpiredKeys = m.claims.save()
	return s
}

// Restore replaces the state with that of a snapshot. On an error the state is unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	var s schema.RegistrySnapshot
	if err := proto.Unmarshal(snapshot, &s); err != nil {
		return serving.WrapError(err, serving.KindDamaged, "decode registry snapshot")
	}
	st := newState()
	if s.GetEntries() != nil {
		st.entries = s.GetEntries()
	}
	st.nowMS, st.revision, st.history = s.GetNowMs(), s.GetRevision(), s.GetHistory()
	if msg := st.load(&s); msg != "" {
		return serving.NewError(serving.KindDamaged, "registry snapshot: "+msg)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = st
	return nil
}

func (s *state) load(snap *schema.RegistrySnapshot) string {
	for _, o := range snap.GetObjects() {
		key := objectKey{o.GetKind(), o.GetId()}
		if msg := validateObject(o); msg != "" {
			return msg
		}
		if s.objects[key] != nil || o.GetRevision() == 0 || o.GetRevision() > s.revision {
			return describe(key) + " is listed twice or has a wrong revision"
		}
		s.store(o)
	}
	for _, a := range snap.GetAliases() {
		key := aliasKey{a.GetKind(), a.GetScheme(), a.GetName()}
		if s.objects[objectKey{a.GetKind(), a.GetTarget()}] == nil || s.aliases[key] != nil || a.GetRevision() == 0 {
			return describeAlias(key) + " is listed twice, has no revision or its target does not exist"
		}
		s.aliases[key] = a
	}
	last := uint64(0)
	for _, h := range s.history {
		if h.GetRevision() <= last || h.GetRevision() > s.revision {
			return fmt.Sprintf("history is out of order at revision %d", h.GetRevision())
		}
		last = h.GetRevision()
	}
	for _, r := range snap.GetResults() {
		if r.GetCommandId() == "" || r.GetResult() == nil || s.results.byID[r.GetCommandId()] != nil {
			return "result of command " + quote(r.GetCommandId()) + " is incomplete or listed twice"
		}
		s.results.add(r)
	}
	return s.claims.load(snap)
}

func (cs *claims) save() ([]*schema.SavedClaim, []*schema.SavedKey) {
	list := make([]*schema.SavedClaim, 0, len(cs.byKey))
	for _, item := range cs.queue {
		if cs.isLatest(item) {
			list = append(list, item.c.save())
		}
	}
	keys := make([]*schema.SavedKey, 0, len(cs.expiredQueue))
	for _, p := range cs.expiredQueue {
		keys = append(keys, &schema.SavedKey{Hash: p.hash[:], KeepUntilMs: p.keepUntilMS})
	}
	return list, keys
}

func (c *claim) save() *schema.SavedClaim {
	s := &schema.SavedClaim{
		Key:         &schema.ClaimKey{ClientAccount: c.key.account, Service: c.key.service, Key: c.key.key},
		ContentHash: []byte(c.contentHash),
		Holder:      c.holder,
		AttemptId:   c.attempt,
		State:       c.state,
		GrantedMs:   c.grantedMS,
		Answer:      c.answer,
	}
	for _, a := range c.otherAttempts {
		s.Attempts = append(s.Attempts, &schema.SavedAttempt{Holder: a.holder, AttemptId: a.id, State: a.state})
	}
	return s
}

func (cs *claims) load(snap *schema.RegistrySnapshot) string {
	for _, s := range snap.GetClaims() {
		c := &claim{
			key:         claimKey{s.GetKey().GetClientAccount(), s.GetKey().GetService(), s.GetKey().GetKey()},
			contentHash: string(s.GetContentHash()),
			holder:      s.GetHolder(),
			attempt:     s.GetAttemptId(),
			state:       s.GetState(),
			grantedMS:   s.GetGrantedMs(),
			answer:      s.GetAnswer(),
		}
		for _, a := range s.GetAttempts() {
			c.otherAttempts = append(c.otherAttempts, attempt{a.GetHolder(), a.GetAttemptId(), a.GetState()})
		}
		if cs.byKey[c.key] != nil || !slices.Contains([]schema.ClaimState{inProgress, done, unknown, notRun}, c.state) {
			return "claim of key " + quote(c.key.key) + " is listed twice or has no valid state"
		}
		if n := len(cs.queue); n > 0 && cs.queue[n-1].grantedMS > c.grantedMS {
			return "claim of key " + quote(c.key.key) + " is out of order"
		}
		cs.add(c)
	}
	for _, k := range snap.GetExpiredKeys() {
		if len(k.GetHash()) != len(keyHash{}) {
			return "the hash of an expired key has the wrong length"
		}
		cs.addExpired(expiredItem{keyHash(k.GetHash()), k.GetKeepUntilMs()})
	}
	return ""
}
