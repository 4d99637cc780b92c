package entry

import (
	"strings"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// The limit of an account's requests in progress holds over all entries together
// by the same slots as the limit of an engine: the key of the account stands in
// for the id of an engine, and its incarnation is always the same.

const accountIncarnation serving.Incarnation = 1

func accountSlots(id serving.ClientAccountID) serving.EngineID {
	return serving.EngineID(accountKey + string(id))
}

// accountOf returns the account of an account's key.
func accountOf(key serving.EngineID) (serving.ClientAccountID, bool) {
	id, ok := strings.CutPrefix(string(key), accountKey)
	return serving.ClientAccountID(id), ok
}

// maxInProgress returns the limit of an account's requests in progress; 0 means none.
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

// hasAccountSlot tells whether the account may start a request now.
func (s *dispatcher) hasAccountSlot(now time.Duration, id serving.ClientAccountID) bool {
	if s.maxInProgress(id) == 0 {
		return true
	}
	h := s.held[accountSlots(id)]
	return h != nil && h.holder.Free(now) > 0
}

// takeAccountSlot takes a slot of the account if it has a limit.
func (s *dispatcher) takeAccountSlot(now time.Duration, id serving.ClientAccountID) dispatch.Slot {
	if s.maxInProgress(id) == 0 {
		return dispatch.Slot{}
	}
	slot, _ := s.holderOf(accountSlots(id)).holder.Acquire(now)
	return slot
}

// wantAccountSlots asks for slots of the accounts that wait.
func (s *dispatcher) wantAccountSlots() {
	waiting := map[serving.ClientAccountID]serving.Slots{}
	for _, w := range s.waiting {
		if s.maxInProgress(w.request.Account) > 0 {
			waiting[w.request.Account]++
		}
	}
	for id, n := range waiting {
		key := accountSlots(id)
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

// updateOwnedAccount follows the limit of an account that this entry owns, and
// returns nil if it does not own it.
func (s *dispatcher) updateOwnedAccount(now time.Duration, key serving.EngineID, b *Blackboard) *ownedEngine {
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
			from = &dispatch.Handover{} // No other owner can have granted anything.
		}
		o = &ownedEngine{owner: dispatch.NewOwner(s.cfg, key, dispatch.OwnerTerm{Epoch: s.ownership.Epoch(), Owner: s.self}, now, from)}
		s.owned[key] = o
	}
	o.owner.ViewConfirmed(b.View.ConfirmedAt)
	// Nothing but slots shows an account's requests, so that the report is empty.
	o.owner.Report(now, accountIncarnation, serving.Load{})
	o.owner.SetLimit(limit)
	return o
}
