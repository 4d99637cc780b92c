package serving

import "time"

// Request holds the properties of a call on which dispatch decisions depend.
type Request struct {
	ID           RequestID
	Account      ClientAccountID
	Service      ServiceID
	Model        ModelID
	Version      Version
	Session      string
	Priority     Priority
	PromptTokens Tokens
	// MaxTokens bounds the length of the answer; 0 means that only the engine bounds it.
	MaxTokens Tokens
	// PrefixHashes are the hashes of the prompt's block-aligned prefixes, shortest first.
	PrefixHashes []uint64
	// CallHash is the hash of the whole call, as package quarantine computes it; 0 if it is
	// not known.
	CallHash uint64
	// DataCentre and Region are those of the entry that dispatches the request.
	DataCentre DataCentreID
	Region     RegionID
	// Deadline is the time until which the caller waits for the first token; 0 means no deadline.
	Deadline time.Duration
}

// Load is the load that an engine announces; it is out of date by the reporting delay.
type Load struct {
	Running    Slots  `json:"running"`
	Queued     Slots  `json:"queued"`
	BlocksUsed Blocks `json:"blocks_used"`
	// StepMS is the duration of the last decode step in milliseconds. A decode step adds
	// one token to each running generation.
	StepMS float64 `json:"step_ms"`
	// Preemptions and TokensOut count preemptions of generations and generated tokens
	// since the engine started.
	Preemptions int64  `json:"preemptions"`
	TokensOut   Tokens `json:"tokens_out"`
	// AsOfMS is the time of the report on the engine's clock, in milliseconds.
	AsOfMS int64 `json:"as_of_ms"`
	// ReceivedAt is the local time at which the report was received.
	ReceivedAt time.Duration `json:"-"`
}

// Capacity is the capacity that an engine announces.
type Capacity struct {
	MaxRunning Slots `json:"max_running"`
	// ColdRunning is the number of generations that the engine can run while its decode
	// steps are still slow, for example after a start.
	ColdRunning  Slots  `json:"cold_running"`
	MemoryBlocks Blocks `json:"memory_blocks"`
	// BlockTokens is the number of tokens that one memory block holds.
	BlockTokens Tokens `json:"block_tokens"`
}

// Candidate is one entry's view of an engine when it places a request.
type Candidate struct {
	Engine     EngineID
	DataCentre DataCentreID
	Region     RegionID
	// Role is the role that the engine announces, for example prefill or decode.
	Role     string
	Capacity Capacity
	Load     Load
	// SentSinceReport is the number of requests that this entry sent since the load report.
	SentSinceReport Slots
	// InFlight is the number of this entry's requests in progress on the engine.
	InFlight Slots
	// Limit is the number of generations that the engine may run now for all entries together.
	Limit Slots
	// Cold is true while Limit is reduced because the engine's decode steps are slow.
	Cold bool
	// CachedPrefix is the estimated number of prompt tokens in the engine's prefix cache.
	CachedPrefix Tokens
	// ExpectedGrowth is the expected number of tokens that running generations will still add.
	ExpectedGrowth Tokens
	// NetworkDelay is the one-way network delay from this entry to the engine.
	NetworkDelay time.Duration
	// Version is the version of the requested model that the engine serves.
	Version Version
	// Hash is the engine's position on the hash ring that affinity placement uses.
	Hash uint64
	// StepTime and FirstToken are the smoothed decode step time and time to the first
	// token that this entry has measured; 0 means unknown.
	StepTime   time.Duration
	FirstToken time.Duration
	// Forecast is the expected memory use of the running generations; nil means unknown.
	Forecast *MemoryForecast
}

// Busy returns the estimated number of generations running or queued at the engine.
func (c *Candidate) Busy() Slots {
	return max(c.Load.Running+c.Load.Queued+c.SentSinceReport, c.InFlight)
}

// FreeSlots returns how many more generations the engine may run now. It is negative if
// the estimate exceeds the limit.
func (c *Candidate) FreeSlots() Slots { return c.Limit - c.Busy() }

// MemoryTokens returns the size of the engine's memory in tokens.
func (c *Candidate) MemoryTokens() Tokens {
	return Tokens(c.Capacity.MemoryBlocks) * c.Capacity.BlockTokens
}

// Placer chooses an engine for a request.
type Placer interface {
	// Place returns the index of the chosen candidate, or an error if no candidate can
	// take the request now.
	Place(now time.Duration, r *Request, candidates []Candidate) (int, error)
}

// LengthKey selects a distribution of answer lengths.
type LengthKey struct {
	Service ServiceID
	Model   ModelID
	Account ClientAccountID
}

// LengthEstimator estimates the length of answers from the lengths of finished ones.
type LengthEstimator interface {
	// Remaining returns the given quantile of the number of tokens that follow the
	// first soFar tokens of an answer.
	Remaining(key LengthKey, soFar Tokens, quantile float64) Tokens
	// Survival sets out[i] to the probability that an answer with soFar tokens grows
	// by more than ForecastHorizon(i) tokens.
	Survival(key LengthKey, soFar Tokens, out *[ForecastPoints]float64)
	// Observe records the length of a finished answer in tokens.
	Observe(key LengthKey, total Tokens)
}

// Admission is the decision on whether a request may start at an engine now.
type Admission struct {
	Admitted bool
	// RetryAfter is the estimated time until the same request could be admitted.
	RetryAfter time.Duration
	// Reason names the limit that was reached.
	Reason string
}

// Admitter decides whether a request may start at an engine now.
type Admitter interface {
	Admit(now time.Duration, r *Request, c *Candidate) Admission
}

// Limiter enforces the token rate limits of client accounts.
type Limiter interface {
	// Take spends n tokens, or returns how long to wait until they are available.
	Take(now time.Duration, account ClientAccountID, n Tokens) (wait time.Duration, ok bool)
	// Charge corrects an earlier Take: diff is the number of tokens that were processed
	// minus the number taken.
	Charge(now time.Duration, account ClientAccountID, diff Tokens)
}
