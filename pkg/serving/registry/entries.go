package registry

import (
	"slices"
	"strings"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

// applyEntries replaces the list of entries that may own engines. It reports a
// conflict if the list has changed since the leader read it.
func (m *Machine) applyEntries(c *schema.SetEntries) *schema.ChangeResult {
	if c.GetExpectedEpoch() != m.entries.GetEpoch() {
		return &schema.ChangeResult{Outcome: schema.Outcome_OUTCOME_CONFLICT, Revision: m.entries.GetEpoch(), Message: "the entry list has changed"}
	}
	entries := slices.Clone(c.GetEntries())
	slices.SortFunc(entries, func(a, b *schema.ListedEntry) int { return strings.Compare(a.GetHost(), b.GetHost()) })
	for i, e := range entries {
		if e.GetHost() == "" || e.GetAddress() == "" || (i > 0 && entries[i-1].GetHost() == e.GetHost()) {
			return &schema.ChangeResult{Outcome: schema.Outcome_OUTCOME_INVALID, Message: "an entry has no host or address, or is listed twice"}
		}
	}
	m.entries = &schema.EntryList{Epoch: m.entries.GetEpoch() + 1, Entries: entries}
	return &schema.ChangeResult{Outcome: schema.Outcome_OUTCOME_ACCEPTED, Revision: m.entries.GetEpoch()}
}

// Entries returns the list of entries that may own engines. The caller must not
// modify it.
func (m *Machine) Entries() *schema.EntryList {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.entries
}

// Resolve returns the canonical id for a canonical id or an alias of any scheme.
func (m *Machine) Resolve(kind schema.ObjectKind, name string) (string, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.resolve(kind, name)
}
