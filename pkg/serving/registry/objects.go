package registry

import (
	"encoding/hex"
	"strings"

	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

// put creates or replaces an object. It is refused unless expected is the revision of
// the stored object, or 0 if there is none. The returned id is empty on a refusal.
func (m *Machine) put(o *schema.Object, expected uint64) (string, *schema.ChangeResult) {
	o = proto.CloneOf(o)
	if msg := validateObject(o); msg != "" {
		return "", refuse(schema.Outcome_OUTCOME_INVALID, 0, msg)
	}
	key := objectKey{o.GetKind(), o.GetId()}
	subject := describe(key)
	old := m.objects[key]
	if old.GetRevision() != expected {
		return "", conflict(subject, expected, old.GetRevision())
	}
	if msg := m.checkReadOnlyFields(old, o); msg != "" {
		return "", refuse(schema.Outcome_OUTCOME_INVALID, old.GetRevision(), subject+": "+msg)
	}
	if target, ok := m.resolveAlias(key.kind, key.id); ok && target != key.id {
		return "", refuse(schema.Outcome_OUTCOME_AMBIGUOUS_NAME, 0, subject+": the id is an alias of "+target)
	}
	if msg := m.resolveReferences(o); msg != "" {
		return "", refuse(schema.Outcome_OUTCOME_INVALID, old.GetRevision(), subject+": "+msg)
	}
	if msg := m.checkVersionsInUse(o); msg != "" {
		return "", refuse(schema.Outcome_OUTCOME_IN_USE, old.GetRevision(), subject+": "+msg)
	}
	for _, h := range o.GetClientAccount().GetKeyHashes() {
		if owner, ok := m.keyOwners[string(h)]; ok && owner != key.id {
			return "", refuse(schema.Outcome_OUTCOME_INVALID, old.GetRevision(),
				subject+": key hash "+hex.EncodeToString(h[:4])+"... belongs to client account "+owner)
		}
	}
	res := m.accept()
	o.Revision, o.Aliases = res.GetRevision(), nil
	m.store(o)
	return key.id, res
}

// checkReadOnlyFields checks that a put does not change a field that only other
// actions may change. It returns an error message, or "" if the put is valid.
func (m *Machine) checkReadOnlyFields(old, o *schema.Object) string {
	if len(o.GetAliases()) > 0 && !sameAliases(o.GetAliases(), m.aliasesOf(objectKey{o.GetKind(), o.GetId()})) {
		return "aliases are changed with put_alias and remove_alias, not with put"
	}
	if old != nil && isOut(old) != isOut(o) {
		return "out is changed with take_out and bring_back, not with put"
	}
	return ""
}

func (m *Machine) remove(n *schema.ObjectName, expected uint64) (string, *schema.ChangeResult) {
	o, res := m.find(n, expected)
	if res != nil {
		return "", res
	}
	key := objectKey{o.GetKind(), o.GetId()}
	if dependents := m.referrers(key); len(dependents) > 0 {
		suffix := ""
		if len(dependents) > 5 {
			dependents, suffix = dependents[:5], " and others"
		}
		return "", refuse(schema.Outcome_OUTCOME_IN_USE, o.GetRevision(),
			describe(key)+" is referred to by "+strings.Join(dependents, ", ")+suffix+"; change or remove those first")
	}
	m.removeKeyOwners(o)
	delete(m.objects, key)
	return key.id, m.accept()
}

func (m *Machine) setOut(n *schema.ObjectName, out bool, expected uint64) (string, *schema.ChangeResult) {
	if k := n.GetKind(); k != schema.ObjectKind_OBJECT_KIND_DATA_CENTRE && k != schema.ObjectKind_OBJECT_KIND_ENGINE {
		return "", refuse(schema.Outcome_OUTCOME_INVALID, 0, "only a data centre or an engine can be taken out or brought back")
	}
	o, res := m.find(n, expected)
	if res != nil {
		return "", res
	}
	o = proto.CloneOf(o)
	if dc := o.GetDataCentre(); dc != nil {
		dc.Out = out
	}
	if e := o.GetEngine(); e != nil {
		e.Out = out
	}
	res = m.accept()
	o.Revision = res.GetRevision()
	m.store(o)
	return o.GetId(), res
}

// find returns the object with a canonical id or alias if it is at the expected revision.
func (m *Machine) find(n *schema.ObjectName, expected uint64) (*schema.Object, *schema.ChangeResult) {
	id, ok := m.resolve(n.GetKind(), n.GetName())
	if !ok {
		return nil, refuse(schema.Outcome_OUTCOME_NOT_FOUND, 0,
			"no "+kindName(n.GetKind())+" has the name "+quote(n.GetName()))
	}
	key := objectKey{n.GetKind(), id}
	o := m.objects[key]
	if o.GetRevision() != expected {
		return nil, conflict(describe(key), expected, o.GetRevision())
	}
	return o, nil
}

func (s *state) store(o *schema.Object) {
	key := objectKey{o.GetKind(), o.GetId()}
	s.removeKeyOwners(s.objects[key])
	s.objects[key] = o
	for _, h := range o.GetClientAccount().GetKeyHashes() {
		s.keyOwners[string(h)] = key.id
	}
}

func (s *state) removeKeyOwners(o *schema.Object) {
	for _, h := range o.GetClientAccount().GetKeyHashes() {
		delete(s.keyOwners, string(h))
	}
}

func isOut(o *schema.Object) bool {
	return o.GetDataCentre().GetOut() || o.GetEngine().GetOut()
}
