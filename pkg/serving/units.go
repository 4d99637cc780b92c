package serving

// Units of the quantities on which decisions are based.
type (
	// Tokens counts tokens.
	Tokens int64
	// TokenIndex is the position of a token in its generation, from 0.
	TokenIndex int64
	// Blocks counts blocks of an engine's KV cache memory.
	Blocks int64
	// Slots counts concurrent generations on one engine.
	Slots int64
	// Bytes counts bytes.
	Bytes int64
	// Percent is a ratio in percent.
	Percent int64
	// Priority orders requests; a higher one is served first.
	Priority int
)

// Named priorities. Callers can request any value from PriorityBatch to
// PriorityInteractive.
const (
	PriorityBatch       Priority = 0
	PriorityNormal      Priority = 5
	PriorityInteractive Priority = 9
)
