package registry

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

// resolve returns the canonical id for a canonical id or an alias of any scheme.
func (m *Machine) resolve(kind schema.ObjectKind, name string) (string, bool) {
	if _, ok := m.objects[objectKey{kind, name}]; ok {
		return name, true
	}
	return m.resolveAlias(kind, name)
}

// resolveAlias looks a name up in all schemes. A name that exists in several
// schemes has the same target in each, because putAlias refuses ambiguous names.
func (m *Machine) resolveAlias(kind schema.ObjectKind, name string) (string, bool) {
	for _, scheme := range m.cfg.Schemes {
		if a := m.aliases[aliasKey{kind, scheme, name}]; a != nil {
			return a.GetTarget(), true
		}
	}
	return "", false
}

// putAlias creates an alias or changes its target.
func (m *Machine) putAlias(a *schema.Alias, expected uint64) *schema.ChangeResult {
	if msg := m.validateAlias(a); msg != "" {
		return refuse(schema.Outcome_OUTCOME_INVALID, 0, msg)
	}
	key := aliasKey{a.GetKind(), a.GetScheme(), a.GetName()}
	subject := describeAlias(key)
	old := m.aliases[key]
	if old.GetRevision() != expected {
		return conflict(subject, expected, old.GetRevision())
	}
	target, ok := m.resolve(a.GetKind(), a.GetTarget())
	if !ok {
		return refuse(schema.Outcome_OUTCOME_NOT_FOUND, 0,
			subject+": no "+kindName(a.GetKind())+" has the name "+quote(a.GetTarget()))
	}
	if _, ok := m.objects[objectKey{a.GetKind(), a.GetName()}]; ok && a.GetName() != target {
		return refuse(schema.Outcome_OUTCOME_AMBIGUOUS_NAME, old.GetRevision(),
			subject+": "+a.GetName()+" is the canonical id of another "+kindName(a.GetKind()))
	}
	for _, scheme := range m.cfg.Schemes {
		other := m.aliases[aliasKey{a.GetKind(), scheme, a.GetName()}]
		if scheme != a.GetScheme() && other != nil && other.GetTarget() != target {
			return refuse(schema.Outcome_OUTCOME_AMBIGUOUS_NAME, old.GetRevision(),
				subject+": scheme "+scheme+" has the same name for "+other.GetTarget())
		}
	}
	res := m.accept()
	stored := proto.CloneOf(a)
	stored.Target, stored.Revision = target, res.GetRevision()
	m.aliases[key] = stored
	return res
}

func (m *Machine) removeAlias(a *schema.Alias, expected uint64) *schema.ChangeResult {
	key := aliasKey{a.GetKind(), a.GetScheme(), a.GetName()}
	old := m.aliases[key]
	if old == nil {
		return refuse(schema.Outcome_OUTCOME_NOT_FOUND, 0, "no "+describeAlias(key))
	}
	if old.GetRevision() != expected {
		return conflict(describeAlias(key), expected, old.GetRevision())
	}
	delete(m.aliases, key)
	return m.accept()
}

// aliasesOf returns the aliases of an object, sorted.
func (s *state) aliasesOf(key objectKey) []*schema.Alias {
	var list []*schema.Alias
	for k, a := range s.aliases {
		if k.kind == key.kind && a.GetTarget() == key.id {
			list = append(list, a)
		}
	}
	sortAliases(list)
	return list
}

func sortAliases(list []*schema.Alias) {
	slices.SortFunc(list, func(a, b *schema.Alias) int {
		return cmp.Or(cmp.Compare(a.GetKind(), b.GetKind()),
			cmp.Compare(a.GetScheme(), b.GetScheme()), cmp.Compare(a.GetName(), b.GetName()))
	})
}

func sortObjects(list []*schema.Object) {
	slices.SortFunc(list, func(a, b *schema.Object) int {
		return cmp.Or(cmp.Compare(a.GetKind(), b.GetKind()), cmp.Compare(a.GetId(), b.GetId()))
	})
}

// sameAliases reports whether two lists have the same aliases. The list b must be
// sorted.
func sameAliases(a, b []*schema.Alias) bool {
	a = slices.Clone(a)
	sortAliases(a)
	return slices.EqualFunc(a, b, func(x, y *schema.Alias) bool {
		return x.GetScheme() == y.GetScheme() && x.GetName() == y.GetName() &&
			x.GetKind() == y.GetKind() && x.GetTarget() == y.GetTarget()
	})
}
