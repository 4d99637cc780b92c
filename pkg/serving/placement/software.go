package placement

import (
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/rollout"
)

// Software restricts the engines that may get a call by the version of their software, while
// the traffic of a service shifts to another version.
type Software struct {
	// Only is the version that the call must get, Not one that it must not get; empty for
	// none.
	Only, Not rollout.Version
	// Among holds the engines that may get the call; nil means all.
	Among map[serving.EngineID]bool
}

// allows reports whether an engine may get the call. It allows all if s is nil.
func (s *Software) allows(e *engine) bool {
	return s == nil || (s.Only == "" || e.Version == s.Only) && (s.Not == "" || e.Version != s.Not) && (s.Among == nil || s.Among[e.Engine])
}

// ByVersion returns the engines of a service that may get calls, those of a version and the
// number of those of all others.
func (p *Pool) ByVersion(id serving.ServiceID, v rollout.Version) (of []serving.EngineID, others int) {
	for _, e := range p.engines {
		switch {
		case e.Service != id || !p.inService(e):
		case e.Version == v:
			of = append(of, e.Engine)
		default:
			others++
		}
	}
	return of, others
}

// OwnRunningExcept returns the number of calls of this entry in progress at engines of a
// service that have another version.
func (p *Pool) OwnRunningExcept(id serving.ServiceID, v rollout.Version) (n serving.Slots) {
	for _, e := range p.engines {
		if e.Service == id && e.Version != v {
			n += e.own.Running
		}
	}
	return n
}

// HasOtherVersion reports whether an engine of a service has another version.
func (p *Pool) HasOtherVersion(engine serving.EngineID, id serving.ServiceID, v rollout.Version) bool {
	e := p.engines[engine]
	return e != nil && e.Service == id && e.Version != v
}
