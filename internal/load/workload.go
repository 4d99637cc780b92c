package load

import (
	"math"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Arrivals gives the time from one request to the next.
type Arrivals interface {
	Next(now time.Duration) time.Duration
}

// Poisson has independent arrivals at a rate per second.
type Poisson struct {
	Rate   float64
	Random serving.Random
}

// Next returns an exponentially distributed gap.
func (p *Poisson) Next(time.Duration) time.Duration { return exponential(p.Random, p.Rate) }

// Bursty switches between a high and a low rate with the given mean.
type Bursty struct {
	Rate float64
	// Swing is the relative deviation of both rates from the mean, below 1.
	Swing float64
	// Dwell is the mean time in a state.
	Dwell  time.Duration
	Random serving.Random
	high   bool
	until  time.Duration
}

// Next returns an exponentially distributed gap at the rate of the present state.
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

// Length gives answer or prompt lengths.
type Length interface {
	Draw(r serving.Random) serving.Tokens
}

// LogNormal has lengths with a median and a sigma of their logarithm.
type LogNormal struct {
	Median, Sigma float64
	Most          serving.Tokens
}

// Draw returns a length of at least 1.
func (l LogNormal) Draw(r serving.Random) serving.Tokens {
	// Box-Muller transform.
	z := math.Sqrt(-2*math.Log(1-r.Float64())) * math.Cos(2*math.Pi*r.Float64())
	return clampLength(l.Median*math.Exp(l.Sigma*z), l.Most)
}

// Pareto has heavy-tailed lengths from Least with the exponent Alpha.
type Pareto struct {
	Least, Alpha float64
	Most         serving.Tokens
}

// Draw returns a length of at least 1.
func (p Pareto) Draw(r serving.Random) serving.Tokens {
	return clampLength(p.Least*math.Pow(1-r.Float64(), -1/p.Alpha), p.Most)
}

func clampLength(v float64, most serving.Tokens) serving.Tokens {
	n := max(1, serving.Tokens(v))
	if most > 0 {
		n = min(n, most)
	}
	return n
}

// Account is a client account of a workload.
type Account struct {
	ID serving.ClientAccountID
	// Weight is the account's share of service and Traffic its share of requests.
	Weight, Traffic float64
	Priority        serving.Priority
	Prompt, Answer  Length
	// SystemPrompt is the number of prompt tokens that all its requests share.
	SystemPrompt serving.Tokens
	// Sessions is the number of conversations that are open at a time, each with
	// History tokens that its requests share; 0 means none.
	Sessions int
	History  serving.Tokens
}

// DefaultAccounts returns ten accounts, a few of them large, with short
// interactive answers and long drafts.
func DefaultAccounts() []Account {
	short := LogNormal{Median: 120, Sigma: 0.8, Most: 4096}
	long := LogNormal{Median: 500, Sigma: 0.9, Most: 4096}
	tail := Pareto{Least: 60, Alpha: 1.3, Most: 4096}
	prompt := LogNormal{Median: 200, Sigma: 0.8, Most: 2048}
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

// FairnessAccounts returns a small account and, if greedy, one of equal weight that
// sends ten times its share, with the load that both offer. The small account
// offers 0.3 of capacity; its share is one half.
func FairnessAccounts(greedy bool) (accounts []Account, load float64) {
	prompt := LogNormal{Median: 200, Sigma: 0.8, Most: 2048}
	answer := LogNormal{Median: 200, Sigma: 0.8, Most: 4096}
	accounts = []Account{{ID: "small", Weight: 1, Traffic: 0.3, Prompt: prompt, Answer: answer}}
	if !greedy {
		return accounts, 0.3
	}
	return append(accounts, Account{ID: "greedy", Weight: 1, Traffic: 5, Prompt: prompt, Answer: answer}), 5.3
}

// pickAccount draws an account by traffic.
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
