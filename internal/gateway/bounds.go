package gateway

import "turmericdrum.org/turmericdrum/pkg/serving/routing/audit"

// Bounds returns what an entry accepts from callers whatever the configuration says.
func Bounds() audit.Bounds {
	return audit.Bounds{Header: maxHeader, Body: maxHeldBodies, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}
