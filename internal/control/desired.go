package control

import (
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/fleet"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

// desiredState returns the desired state of the models and engines according to the
// configuration.
func desiredState(v *registry.View) fleet.Want {
	w := fleet.Want{Models: map[serving.ModelID]fleet.ModelWant{}, Engines: map[serving.EngineID]fleet.EngineWant{}}
	for _, o := range v.List(schema.ObjectKind_OBJECT_KIND_MODEL) {
		m := fleet.ModelWant{MinWarm: int(o.GetModel().GetMinWarm())}
		for _, version := range o.GetModel().GetVersions() {
			m.Versions = append(m.Versions, fleet.Share{Version: serving.Version(version.GetVersion()), Share: version.GetShare()})
		}
		w.Models[serving.ModelID(o.GetId())] = m
	}
	for _, o := range v.List(schema.ObjectKind_OBJECT_KIND_ENGINE) {
		e := o.GetEngine()
		if len(e.GetModels()) == 0 && len(e.GetAdapters()) == 0 && e.GetRole() == "" {
			continue
		}
		want := fleet.EngineWant{Adapters: e.GetAdapters(), Role: e.GetRole()}
		for _, m := range e.GetModels() {
			want.Models = append(want.Models, canonicalModel(v, m.GetModel(), m.GetVersion()))
		}
		w.Engines[serving.EngineID(o.GetId())] = want
	}
	return w
}

func canonicalModel(v *registry.View, name, version string) fleet.ModelVersion {
	if id, ok := v.Resolve(schema.ObjectKind_OBJECT_KIND_MODEL, name); ok {
		name = id
	}
	return fleet.ModelVersion{Model: serving.ModelID(name), Version: serving.Version(version)}
}
