package gateway

import (
	"turmericdrum.org/turmericdrum/internal/ingress"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/routing/audit"
)

// Bounds returns what an entry accepts from callers whatever the configuration says.
func Bounds() audit.Bounds {
	limits := ingress.Defaults()
	return audit.Bounds{Header: serving.Bytes(limits.HeaderBytes), Body: maxBody, HeaderTimeout: limits.HeaderTime, IdleTimeout: limits.IdleTime}
}
