package registry

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// View is an immutable, indexed copy of the configuration at one revision.
// [View.Update] returns a new view. The returned objects are shared and must
// not be modified.
type View struct {
	revision serving.Revision
	objects  map[objectKey]*schema.Object
	aliases  map[aliasKey]*schema.Alias
	// names maps the aliases of all schemes to canonical ids.
	names     map[objectKey]string
	keyOwners map[[sha256.Size]byte]*schema.Object
	entries   []*schema.Object
}

// NewView returns a view of a complete configuration.
func NewView(c *schema.ConfigView) (*View, error) {
	if c.GetBaseRevision() != 0 {
		return nil, serving.NewError(serving.KindInvalid, "a new view needs the whole configuration, not changes")
	}
	v := &View{
		objects: make(map[objectKey]*schema.Object, len(c.GetObjects())),
		aliases: make(map[aliasKey]*schema.Alias, len(c.GetAliases())),
	}
	if err := v.load(c); err != nil {
		return nil, err
	}
	return v, nil
}

// Update returns a view with c applied. c is a complete configuration or the
// changes since the revision of v. Update returns an error of KindConflict if c is
// older than v or has the changes since another revision.
func (v *View) Update(c *schema.ConfigView) (*View, error) {
	if serving.Revision(c.GetRevision()) < v.revision {
		return nil, serving.NewError(serving.KindConflict,
			fmt.Sprintf("configuration of revision %d is older than %d", c.GetRevision(), v.revision))
	}
	if c.GetBaseRevision() == 0 {
		return NewView(c)
	}
	if serving.Revision(c.GetBaseRevision()) != v.revision {
		return nil, serving.NewError(serving.KindConflict,
			fmt.Sprintf("changes since revision %d do not apply to revision %d", c.GetBaseRevision(), v.revision))
	}
	next := &View{objects: maps.Clone(v.objects), aliases: maps.Clone(v.aliases)}
	if err := next.load(c); err != nil {
		return nil, err
	}
	return next, nil
}

func (v *View) load(c *schema.ConfigView) error {
	v.revision = serving.Revision(c.GetRevision())
	for _, n := range c.GetRemoved() {
		delete(v.objects, objectKey{n.GetKind(), n.GetName()})
	}
	for _, a := range c.GetRemovedAliases() {
		delete(v.aliases, aliasKey{a.GetKind(), a.GetScheme(), a.GetName()})
	}
	for _, o := range c.GetObjects() {
		if msg := validateObject(o); msg != "" {
			return serving.NewError(serving.KindInvalid, "configuration view: "+msg)
		}
		v.objects[objectKey{o.GetKind(), o.GetId()}] = o
	}
	for _, a := range c.GetAliases() {
		v.aliases[aliasKey{a.GetKind(), a.GetScheme(), a.GetName()}] = a
	}
	return v.index()
}

func (v *View) index() error {
	v.names = make(map[objectKey]string, len(v.aliases))
	v.keyOwners = map[[sha256.Size]byte]*schema.Object{}
	for _, a := range v.aliases {
		key := objectKey{a.GetKind(), a.GetTarget()}
		if v.objects[key] == nil {
			return serving.NewError(serving.KindInvalid, "configuration view: alias "+quote(a.GetName())+" has no target")
		}
		v.names[objectKey{a.GetKind(), a.GetName()}] = a.GetTarget()
	}
	for key, o := range v.objects {
		for _, h := range o.GetClientAccount().GetKeyHashes() {
			v.keyOwners[[sha256.Size]byte(h)] = o
		}
		if key.kind == schema.ObjectKind_OBJECT_KIND_HOST && o.GetHost().GetEntry() {
			v.entries = append(v.entries, o)
		}
	}
	sortObjects(v.entries)
	return nil
}

// Revision returns the revision of the configuration.
func (v *View) Revision() serving.Revision { return v.revision }

// Resolve returns the canonical id for a canonical id or an alias of any scheme.
func (v *View) Resolve(kind schema.ObjectKind, name string) (string, bool) {
	if _, ok := v.objects[objectKey{kind, name}]; ok {
		return name, true
	}
	id, ok := v.names[objectKey{kind, name}]
	return id, ok
}

// Object returns the object with the given canonical id or alias, or nil.
func (v *View) Object(kind schema.ObjectKind, name string) *schema.Object {
	id, ok := v.Resolve(kind, name)
	if !ok {
		return nil
	}
	return v.objects[objectKey{kind, id}]
}

// List returns the objects of a kind, sorted by id.
func (v *View) List(kind schema.ObjectKind) []*schema.Object {
	var list []*schema.Object
	for key, o := range v.objects {
		if key.kind == kind {
			list = append(list, o)
		}
	}
	sortObjects(list)
	return list
}

// Entries returns the hosts that run an entry, sorted by id.
func (v *View) Entries() []*schema.Object { return slices.Clone(v.entries) }

// Config returns the complete configuration. An entry sends it to entries that
// request it.
func (v *View) Config() *schema.ConfigView {
	c := &schema.ConfigView{
		Revision: uint64(v.revision),
		Objects:  slices.Collect(maps.Values(v.objects)),
		Aliases:  slices.Collect(maps.Values(v.aliases)),
	}
	sortObjects(c.Objects)
	sortAliases(c.Aliases)
	return c
}
