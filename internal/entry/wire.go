//go:build wireinject

package entry

import (
	"github.com/google/wire"

	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Construct returns an entry for its settings.
func Construct(s *settings.Settings) *Entry {
	wire.Build(Providers, serving.NewMonotonicClock, wire.Bind(new(serving.Clock), new(*serving.MonotonicClock)))
	return nil
}
