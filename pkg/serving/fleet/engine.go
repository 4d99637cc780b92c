package fleet

import (
	"slices"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// inService reports whether an engine accepts work.
func (e *Engine) inService() bool { return e.State == Ready && !e.Out }

func (e *Engine) carries(m ModelVersion) bool { return slices.Contains(e.Models, m) }

func (e *Engine) hasAdapter(a string) bool { return slices.Contains(e.Adapters, a) }

func (e *Engine) maxModels() int { return max(1, e.MaxModels) }

// hasOtherVersion reports whether an engine also carries another version of the
// model.
func (e *Engine) hasOtherVersion(m ModelVersion) bool {
	return slices.ContainsFunc(e.Models, func(o ModelVersion) bool { return o.Model == m.Model && o != m })
}

func containsModel(list []ModelVersion, model serving.ModelID) bool {
	for i := range list {
		if list[i].Model == model {
			return true
		}
	}
	return false
}
