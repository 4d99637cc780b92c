package serving

import "time"

// Request is what a dispatch decision knows of one call.
type Request struct {
	ID           RequestID
	Account      ClientAccountID
	Service      ServiceID
	Model        ModelID
	Version      Version
	Session      string
	Priority     Priority
	PromptTokens Tokens
	// MaxTokens bounds the answer; 0 means that only the engine bounds it.
	MaxTokens Tokens
	// PrefixHashes are the hashes of the prompt's block-aligned prefixes, shortest first.
	PrefixHashes []uint64
	// DataCentre and Region are those of the entry that decides.
	DataCentre DataCentreID
	Region     RegionID
	// Deadline is the time after which the caller no longer waits for a first token; 0 means none.
	Deadline time.Duration
}

// Load is an engine's report of its own load, which arrives with a lag.
type Load struct {
	Running     Slots         `json:"running"`
	Queued      Slots         `json:"queued"`
	BlocksUsed  Blocks        `json:"blocks_used"`
	StepMS      float64       `json:"step_ms"`
	Preemptions int64         `json:"preemptions"`
	TokensOut   Tokens        `json:"tokens_out"`
	AsOfMS      int64         `json:"as_of_ms"`
	ReceivedAt  time.Duration `json:"-"`
}

// Capacity is what an engine says it can carry.
type Capacity struct {
	MaxRunning   Slots  `json:"max_running"`
	ColdRunning  Slots  `json:"cold_running"`
	MemoryBlocks Blocks `json:"memory_blocks"`
	BlockTokens  Tokens `json:"block_tokens"`
}

// Candidate is an engine as one entry sees it when it places a request.
type Candidate struct {
	Engine     EngineID
	DataCentre DataCentreID
	Region     RegionID
	Role       string
	Capacity   Capacity
	Load       Load
	// SentSince counts requests that this entry sent after the load report was made.
	SentSince Slots
	// InFlight counts this entry's requests in progress there.
	InFlight Slots
	// Limit is the number of generations the engine may run now, for all entries together.
	Limit Slots
	Cold  bool
	// CachedPrefix is the number of prompt tokens estimated to be in the prefix cache.
	CachedPrefix Tokens
	// ExpectedGrowth is the number of tokens that running generations will still add.
	ExpectedGrowth Tokens
	// Distance is the one-way delay from this entry.
	Distance time.Duration
	Version  Version
	// Hash places the engine on the hash ring of affinity decorators.
	Hash uint64
	// StepTime and FirstToken are the smoothed times seen by this entry; 0 means unknown.
	StepTime   time.Duration
	FirstToken time.Duration
	// Forecast is the memory that running generations will hold; nil means unknown.
	Forecast *MemoryForecast
}

// Busy returns the number of generations believed to be at the engine now.
func (c *Candidate) Busy() Slots {
	return max(c.Load.Running+c.Load.Queued+c.SentSince, c.InFlight)
}

// Room returns how many more generations the engine may run now.
func (c *Candidate) Room() Slots { return c.Limit - c.Busy() }

// MemoryTokens returns the engine's memory in tokens.
func (c *Candidate) MemoryTokens() Tokens {
	return Tokens(c.Capacity.MemoryBlocks) * c.Capacity.BlockTokens
}

// Placer chooses an engine for a request.
type Placer interface {
	// Place returns the index of the chosen candidate; an error means that none may take it now.
	Place(now time.Duration, r *Request, candidates []Candidate) (int, error)
}

// LengthKey selects a distribution of answer lengths.
type LengthKey struct {
	Service ServiceID
	Model   ModelID
	Account ClientAccountID
}

// LengthEstimator learns how long answers run.
type LengthEstimator interface {
	// Remaining returns the given quantile of the tokens still to come after soFar tokens.
	Remaining(key LengthKey, soFar Tokens, quantile float64) Tokens
	// Survival sets out[i] to the probability that an answer which has soFar tokens
	// gets more than ForecastHorizon(i) further ones.
	Survival(key LengthKey, soFar Tokens, out *[ForecastPoints]float64)
	// Observe records the length of a finished answer.
	Observe(key LengthKey, total Tokens)
}

// Admission is the decision on whether a request may start at an engine now.
type Admission struct {
	Admitted bool
	// RetryAfter estimates when the same request could be admitted.
	RetryAfter time.Duration
	// Reason names the limit that was reached.
	Reason string
}

// Admitter decides whether a request may start at an engine now.
type Admitter interface {
	Admit(now time.Duration, r *Request, c *Candidate) Admission
}

// Limiter keeps a client account within its limit in tokens.
type Limiter interface {
	// Take asks to spend tokens; it returns how long to wait if they are not there.
	Take(now time.Duration, account ClientAccountID, n Tokens) (wait time.Duration, ok bool)
	// Charge corrects an earlier Take by the difference to what really ran.
	Charge(now time.Duration, account ClientAccountID, diff Tokens)
}
