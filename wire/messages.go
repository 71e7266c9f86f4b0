package wire

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/crash"
)

// The methods between entries and agents.
const (
	// MethodAnswer asks an agent for the kept answer of a once-only request.
	MethodAnswer = "answer"
	// MethodAttempt runs one attempt; its result is the final message of it.
	MethodAttempt = "attempt"
	// MethodConfigPull asks the peer for its configuration.
	MethodConfigPull = "config.pull"
	// MethodCrashes tells under which requests upstreams have ended, either way.
	MethodCrashes = "crash.records"
	// MethodFrame carries a part of a streamed answer, agent to entry.
	MethodFrame = "frame"
	// MethodHello opens a connection.
	MethodHello = "hello"
	// MethodMark tells an agent of the entry's configuration.
	MethodMark = "config.mark"
	// MethodRevoke withdraws an attempt that has not started.
	MethodRevoke = "revoke"
	// MethodStatus carries an agent's status; it is the heartbeat too.
	MethodStatus = "status"
)

// Protocol is the version of the messages.
const Protocol = 1

// AnswerRequest asks for a kept answer.
type AnswerRequest struct {
	Body  sandbarrow.Digest    `json:"body"`
	Claim string               `json:"claim"`
	ID    sandbarrow.RequestID `json:"id"`
}

// AttemptRequest asks an agent to run one attempt of a request.
type AttemptRequest struct {
	Attempt     sandbarrow.Attempt `json:"attempt"`
	Body        []byte             `json:"body"`
	ContentType string             `json:"content_type,omitempty"`
	// DeadlineMS is what is left of the deadline, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// Fingerprint is that of what the request asks for, the same for its repeats; entries of
	// an older build leave it out.
	Fingerprint *crash.Fingerprint `json:"fingerprint,omitempty"`
	// Handle names the attempt on this connection.
	Handle      uint64                 `json:"handle"`
	ID          sandbarrow.RequestID   `json:"id"`
	Incarnation sandbarrow.Incarnation `json:"incarnation"`
	Method      string                 `json:"method,omitempty"`
	Model       sandbarrow.ModelRef    `json:"model"`
	NoBatchWait bool                   `json:"no_batch_wait,omitempty"`
	// OnceID is the identity of a once-only request; empty if repeatable.
	OnceID   sandbarrow.RequestID `json:"once_id,omitempty"`
	Path     string               `json:"path"`
	Priority int                  `json:"priority"`
	Revision sandbarrow.Revision  `json:"revision"`
	Stream   bool                 `json:"stream,omitempty"`
	Weights  string               `json:"weights,omitempty"`
}

// Digest tells requests apart that use the same key.
func (r *AttemptRequest) Digest() sandbarrow.Digest {
	return sandbarrow.DigestOf(slices.Concat([]byte(r.Method+" "+r.Path+"\n"), r.Body))
}

// AttemptResult ends an attempt.
type AttemptResult struct {
	Body []byte `json:"body,omitempty"`
	// Claim is the record that stands when the reason is "claimed".
	Claim       *sandbarrow.Claim `json:"claim,omitempty"`
	ContentType string            `json:"content_type,omitempty"`
	Detail      string            `json:"detail,omitempty"`
	// Frames is the number of frames that were sent before.
	Frames int `json:"frames,omitempty"`
	// Origin stands with the answer that was kept for repeats; agents of an older
	// build leave it out.
	Origin  *Origin            `json:"origin,omitempty"`
	Outcome sandbarrow.Outcome `json:"outcome"`
	Reason  sandbarrow.Reason  `json:"reason,omitempty"`
	// RetryAfterMS tells when to come back, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	Status       int   `json:"status,omitempty"`
}

// ConfigPull asks for what the asker lacks.
type ConfigPull struct {
	Known []sandbarrow.Digest `json:"known"`
}

// ConfigReply is a snapshot without the shards that the asker knows.
type ConfigReply struct {
	Snapshot config.Snapshot `json:"snapshot"`
}

// Crashes are requests under which upstreams have ended.
type Crashes struct {
	Records []crash.Record `json:"records"`
}

// Frame is a part of a streamed answer.
type Frame struct {
	// ContentType and Status stand in frame 0 alone.
	ContentType string `json:"t,omitempty"`
	Data        []byte `json:"d"`
	Handle      uint64 `json:"h"`
	Sequence    int    `json:"n"`
	Status      int    `json:"s,omitempty"`
}

// Hello opens a connection.
type Hello struct {
	Box           sandbarrow.BoxID         `json:"box"`
	Config        config.Watermark              `json:"config"`
	FailureDomain sandbarrow.FailureDomain `json:"failure_domain"`
	// Lane says that this is a further connection of the same entry, which
	// carries attempts alone.
	Lane     bool `json:"lane,omitempty"`
	Protocol int  `json:"protocol"`
}

// HelloReply tells what stands behind an agent.
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

// RevokeReply says whether a revoked attempt may have run.
type RevokeReply struct {
	// Outcome is not-run, or unknown when the attempt had started.
	Outcome sandbarrow.Outcome `json:"outcome"`
}

// RevokeRequest withdraws an attempt.
type RevokeRequest struct {
	Attempt sandbarrow.Attempt   `json:"attempt"`
	ID      sandbarrow.RequestID `json:"id"`
}

// Origin names what made an answer.
type Origin struct {
	// Model is zero for plain services.
	Model    sandbarrow.ModelRef `json:"model"`
	Revision sandbarrow.Revision `json:"revision"`
}

// Status is what an agent tells of itself.
type Status struct {
	Config   config.Watermark `json:"config"`
	Draining bool        `json:"draining,omitempty"`
	// LoadMS is the expected time until a new adapter would be loaded.
	LoadMS int64 `json:"load_ms,omitempty"`
	Queued int   `json:"queued"`
	// Resident lists loaded adapters; nil says that nothing changed.
	Resident []sandbarrow.ModelRef `json:"resident"`
	Running  int                   `json:"running"`
	// ServiceMS is the measured time of a run.
	ServiceMS int64 `json:"service_ms,omitempty"`
	// Unready says that the upstream does not answer.
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
