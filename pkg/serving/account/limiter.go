package account

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Rate is a limit in tokens per second with a burst. PerSecond 0 means no limit.
type Rate struct {
	PerSecond float64
	Burst     serving.Tokens
}

// TokenLimiter keeps accounts within their rates by the generic cell rate
// algorithm. Unlike rate.Limiter of golang.org/x/time it lets a request that
// ran longer than expected be charged afterwards, which puts the account in debt.
type TokenLimiter struct {
	accounts map[serving.ClientAccountID]*limited
}

type limited struct {
	rate Rate
	// full is the time at which the whole burst is available again.
	full time.Duration
}

// NewTokenLimiter returns a limiter without limits.
func NewTokenLimiter() *TokenLimiter {
	return &TokenLimiter{accounts: map[serving.ClientAccountID]*limited{}}
}

// SetRate sets the rate of an account. What it has spent stays spent: a debt in
// tokens is paid off at the new rate.
func (l *TokenLimiter) SetRate(now time.Duration, account serving.ClientAccountID, r Rate) {
	if r.PerSecond <= 0 {
		delete(l.accounts, account)
		return
	}
	a := l.accounts[account]
	if a == nil {
		l.accounts[account] = &limited{rate: r}
		return
	}
	if a.full > now {
		a.full = now + time.Duration(float64(a.full-now)*a.rate.PerSecond/r.PerSecond)
	}
	a.rate = r
}

// Take asks to spend n tokens. A request larger than the burst passes when the
// whole burst is available, since it could never pass otherwise.
func (l *TokenLimiter) Take(now time.Duration, account serving.ClientAccountID, n serving.Tokens) (time.Duration, bool) {
	a := l.accounts[account]
	if a == nil {
		return 0, true
	}
	burst := a.duration(float64(a.rate.Burst))
	full := max(a.full, now)
	need := a.duration(float64(n))
	if wait := full + min(need, burst) - now - burst; wait > 0 {
		return wait, false
	}
	a.full = full + need
	return 0, true
}

// Charge corrects an earlier Take by the difference to what really ran. A
// refund never gives an account more than its burst.
func (l *TokenLimiter) Charge(now time.Duration, account serving.ClientAccountID, diff serving.Tokens) {
	a := l.accounts[account]
	if a == nil {
		return
	}
	a.full = max(max(a.full, now)+a.duration(float64(diff)), now)
}

// Available returns the tokens that an account can spend now; a debt is negative.
func (l *TokenLimiter) Available(now time.Duration, account serving.ClientAccountID) (serving.Tokens, bool) {
	a := l.accounts[account]
	if a == nil {
		return 0, false
	}
	spent := max(0, a.full-now).Seconds() * a.rate.PerSecond
	return a.rate.Burst - serving.Tokens(spent), true
}

func (a *limited) duration(tokens float64) time.Duration {
	return time.Duration(tokens / a.rate.PerSecond * float64(time.Second))
}
