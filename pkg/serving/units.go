package serving

// Units that decisions count in.
type (
	// Tokens counts tokens.
	Tokens int64
	// TokenIndex is the position of a token in its generation, from 0.
	TokenIndex int64
	// Blocks counts memory blocks of an engine.
	Blocks int64
	// Slots counts generations that run at the same time on one engine.
	Slots int64
	// Bytes counts bytes.
	Bytes int64
	// Priority orders requests; a higher one goes first.
	Priority int
)

// Priorities that callers can name.
const (
	PriorityBatch       Priority = 0
	PriorityNormal      Priority = 5
	PriorityInteractive Priority = 9
)
