package entry

import (
	"strings"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// The limit of an account's requests in progress applies to all entries together. It
// uses the same slots as the limit of an engine, with a key of the account in place of
// the engine ID and a constant incarnation.

const accountIncarnation serving.Incarnation = 1

// accountOwnerKey returns the key under which an account's owner is chosen and its
// slots are held.
func accountOwnerKey(id serving.ClientAccountID) serving.EngineID {
	return serving.EngineID(accountKeyPrefix + string(id))
}

// accountOf returns the account of a key, or false if the key is the ID of an engine.
func accountOf(key serving.EngineID) (serving.ClientAccountID, bool) {
	id, ok := strings.CutPrefix(string(key), accountKeyPrefix)
	return serving.ClientAccountID(id), ok
}

// maxInProgress returns the limit of an account's requests in progress; 0 means no
// limit.
func (s *dispatcher) maxInProgress(id serving.ClientAccountID) serving.Slots {
	b := s.entry.board.load()
	if b.View == nil {
		return 0
	}
	_, a, ok := b.View.Account(string(id))
	if !ok {
		return 0
	}
	return serving.Slots(a.GetMaxInProgress())
}

// hasAccountSlot reports whether the account's limit permits another request now.
func (s *dispatcher) hasAccountSlot(now time.Duration, id serving.ClientAccountID) bool {
	if s.maxInProgress(id) == 0 {
		return true
	}
	h := s.held[accountOwnerKey(id)]
	return h != nil && h.holder.Free(now) > 0
}

// acquireAccountSlot acquires a slot of the account. It returns an empty slot if the
// account has no limit.
func (s *dispatcher) acquireAccountSlot(now time.Duration, id serving.ClientAccountID) dispatch.Slot {
	if s.maxInProgress(id) == 0 {
		return dispatch.Slot{}
	}
	slot, _ := s.holderOf(accountOwnerKey(id)).holder.Acquire(now)
	return slot
}

// requestAccountSlots requests slots of the accounts that have waiting requests.
func (s *dispatcher) requestAccountSlots() {
	waiting := map[serving.ClientAccountID]serving.Slots{}
	for _, w := range s.waiting {
		if s.maxInProgress(w.request.Account) > 0 {
			waiting[w.request.Account]++
		}
	}
	for id, n := range waiting {
		key := accountOwnerKey(id)
		h := s.holderOf(key)
		h.holder.SetDemand(n)
		s.request(key, h)
	}
}

// ownerOfKey returns the entry that owns an engine or an account.
func (s *dispatcher) ownerOfKey(key serving.EngineID) (engine.Entry, bool) {
	if _, ok := accountOf(key); ok {
		return s.ownership.Owner(key, "", "")
	}
	n := s.entry.board.load().Engines[key]
	if n == nil {
		return engine.Entry{}, false
	}
	return s.ownerOf(n)
}

// updateOwnedAccount applies the current limit of an account that this entry owns. It
// returns nil if this entry does not own the account or the account has no limit.
func (s *dispatcher) updateOwnedAccount(now time.Duration, key serving.EngineID, b *Blackboard) *slotOwner {
	id, _ := accountOf(key)
	owner, ok := s.ownership.Owner(key, "", "")
	limit := s.maxInProgress(id)
	if !ok || owner.Host != s.self.Host || limit == 0 || b.View == nil {
		delete(s.owned, key)
		return nil
	}
	o := s.owned[key]
	if o == nil {
		var from *dispatch.Handover
		if s.ownership.Settled(now, key, "", "") {
			from = &dispatch.Handover{} // All slots that other owners granted have expired.
		}
		o = &slotOwner{owner: dispatch.NewOwner(s.cfg, key, dispatch.OwnerTerm{Epoch: s.ownership.Epoch(), Owner: s.self}, now, from)}
		s.owned[key] = o
	}
	o.owner.ViewConfirmed(b.View.ConfirmedAt)
	// An account has no load reports; its requests are known from its slots only.
	o.owner.Report(now, accountIncarnation, serving.Load{})
	o.owner.SetLimit(limit)
	return o
}
