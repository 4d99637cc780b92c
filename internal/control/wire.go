//go:build wireinject

package control

import (
	"github.com/google/wire"

	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Construct returns a control process for its settings.
func Construct(s *settings.Settings, bootstrap Bootstrap) *Process {
	wire.Build(wire.Struct(new(Process), "Settings", "Bootstrap", "Clock"), serving.NewMonotonicClock,
		wire.Bind(new(serving.Clock), new(*serving.MonotonicClock)))
	return nil
}
