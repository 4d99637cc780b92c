package registry

import (
	"slices"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

// resolveReferences replaces the names of referenced objects with canonical ids.
// It returns an error message, or "" if all references are valid.
func (m *Machine) resolveReferences(o *schema.Object) string {
	switch s := o.GetSpec().(type) {
	case *schema.Object_Service:
		return m.resolveInto(schema.ObjectKind_OBJECT_KIND_MODEL, &s.Service.Model, true)
	case *schema.Object_Host:
		return m.resolveInto(schema.ObjectKind_OBJECT_KIND_DATA_CENTRE, &s.Host.DataCentre, false)
	case *schema.Object_Engine:
		for _, ref := range s.Engine.GetModels() {
			if msg := m.resolveInto(schema.ObjectKind_OBJECT_KIND_MODEL, &ref.Model, false); msg != "" {
				return msg
			}
			model := m.objects[objectKey{schema.ObjectKind_OBJECT_KIND_MODEL, ref.GetModel()}].GetModel()
			if !hasVersion(model, ref.GetVersion()) {
				return "model " + ref.GetModel() + " has no version " + quote(ref.GetVersion())
			}
		}
	}
	return ""
}

func (m *Machine) resolveInto(kind schema.ObjectKind, name *string, optional bool) string {
	if optional && *name == "" {
		return ""
	}
	id, ok := m.resolve(kind, *name)
	if !ok {
		return "no " + kindName(kind) + " has the name " + quote(*name)
	}
	*name = id
	return ""
}

// checkVersionsInUse checks that a put does not remove a model version that the
// desired state of an engine contains. It returns an error message, or "" if the put
// is valid.
func (m *Machine) checkVersionsInUse(o *schema.Object) string {
	if o.GetModel() == nil {
		return ""
	}
	var missing []string
	for _, other := range m.objects {
		for _, ref := range other.GetEngine().GetModels() {
			if ref.GetModel() == o.GetId() && !hasVersion(o.GetModel(), ref.GetVersion()) {
				missing = append(missing, ref.GetVersion())
			}
		}
	}
	if len(missing) == 0 {
		return ""
	}
	// The smallest version is reported, because map iteration order differs between
	// replicas and their results must be equal.
	return "an engine should carry version " + quote(slices.Min(missing)) + "; change that engine first"
}

func hasVersion(m *schema.Model, version string) bool {
	return slices.ContainsFunc(m.GetVersions(), func(v *schema.ModelVersion) bool { return v.GetVersion() == version })
}

// referrers describes the objects and aliases that refer to an object, sorted.
func (m *Machine) referrers(key objectKey) []string {
	var list []string
	for k, o := range m.objects {
		if refersTo(o, key) {
			list = append(list, describe(k))
		}
	}
	for _, a := range m.aliasesOf(key) {
		list = append(list, "alias "+a.GetScheme()+":"+a.GetName())
	}
	slices.Sort(list)
	return list
}

func refersTo(o *schema.Object, key objectKey) bool {
	switch key.kind {
	case schema.ObjectKind_OBJECT_KIND_MODEL:
		return o.GetService().GetModel() == key.id || slices.ContainsFunc(o.GetEngine().GetModels(),
			func(r *schema.ModelRef) bool { return r.GetModel() == key.id })
	case schema.ObjectKind_OBJECT_KIND_DATA_CENTRE:
		return o.GetHost().GetDataCentre() == key.id
	default:
		return false
	}
}
