//go:build wireinject

package demo

import (
	"github.com/google/wire"

	"turmericdrum.org/turmericdrum/internal/entry"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// newEntry constructs an entry from its settings.
func newEntry(s *settings.Settings) *entry.Entry {
	wire.Build(entry.Providers, serving.NewMonotonicClock, wire.Bind(new(serving.Clock), new(*serving.MonotonicClock)))
	return nil
}
