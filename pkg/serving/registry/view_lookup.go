package registry

import (
	"crypto/sha256"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// AccountByKey returns the client account that an API key belongs to.
func (v *View) AccountByKey(key string) (serving.ClientAccountID, *schema.ClientAccount, bool) {
	return v.AccountByKeyHash(sha256.Sum256([]byte(key)))
}

// AccountByKeyHash returns the client account whose API key has the given SHA-256
// hash.
func (v *View) AccountByKeyHash(hash [sha256.Size]byte) (serving.ClientAccountID, *schema.ClientAccount, bool) {
	o, ok := v.keyOwners[hash]
	return serving.ClientAccountID(o.GetId()), o.GetClientAccount(), ok
}

// Account returns the client account with the given canonical id or alias.
func (v *View) Account(name string) (serving.ClientAccountID, *schema.ClientAccount, bool) {
	o := v.Object(schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, name)
	return serving.ClientAccountID(o.GetId()), o.GetClientAccount(), o != nil
}

// Service returns the service with the given canonical id or alias.
func (v *View) Service(name string) (serving.ServiceID, *schema.Service, bool) {
	o := v.Object(schema.ObjectKind_OBJECT_KIND_SERVICE, name)
	return serving.ServiceID(o.GetId()), o.GetService(), o != nil
}

// Model returns the model with the given canonical id or alias.
func (v *View) Model(name string) (serving.ModelID, *schema.Model, bool) {
	o := v.Object(schema.ObjectKind_OBJECT_KIND_MODEL, name)
	return serving.ModelID(o.GetId()), o.GetModel(), o != nil
}

// Engine returns the id and the desired state of the engine with the given canonical
// id or alias. If the configuration has no such engine, Engine returns the name as
// the id, because an engine that operators have not configured is in service under the
// id that it announced.
func (v *View) Engine(name string) (serving.EngineID, *schema.EngineWant, bool) {
	o := v.Object(schema.ObjectKind_OBJECT_KIND_ENGINE, name)
	if o == nil {
		return serving.EngineID(name), nil, false
	}
	return serving.EngineID(o.GetId()), o.GetEngine(), true
}

// DataCentre returns the data centre with the given canonical id or alias.
func (v *View) DataCentre(name string) (serving.DataCentreID, *schema.DataCentre, bool) {
	o := v.Object(schema.ObjectKind_OBJECT_KIND_DATA_CENTRE, name)
	return serving.DataCentreID(o.GetId()), o.GetDataCentre(), o != nil
}

// Host returns the host with the given canonical id or alias.
func (v *View) Host(name string) (serving.HostID, *schema.Host, bool) {
	o := v.Object(schema.ObjectKind_OBJECT_KIND_HOST, name)
	return serving.HostID(o.GetId()), o.GetHost(), o != nil
}

// DataCentreOut reports whether operators have taken a data centre out of service.
func (v *View) DataCentreOut(name string) bool {
	_, dc, _ := v.DataCentre(name)
	return dc.GetOut()
}

// EngineOut reports whether operators have taken an engine out of service.
func (v *View) EngineOut(name string) bool {
	_, e, _ := v.Engine(name)
	return e.GetOut()
}
