package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// minCanary is the smallest canary if the version has so many engines. With three, failures
// of a single engine can be told from failures of the version.
const minCanary = 3

// CanarySize returns the number of engines of the new version that get the calls of the
// canary, so that each of them has about the load of an engine of the old version. share is
// the exposure share.
func CanarySize(newEngines, oldEngines int, share float64) int {
	n := int(min(1, canaryPart*max(0, share))*float64(max(0, oldEngines)) + 0.5)
	return max(0, min(newEngines, max(minCanary, n)))
}

// CanarySubset returns n of the engines in the order of a hash of their ids. All entries
// that know the same engines select the same ones, and an engine that comes or goes changes
// at most one.
func CanarySubset(engines []serving.EngineID, n int) []serving.EngineID {
	type ranked struct {
		hash uint64
		id   serving.EngineID
	}
	all := make([]ranked, len(engines))
	for i, id := range engines {
		all[i] = ranked{xxhash.Sum64String(string(id)), id}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	all = slices.Compact(all)
	out := make([]serving.EngineID, max(0, min(n, len(all))))
	for i := range out {
		out[i] = all[i].id
	}
	return out
}
