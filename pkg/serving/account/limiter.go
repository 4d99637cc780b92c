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

// TokenLimiter enforces the rates of accounts with the generic cell rate
// algorithm. Unlike rate.Limiter of golang.org/x/time it allows tokens beyond the
// expected number to be charged after the request has run, which can make the
// balance of the account negative.
type TokenLimiter struct {
	accounts map[serving.ClientAccountID]*accountLimit
}

type accountLimit struct {
	rate Rate
	// fullAt is the time at which the whole burst is available again.
	fullAt time.Duration
}

// NewTokenLimiter returns a limiter without limits.
func NewTokenLimiter() *TokenLimiter {
	return &TokenLimiter{accounts: map[serving.ClientAccountID]*accountLimit{}}
}

// SetRate sets the rate of an account; a PerSecond of 0 or less removes the limit.
// Tokens already spent stay spent: a negative balance is paid off at the new rate.
func (l *TokenLimiter) SetRate(now time.Duration, account serving.ClientAccountID, r Rate) {
	if r.PerSecond <= 0 {
		delete(l.accounts, account)
		return
	}
	a := l.accounts[account]
	if a == nil {
		l.accounts[account] = &accountLimit{rate: r}
		return
	}
	if a.fullAt > now {
		a.fullAt = now + time.Duration(float64(a.fullAt-now)*a.rate.PerSecond/r.PerSecond)
	}
	a.rate = r
}

// Take spends n tokens and returns true, or returns how long to wait until they are
// available. A request larger than the burst is allowed when the whole burst is
// available, since it could never be allowed otherwise.
func (l *TokenLimiter) Take(now time.Duration, account serving.ClientAccountID, n serving.Tokens) (time.Duration, bool) {
	a := l.accounts[account]
	if a == nil {
		return 0, true
	}
	burst := a.duration(float64(a.rate.Burst))
	fullAt := max(a.fullAt, now)
	need := a.duration(float64(n))
	if wait := fullAt + min(need, burst) - now - burst; wait > 0 {
		return wait, false
	}
	a.fullAt = fullAt + need
	return 0, true
}

// Charge corrects an earlier Take: diff is the number of tokens that were processed
// minus the number taken. A refund never raises the balance above the burst.
func (l *TokenLimiter) Charge(now time.Duration, account serving.ClientAccountID, diff serving.Tokens) {
	a := l.accounts[account]
	if a == nil {
		return
	}
	a.fullAt = max(max(a.fullAt, now)+a.duration(float64(diff)), now)
}

// Available returns the balance of an account in tokens, which is negative if more
// was charged than the burst allows. It returns false if the account has no limit.
func (l *TokenLimiter) Available(now time.Duration, account serving.ClientAccountID) (serving.Tokens, bool) {
	a := l.accounts[account]
	if a == nil {
		return 0, false
	}
	spent := max(0, a.fullAt-now).Seconds() * a.rate.PerSecond
	return a.rate.Burst - serving.Tokens(spent), true
}

func (a *accountLimit) duration(tokens float64) time.Duration {
	return time.Duration(tokens / a.rate.PerSecond * float64(time.Second))
}
