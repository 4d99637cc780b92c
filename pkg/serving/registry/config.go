package registry

import (
	"strings"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Default values of Config.
const (
	DefaultResultRetention = 7 * 24 * time.Hour
	DefaultClaimRetention  = 7 * 24 * time.Hour
	DefaultKeyRetention    = 90 * 24 * time.Hour
	DefaultClaimTimeout    = 30 * time.Second
	DefaultHistoryLimit    = 10_000
	DefaultMaxAnswer       = 64 << 10
)

const (
	// maxClockLead is how far a client's clock may be ahead of the leader's. The
	// result of a command whose issue time is ahead is kept longer by the difference.
	maxClockLead = time.Hour
	// maxAttempts is the maximum number of attempts recorded for each claim. It
	// bounds the size of a claim that many entries request.
	maxAttempts = 16
)

// Config holds the settings of a machine. All replicas must have equal settings.
// Zero values other than that of Schemes select the defaults.
type Config struct {
	// Schemes are the names of the naming schemes, at least one.
	Schemes []string
	// ResultRetention is how long results of changes are kept.
	ResultRetention time.Duration
	// ClaimRetention is how long a claim and its answer are kept after its grant.
	ClaimRetention time.Duration
	// KeyRetention is how long after the grant of a claim its key is still refused
	// as expired.
	KeyRetention time.Duration
	// ClaimTimeout is the time after which an unsettled claim counts as unknown.
	ClaimTimeout time.Duration
	// HistoryLimit is the maximum number of changes in the history.
	HistoryLimit int
	// MaxAnswer is the maximum body size of a stored answer in bytes.
	MaxAnswer int
}

func (c Config) withDefaults() Config {
	setDefault(&c.ResultRetention, DefaultResultRetention)
	setDefault(&c.ClaimRetention, DefaultClaimRetention)
	setDefault(&c.KeyRetention, DefaultKeyRetention)
	setDefault(&c.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&c.HistoryLimit, DefaultHistoryLimit)
	setDefault(&c.MaxAnswer, DefaultMaxAnswer)
	return c
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (c Config) validate() error {
	if len(c.Schemes) == 0 {
		return serving.NewError(serving.KindInvalid, "schemes must name at least one naming scheme")
	}
	seen := map[string]bool{}
	for _, s := range c.Schemes {
		if err := checkID("scheme", s); err != "" {
			return serving.NewError(serving.KindInvalid, err)
		}
		if seen[s] {
			return serving.NewError(serving.KindInvalid, "scheme "+s+" is listed twice in "+strings.Join(c.Schemes, ", "))
		}
		seen[s] = true
	}
	if c.ResultRetention < 0 || c.HistoryLimit < 0 || c.MaxAnswer < 0 || c.ClaimTimeout < 0 {
		return serving.NewError(serving.KindInvalid, "retention, limits and timeouts must not be negative")
	}
	if c.ClaimRetention <= c.ClaimTimeout {
		return serving.NewError(serving.KindInvalid, "claim retention must be longer than the claim timeout")
	}
	if c.KeyRetention < c.ClaimRetention {
		return serving.NewError(serving.KindInvalid, "key retention must be at least the claim retention")
	}
	return nil
}
