package sandbarrow

// EngineRunID identifies a run at an engine.
type EngineRunID string

// KVTokens is a number of tokens in an engine's memory.
type KVTokens int

// EngineRun is a request that an engine runs.
type EngineRun struct {
	// Events is the number of events that its stream has made.
	Events int
	ID     EngineRunID
	// Priority is 0 for the most urgent.
	Priority int
	// Tokens is the memory that it uses.
	Tokens KVTokens
}

// EngineLoad is the load of an engine, as the engine reports it. A nil field is unknown.
type EngineLoad struct {
	// Held is the memory that the engine holds for others, and Pinned the memory that it must
	// keep.
	Held, Pinned *KVTokens
	// KVTotal is the size of the engine's memory, and KVUsed the part that can't be evicted.
	KVTotal, KVUsed *KVTokens
	// NextTokens is the memory that the first queued request needs.
	NextTokens *KVTokens
	// Queued and Running count requests.
	Queued, Running *int
	// Runs lists the running requests. Malformed entries are left out.
	Runs []EngineRun
}
