package sandbarrow

// HeaderNames are the names of the headers that callers, gateways and upstreams
// exchange about a request.
type HeaderNames struct {
	// Authorization holds the caller's key. Upstreams never see it where keys are needed.
	Authorization string
	// Deadline holds the milliseconds that the caller still waits.
	Deadline string
	// ExpectInstance names the only instance that may run the request.
	ExpectInstance string
	// ExpectVersion holds the adapter version that must run the request.
	ExpectVersion string
	// Instance names the instance that answers.
	Instance string
	// LastEvent holds the id of the last event that the caller has of a stream.
	LastEvent string
	// Model holds a base model, or a base model, a slash and an adapter.
	Model string
	// MoveFrom holds the address of another engine, from which the engine takes what
	// that one keeps of the prompt.
	MoveFrom string
	// NotRun marks an answer to a request that the upstream did not run.
	NotRun string
	// Priority is 0 for the most urgent.
	Priority string
	// Prompt lists the parts of the prompt.
	Prompt string
	// RequestID names the request, for callers and upstreams alike.
	RequestID string
	// Reserved lists the headers that only a gateway may set towards an upstream, in
	// canonical form; those that callers send are dropped.
	Reserved []string
	// Signature proves that an upstream made the answer.
	Signature string
	// Tokens holds the prompt's tokens and the most that may be produced.
	Tokens string
	// Workspace names the workspace that the caller's key belongs to. Only a gateway sets
	// it, whatever callers send.
	Workspace string
}
