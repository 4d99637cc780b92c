package load

import (
	"math"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Arrivals is an arrival process. Next returns the time from the request at now to
// the next one.
type Arrivals interface {
	Next(now time.Duration) time.Duration
}

// Poisson is a Poisson process with Rate arrivals per second.
type Poisson struct {
	Rate   float64
	Random serving.Random
}

// Next returns an exponentially distributed time.
func (p *Poisson) Next(time.Duration) time.Duration { return exponential(p.Random, p.Rate) }

// Bursty is a Poisson process whose rate switches between a high and a low value
// with the mean Rate, in arrivals per second.
type Bursty struct {
	Rate float64
	// Swing is the relative deviation of both rates from the mean, below 1.
	Swing float64
	// Dwell is the mean time between two changes of the rate.
	Dwell  time.Duration
	Random serving.Random
	high   bool
	until  time.Duration
}

// Next returns an exponentially distributed time at the current rate.
func (b *Bursty) Next(now time.Duration) time.Duration {
	for now >= b.until {
		b.high = !b.high
		b.until = now + exponential(b.Random, 1/b.Dwell.Seconds())
	}
	rate := b.Rate * (1 - b.Swing)
	if b.high {
		rate = b.Rate * (1 + b.Swing)
	}
	return exponential(b.Random, rate)
}

func exponential(r serving.Random, rate float64) time.Duration {
	return time.Duration(-math.Log(1-r.Float64()) / rate * float64(time.Second))
}

// LengthDistribution is a distribution of answer or prompt lengths.
type LengthDistribution interface {
	Draw(r serving.Random) serving.Tokens
}

// LogNormal is a log-normal distribution of lengths. Median is in tokens, Sigma is
// the standard deviation of the natural logarithm, and Max bounds the length; 0
// means no bound.
type LogNormal struct {
	Median, Sigma float64
	Max           serving.Tokens
}

// Draw returns a length of at least 1.
func (l LogNormal) Draw(r serving.Random) serving.Tokens {
	// Box-Muller transform.
	z := math.Sqrt(-2*math.Log(1-r.Float64())) * math.Cos(2*math.Pi*r.Float64())
	return clampLength(l.Median*math.Exp(l.Sigma*z), l.Max)
}

// Pareto is a Pareto distribution of lengths, which has a heavy tail. Min is the
// smallest length in tokens, Alpha the exponent, and Max bounds the length; 0 means
// no bound.
type Pareto struct {
	Min, Alpha float64
	Max        serving.Tokens
}

// Draw returns a length of at least 1.
func (p Pareto) Draw(r serving.Random) serving.Tokens {
	return clampLength(p.Min*math.Pow(1-r.Float64(), -1/p.Alpha), p.Max)
}

func clampLength(v float64, limit serving.Tokens) serving.Tokens {
	n := max(1, serving.Tokens(v))
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}

// Account is a client account of a workload.
type Account struct {
	ID serving.ClientAccountID
	// Weight is the account's share of service and Traffic its request rate. Both are
	// relative to the other accounts.
	Weight, Traffic float64
	Priority        serving.Priority
	Prompt, Answer  LengthDistribution
	// SystemPrompt is the number of prompt tokens that all its requests share.
	SystemPrompt serving.Tokens
	// Sessions is the number of concurrent conversations, each with History prompt
	// tokens that its requests share; 0 means none.
	Sessions int
	History  serving.Tokens
}

// DefaultAccounts returns ten accounts, a few of which send most of the requests.
// Their answers are short for interactive use, long for drafts, or heavy-tailed.
func DefaultAccounts() []Account {
	short := LogNormal{Median: 120, Sigma: 0.8, Max: 4096}
	long := LogNormal{Median: 500, Sigma: 0.9, Max: 4096}
	tail := Pareto{Min: 60, Alpha: 1.3, Max: 4096}
	prompt := LogNormal{Median: 200, Sigma: 0.8, Max: 2048}
	return []Account{
		{"bench-1", 1, 6, serving.PriorityInteractive, prompt, short, 256, 40, 512},
		{"bench-2", 1, 4, serving.PriorityInteractive, prompt, short, 256, 40, 512},
		{"draft-1", 1, 4, serving.PriorityNormal, prompt, long, 512, 20, 1024},
		{"draft-2", 1, 2, serving.PriorityNormal, prompt, long, 512, 20, 1024},
		{"records", 1, 2, serving.PriorityBatch, prompt, tail, 128, 0, 0},
		{"small-1", 1, 1, serving.PriorityInteractive, prompt, short, 128, 10, 256},
		{"small-2", 1, 1, serving.PriorityNormal, prompt, tail, 128, 10, 256},
		{"small-3", 1, 1, serving.PriorityNormal, prompt, long, 128, 10, 256},
		{"small-4", 1, 1, serving.PriorityNormal, prompt, tail, 0, 10, 256},
		{"small-5", 1, 1, serving.PriorityNormal, prompt, short, 0, 10, 256},
	}
}

// FairnessAccounts returns the accounts of the fairness experiment and the load that
// they offer together. The account "small" offers 0.3 of capacity, below its share
// of one half. If greedy is set, an account of equal weight sends ten times its own
// share.
func FairnessAccounts(greedy bool) (accounts []Account, load float64) {
	prompt := LogNormal{Median: 200, Sigma: 0.8, Max: 2048}
	answer := LogNormal{Median: 200, Sigma: 0.8, Max: 4096}
	accounts = []Account{{ID: "small", Weight: 1, Traffic: 0.3, Prompt: prompt, Answer: answer}}
	if !greedy {
		return accounts, 0.3
	}
	return append(accounts, Account{ID: "greedy", Weight: 1, Traffic: 5, Prompt: prompt, Answer: answer}), 5.3
}

// pickAccount draws an account with a probability proportional to its traffic.
func pickAccount(r serving.Random, accounts []Account) *Account {
	total := 0.0
	for i := range accounts {
		total += accounts[i].Traffic
	}
	x := r.Float64() * total
	for i := range accounts {
		if x -= accounts[i].Traffic; x < 0 {
			return &accounts[i]
		}
	}
	return &accounts[len(accounts)-1]
}
