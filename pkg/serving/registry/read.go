package registry

import (
	"crypto/sha256"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// maxHistoryPage is the maximum number of changes in one history response.
const maxHistoryPage = 1000

// Read returns the object of a kind with the given canonical id or alias. If the
// name is empty, it returns all objects of the kind, or of all kinds if the kind is
// unspecified. The returned objects include their aliases.
func (m *Machine) Read(r *schema.ReadRequest) (*schema.ReadResult, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	res := &schema.ReadResult{Revision: m.revision}
	if r.GetName() == "" {
		byTarget := map[objectKey][]*schema.Alias{}
		for _, a := range m.aliases {
			key := objectKey{a.GetKind(), a.GetTarget()}
			byTarget[key] = append(byTarget[key], a)
		}
		for key, o := range m.objects {
			if r.GetKind() == schema.ObjectKind_OBJECT_KIND_UNSPECIFIED || r.GetKind() == key.kind {
				sortAliases(byTarget[key])
				res.Objects = append(res.Objects, withAliases(o, byTarget[key]))
			}
		}
		sortObjects(res.Objects)
		return res, nil
	}
	id, ok := m.resolve(r.GetKind(), r.GetName())
	if !ok {
		return nil, serving.NewError(serving.KindNotFound, "no "+kindName(r.GetKind())+" has the name "+quote(r.GetName()))
	}
	key := objectKey{r.GetKind(), id}
	res.Objects = []*schema.Object{withAliases(m.objects[key], m.aliasesOf(key))}
	return res, nil
}

func withAliases(o *schema.Object, aliases []*schema.Alias) *schema.Object {
	o = proto.CloneOf(o)
	for _, a := range aliases {
		o.Aliases = append(o.Aliases, proto.CloneOf(a))
	}
	return o
}

// History returns up to 1000 accepted changes after a revision, oldest first.
func (m *Machine) History(r *schema.HistoryRequest) *schema.HistoryResult {
	m.mu.RLock()
	defer m.mu.RUnlock()
	list := m.historyAfter(r.GetAfterRevision())
	limit := int(r.GetLimit())
	if limit <= 0 || limit > maxHistoryPage {
		limit = maxHistoryPage
	}
	// History entries are never modified, so they can be shared.
	return &schema.HistoryResult{Entries: slices.Clone(list[:min(limit, len(list))])}
}

func (s *state) historyAfter(revision uint64) []*schema.HistoryEntry {
	n, _ := slices.BinarySearchFunc(s.history, revision+1, func(h *schema.HistoryEntry, r uint64) int {
		if h.GetRevision() < r {
			return -1
		}
		if h.GetRevision() > r {
			return 1
		}
		return 0
	})
	return s.history[n:]
}

// ConfigView returns the changes since the base revision, or the complete
// configuration if base is 0 or the history no longer covers it. The caller must
// not modify the result.
func (m *Machine) ConfigView(base serving.Revision) *schema.ConfigView {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if v := m.changesSince(uint64(base)); v != nil {
		return v
	}
	v := &schema.ConfigView{
		Revision: m.revision,
		Objects:  slices.Collect(maps.Values(m.objects)),
		Aliases:  slices.Collect(maps.Values(m.aliases)),
	}
	sortObjects(v.Objects)
	sortAliases(v.Aliases)
	return v
}

// changesSince returns nil if the history does not contain every change after base.
func (s *state) changesSince(base uint64) *schema.ConfigView {
	list := s.historyAfter(base)
	if base == 0 || base > s.revision || uint64(len(list)) != s.revision-base {
		return nil
	}
	v := &schema.ConfigView{Revision: s.revision, BaseRevision: base}
	objects, aliases := map[objectKey]bool{}, map[aliasKey]bool{}
	for _, h := range list {
		if key, ok := changedAlias(h.GetChange()); ok {
			if !aliases[key] {
				aliases[key] = true
				s.addAlias(v, key)
			}
			continue
		}
		if key := (objectKey{changedKind(h.GetChange()), h.GetCanonicalId()}); !objects[key] {
			objects[key] = true
			s.addObject(v, key)
		}
	}
	return v
}

func (s *state) addObject(v *schema.ConfigView, key objectKey) {
	if o := s.objects[key]; o != nil {
		v.Objects = append(v.Objects, o)
		return
	}
	v.Removed = append(v.Removed, &schema.ObjectName{Kind: key.kind, Name: key.id})
}

func (s *state) addAlias(v *schema.ConfigView, key aliasKey) {
	if a := s.aliases[key]; a != nil {
		v.Aliases = append(v.Aliases, a)
		return
	}
	v.RemovedAliases = append(v.RemovedAliases, &schema.Alias{Kind: key.kind, Scheme: key.scheme, Name: key.name})
}

func changedAlias(c *schema.Change) (aliasKey, bool) {
	a := c.GetPutAlias()
	if a == nil {
		a = c.GetRemoveAlias()
	}
	return aliasKey{a.GetKind(), a.GetScheme(), a.GetName()}, a != nil
}

func changedKind(c *schema.Change) schema.ObjectKind {
	switch a := c.GetAction().(type) {
	case *schema.Change_Put:
		return a.Put.GetKind()
	case *schema.Change_Remove:
		return a.Remove.GetKind()
	case *schema.Change_TakeOut:
		return a.TakeOut.GetKind()
	case *schema.Change_BringBack:
		return a.BringBack.GetKind()
	}
	return schema.ObjectKind_OBJECT_KIND_UNSPECIFIED
}

// AccountByKeyHash returns the client account whose API key has the given SHA-256
// hash. The caller must not modify it.
func (m *Machine) AccountByKeyHash(hash [sha256.Size]byte) (serving.ClientAccountID, *schema.ClientAccount, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	id, ok := m.keyOwners[string(hash[:])]
	o := m.objects[objectKey{schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, id}]
	return serving.ClientAccountID(id), o.GetClientAccount(), ok
}
