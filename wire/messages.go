package wire

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/crash"
)

// The JSON-RPC methods between entries and agents.
const (
	// MethodCachedResponse requests the cached response of an at-most-once request from an agent.
	MethodCachedResponse = "answer"
	// MethodAttempt runs one attempt. Its reply is the final message of the attempt.
	MethodAttempt = "attempt"
	// MethodConfigPull requests the peer's configuration.
	MethodConfigPull = "config.pull"
	// MethodCrashes reports the requests under which upstreams crashed. Both sides send it.
	MethodCrashes = "crash.records"
	// MethodFrame carries a part of a streamed response from an agent to an entry.
	MethodFrame = "frame"
	// MethodHello opens a connection.
	MethodHello = "hello"
	// MethodWatermark reports the watermark of the entry's configuration to an agent.
	MethodWatermark = "config.mark"
	// MethodRevoke cancels an attempt that has not started.
	MethodRevoke = "revoke"
	// MethodStatus carries an agent's status. It also serves as the heartbeat.
	MethodStatus = "status"
)

// Protocol is the version of the message protocol.
const Protocol = 1

// CachedResponseRequest requests a cached response.
type CachedResponseRequest struct {
	Body  sandbarrow.Digest    `json:"body"`
	Claim string               `json:"claim"`
	ID    sandbarrow.RequestID `json:"id"`
}

// AttemptRequest makes an agent run one attempt of a request.
type AttemptRequest struct {
	Attempt     sandbarrow.Attempt `json:"attempt"`
	Body        []byte             `json:"body"`
	ContentType string             `json:"content_type,omitempty"`
	// DeadlineMS is the time left until the deadline, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// Fingerprint identifies the contents of the request. Retries have the same one. Entries of
	// an older build omit it.
	Fingerprint *crash.Fingerprint `json:"fingerprint,omitempty"`
	// Handle identifies the attempt on this connection.
	Handle      uint64                 `json:"handle"`
	ID          sandbarrow.RequestID   `json:"id"`
	Incarnation sandbarrow.Incarnation `json:"incarnation"`
	Method      string                 `json:"method,omitempty"`
	Model       sandbarrow.ModelRef    `json:"model"`
	NoBatchWait bool                   `json:"no_batch_wait,omitempty"`
	// AtMostOnceID identifies an at-most-once request; it is empty for retryable requests.
	AtMostOnceID sandbarrow.RequestID `json:"once_id,omitempty"`
	Path         string               `json:"path"`
	Priority     int                  `json:"priority"`
	Revision     sandbarrow.Revision  `json:"revision"`
	Stream       bool                 `json:"stream,omitempty"`
	Weights      string               `json:"weights,omitempty"`
}

// Digest returns a digest that distinguishes requests with the same idempotency key.
func (r *AttemptRequest) Digest() sandbarrow.Digest {
	return sandbarrow.DigestOf(slices.Concat([]byte(r.Method+" "+r.Path+"\n"), r.Body))
}

// AttemptResult is the final message of an attempt.
type AttemptResult struct {
	Body []byte `json:"body,omitempty"`
	// Claim is the claim in effect when the reason is "claimed".
	Claim       *sandbarrow.Claim `json:"claim,omitempty"`
	ContentType string            `json:"content_type,omitempty"`
	Detail      string            `json:"detail,omitempty"`
	// Frames is the number of frames sent before this result.
	Frames int `json:"frames,omitempty"`
	// Origin is set in a response that was cached for retries. Agents of an older
	// build omit it.
	Origin  *Origin            `json:"origin,omitempty"`
	Outcome sandbarrow.Outcome `json:"outcome"`
	Reason  sandbarrow.Reason  `json:"reason,omitempty"`
	// RetryAfterMS is the delay before a retry, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	Status       int   `json:"status,omitempty"`
}

// ConfigPull requests the configuration shards that the sender does not have.
type ConfigPull struct {
	Known []sandbarrow.Digest `json:"known"`
}

// ConfigReply is a snapshot without the shards that the requester already has.
type ConfigReply struct {
	Snapshot config.Snapshot `json:"snapshot"`
}

// Crashes lists requests under which upstreams crashed.
type Crashes struct {
	Records []crash.Record `json:"records"`
}

// Frame is a part of a streamed response.
type Frame struct {
	// ContentType and Status are set in frame 0 only.
	ContentType string `json:"t,omitempty"`
	Data        []byte `json:"d"`
	Handle      uint64 `json:"h"`
	Sequence    int    `json:"n"`
	Status      int    `json:"s,omitempty"`
}

// Hello opens a connection.
type Hello struct {
	Box           sandbarrow.BoxID         `json:"box"`
	Config        config.Watermark         `json:"config"`
	FailureDomain sandbarrow.FailureDomain `json:"failure_domain"`
	// AdditionalConnection is set on further connections of the same entry, which
	// carry attempts only.
	AdditionalConnection bool `json:"lane,omitempty"`
	Protocol             int  `json:"protocol"`
	// Session identifies the connections that an entry has opened together. They end together.
	Session SessionID `json:"session,omitempty"`
}

// SessionID identifies the connections that an entry has opened together to one agent.
type SessionID string

// HelloReply describes an agent and its upstream.
type HelloReply struct {
	BaseModel     sandbarrow.BaseModelID   `json:"base_model,omitempty"`
	Box           sandbarrow.BoxID         `json:"box"`
	FailureDomain sandbarrow.FailureDomain `json:"failure_domain"`
	Incarnation   sandbarrow.Incarnation   `json:"incarnation"`
	MaxRunning    int                      `json:"max_running"`
	Protocol      int                      `json:"protocol"`
	Service       sandbarrow.ServiceID     `json:"service,omitempty"`
	Status        Status                   `json:"status"`
	Upstream      sandbarrow.UpstreamID    `json:"upstream"`
}

// RevokeReply reports whether a revoked attempt may have run.
type RevokeReply struct {
	// Outcome is not-run, or unknown if the attempt had already started.
	Outcome sandbarrow.Outcome `json:"outcome"`
}

// RevokeRequest identifies an attempt to cancel.
type RevokeRequest struct {
	Attempt sandbarrow.Attempt   `json:"attempt"`
	ID      sandbarrow.RequestID `json:"id"`
}

// Origin identifies the model and the configuration revision that produced a response.
type Origin struct {
	// Model is zero for plain services.
	Model    sandbarrow.ModelRef `json:"model"`
	Revision sandbarrow.Revision `json:"revision"`
}

// Status is the state that an agent reports to entries.
type Status struct {
	Config   config.Watermark `json:"config"`
	Draining bool             `json:"draining,omitempty"`
	// LoadWaitMS is the expected time until a new adapter would be loaded.
	LoadWaitMS int64 `json:"load_ms,omitempty"`
	Queued     int   `json:"queued"`
	// Resident lists the loaded adapters; nil means that the list is unchanged.
	Resident []sandbarrow.ModelRef `json:"resident"`
	Running  int                   `json:"running"`
	// RunTimeMS is the measured time of a run.
	RunTimeMS int64 `json:"service_ms,omitempty"`
	// Unready is set when the upstream does not respond.
	Unready bool `json:"unready,omitempty"`
}

// Millis converts a duration to whole milliseconds, rounded up.
func Millis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// Duration converts milliseconds to a duration.
func Duration(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
