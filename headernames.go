package sandbarrow

// HeaderNames holds the names of the HTTP headers that callers, gateways and upstreams
// exchange with a request or its response.
type HeaderNames struct {
	// Authorization holds the caller's key. If keys are required, it is not forwarded to upstreams.
	Authorization string
	// Deadline holds the time that the caller will still wait, in milliseconds.
	Deadline string
	// ExpectInstance names the only instance that may run the request.
	ExpectInstance string
	// ExpectVersion holds the adapter version that must run the request.
	ExpectVersion string
	// Instance names the instance that responds.
	Instance string
	// LastEvent holds the id of the last event of a stream that the caller has received.
	LastEvent string
	// Model holds a base model, optionally followed by a slash and an adapter.
	Model string
	// MoveFrom holds the address of another engine, from which the engine fetches the cached
	// prefix of the prompt.
	MoveFrom string
	// NotRun marks the response to a request that the upstream did not run.
	NotRun string
	// Priority holds the request's priority; 0 is the most urgent.
	Priority string
	// Prompt lists the parts of the prompt.
	Prompt string
	// RequestID identifies the request, for callers and upstreams alike.
	RequestID string
	// Reserved lists the headers, in canonical form, that only a gateway may set on a request
	// to an upstream. They are removed from the requests of callers.
	Reserved []string
	// Resumes holds the id of the caller's request that brought the first event of the stream that
	// this request resumes.
	Resumes string
	// Signature proves that an upstream created the response.
	Signature string
	// Tokens holds the number of tokens in the prompt and the maximum number to generate.
	Tokens string
	// Workspace names the workspace that the caller's key belongs to. A gateway always sets
	// it itself and ignores the value that a caller sends.
	Workspace string
}
