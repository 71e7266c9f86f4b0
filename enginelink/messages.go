// Package enginelink holds the messages between gateways and the controllers
// beside engines, JSON-RPC over one kept connection per pair (framed by package
// wire), and what both sides do alike: accepting links, and keeping the operators'
// state of both sides equal. It owns the format on the wire and no state. Gateways
// and controllers use it; names on the wire stay as they are, also where the names
// here have changed.
package enginelink

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/estate"
	"sandbarrow.example/sandbarrow/promptcache"
	"sandbarrow.example/sandbarrow/quota"
	"sandbarrow.example/sandbarrow/readspeed"
	"sandbarrow.example/sandbarrow/throttle"
)

// The methods of a link.
const (
	// MethodAcquire asks a controller to pin an adapter; a call.
	MethodAcquire = "engine.acquire"
	// MethodResponseStarted reports that a request's answer has begun, so that its prompt no
	// longer waits.
	MethodResponseStarted = "engine.begun"
	// MethodCrashes tells under which requests upstreams have ended; a call between gateways,
	// whose result is what the other side knows.
	MethodCrashes = "crash.records"
	// MethodUnpin ends a pin.
	MethodUnpin = "engine.done"
	// MethodFetch reads what changed of the operators' state; a call.
	MethodFetch = "estate.fetch"
	// MethodHello opens a link.
	MethodHello = "link.hello"
	// MethodCachedPrompts reports which prompt parts an engine keeps.
	MethodCachedPrompts = "engine.kept"
	// MethodLead asks a controller to lead a quota shard.
	MethodLead = "quota.lead"
	// MethodLedShards announces the quota shards that a controller leads now.
	MethodLedShards = "quota.leads"
	// MethodLimit announces what an upstream says of its limit: controllers tell gateways.
	MethodLimit = "limit.named"
	// MethodListed carries what one gateway has read of the list of upstreams; the
	// controller relays it to the others.
	MethodListed = "directory.change"
	// MethodPaused reports that a stream has paused for longer than its route allows.
	MethodPaused = "engine.paused"
	// MethodWatermark announces up to which revision the sender's view of the operators'
	// state is complete.
	MethodWatermark = "estate.mark"
	// MethodSend asks the keeper of an upstream's limit for one send; a call.
	MethodSend = "limit.send"
	// MethodSent reports to the keeper of an upstream's limit what another one granted, what
	// did not come about, and what the upstream says by now.
	MethodSent = "limit.sent"
	// MethodStatus reports an engine to the gateways.
	MethodStatus = "engine.status"
	// MethodAcquireQuota asks the leader of a workspace's quota shard for what a request counts; a
	// call.
	MethodAcquireQuota = "quota.take"
	// MethodPinned reports a pin that goes on to a controller that may not know it.
	MethodPinned = "engine.using"
)

const (
	// HeartbeatInterval is the longest pause between two statuses: the same as between entries and agents.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is how long no status may arrive before a controller counts
	// as unreachable.
	HeartbeatTimeout = 3 * HeartbeatInterval
	// ExtraLoadWait is how much longer than its wait a request stays with an engine that is loading
	// its adapter already: several loads under contention.
	ExtraLoadWait = 2 * time.Second
)

// ReadBufferBytes is the read buffer of a link: room for any status, of some 400 bytes
// with all its slots. A hundred gateways and 160 controllers have 33,000 of them.
const ReadBufferBytes = 4 << 10

// SlotState says what an engine does with an adapter.
type SlotState string

// The states of a slot.
const (
	SlotLoaded  SlotState = "loaded"
	SlotLoading SlotState = "loading"
	// SlotReplacing waits for runs on an older version to end.
	SlotReplacing SlotState = "replacing"
	// SlotGone stands in changes for an adapter that the engine no longer holds.
	SlotGone SlotState = "gone"
)

// RefuseReason says why an acquire was refused.
type RefuseReason string

// The reasons of a refusal.
const (
	// RefuseBackoff means that the engine wants no orders now, and does not hold the adapter.
	RefuseBackoff RefuseReason = "backoff"
	// RefuseBusy means that more prompt tokens wait than MostWaiting allows.
	RefuseBusy     RefuseReason = "busy"
	RefuseDraining RefuseReason = "leaving"
	// RefuseInstance means that another instance runs than the one that the gateway knows.
	RefuseInstance RefuseReason = "instance"
	// RefuseCanceled means that the gateway has ended the request meanwhile.
	RefuseCanceled RefuseReason = "left"
	// RefuseNoModel means that the engine does not hold the base model.
	RefuseNoModel RefuseReason = "no-model"
	// RefuseUnreachable means that the engine does not answer its controller.
	RefuseUnreachable RefuseReason = "silent"
	// RefuseNoSlot means that no slot came free in time.
	RefuseNoSlot RefuseReason = "slots"
)

// Hello opens a link.
type Hello struct {
	Box sandbarrow.BoxID `json:"box"`
	// Changes says that the gateway reads statuses that carry changes of the slots.
	Changes bool `json:"changes,omitempty"`
	// Speed is the last estimate that the gateway saw of the engine's speed, or that
	// of other engines; zero where it saw none.
	Speed readspeed.Speed `json:"speed"`
	// Token is the newest fencing token that the gateway saw of this controller.
	Token sandbarrow.FencingToken `json:"token"`
}

// Crashes are requests under which upstreams have ended.
type Crashes struct {
	Records []crash.Record `json:"records"`
}

// Lead asks a controller to lead a quota shard.
type Lead struct {
	Shard quota.Shard `json:"shard"`
	// Term is the newest term that the gateway knows of, or 0.
	Term quota.Term `json:"term,omitempty"`
}

// ShardTerm is one term of a shard's leader.
type ShardTerm struct {
	Shard quota.Shard `json:"shard"`
	Term  quota.Term  `json:"term"`
}

// LedShards are all shards that a controller leads.
type LedShards struct {
	Terms []ShardTerm `json:"terms"`
}

// AcquireQuota asks the leader of a shard for what a request counts against the part of its
// workspace's limit that the shard has.
type AcquireQuota struct {
	Shard     quota.Shard            `json:"shard"`
	Units     int64                  `json:"units"`
	Workspace sandbarrow.WorkspaceID `json:"workspace"`
}

// QuotaGrant answers a Take.
type QuotaGrant struct {
	Granted bool `json:"granted,omitempty"`
	// ValidForMS is how long the grant may be used, in milliseconds from when it was asked for.
	ValidForMS int64 `json:"life_ms,omitempty"`
	// NotLeader says that the controller leads the shard no more, or does not know the
	// workspace: another one may.
	NotLeader bool `json:"not_leading,omitempty"`
	// RetryAfterMS is when a request that was not granted may come back, in milliseconds.
	RetryAfterMS int64 `json:"retry_ms,omitempty"`
	// NewTerm says that the term has just begun, with nothing to grant: a request that was not
	// granted is better asked for again than refused.
	NewTerm bool `json:"young,omitempty"`
}

// Limits are what upstreams say of their limits.
type Limits struct {
	Records []throttle.Record `json:"records"`
}

// Send asks for one send to an upstream that names a limit.
type Send struct {
	throttle.Record
	// MaxWaitMS is how long the send may wait, in milliseconds.
	MaxWaitMS int64 `json:"within_ms,omitempty"`
}

// SendGrant answers a Send.
type SendGrant struct {
	Granted bool `json:"granted,omitempty"`
	// Limit is what the keeper knows of the upstream's limit; nil where it knows nothing.
	Limit *throttle.Record `json:"limit,omitempty"`
	// WaitMS is after how long the send may come, in milliseconds; where it is not granted,
	// after how long one may be.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// Sent reports what became of sends to an upstream that names a limit.
type Sent struct {
	throttle.Record
	// Sends counts those that another keeper granted; negative, that did not come about.
	Sends int `json:"sends,omitempty"`
}

// Watermark says up to which revisions a side's estate is complete.
type Watermark = estate.Watermark

// Estate answers a fetch.
type Estate struct {
	// AgeMS is how long ago the sender's state was confirmed as the newest, in
	// milliseconds at the answer; nil where it never was.
	AgeMS *int64 `json:"age_ms,omitempty"`
	// Earlier holds the revisions up to which the sender is complete in earlier eras of the store.
	Earlier []sandbarrow.StoreRevision `json:"earlier,omitempty"`
	Items   []sandbarrow.KeyItem       `json:"items"`
	Watermark    sandbarrow.StoreRevision   `json:"mark"`
	// Table is the revision of the sender's table of routes.
	Table sandbarrow.StoreRevision `json:"table,omitempty"`
}

// Acquire asks to pin an adapter, or to use a base model alone.
type Acquire struct {
	Adapter  sandbarrow.AdapterID   `json:"adapter,omitempty"`
	ID       sandbarrow.RequestID   `json:"id"`
	Instance sandbarrow.InstanceID  `json:"instance"`
	Model    sandbarrow.BaseModelID `json:"model"`
	// MaxWaitingTokens is how many prompt tokens may wait at the engine for it to be
	// the best choice still; 0 takes it in any case.
	MaxWaitingTokens int `json:"most_waiting,omitempty"`
	Priority    int `json:"priority"`
	// PromptPrefixes are those of the prompt, for an estimate of what the engine keeps of it.
	PromptPrefixes []promptcache.PromptPrefix `json:"stretches,omitempty"`
	Tokens    int                        `json:"tokens"`
	// SlackMS is how long a grant still lets the answer be in time, in
	// milliseconds; it may be negative.
	SlackMS int64 `json:"useful_ms"`
	// Version is the least version that may run.
	Version sandbarrow.AdapterVersion `json:"version"`
	// WaitMS is how long the gateway waits for a load to begin, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// CachedPrompts is what changed of the prompt parts that an engine keeps, as its controller
// estimates it.
type CachedPrompts struct {
	// Complete says that the changes are all that is kept.
	Complete     bool                 `json:"all,omitempty"`
	Changes []promptcache.Change `json:"changes"`
}

// Grant answers an acquire.
type Grant struct {
	// ModelVersion is that of the base model that the engine runs; 0 where it is not known.
	ModelVersion sandbarrow.ModelVersion   `json:"model_version,omitempty"`
	Refused      RefuseReason              `json:"refused,omitempty"`
	Version      sandbarrow.AdapterVersion `json:"version,omitempty"`
	// Waiting comes with RefuseBusy: the prompt tokens that wait.
	Waiting int `json:"waiting,omitempty"`
	// WaitingByPriority comes with it: the same by the priority of their routes.
	WaitingByPriority *Waiting `json:"waiting_by_priority,omitempty"`
}

// Weights are the versions with which the engine runs the request.
func (g *Grant) Weights() sandbarrow.WeightsVersion {
	return sandbarrow.WeightsVersion{Adapter: g.Version, Model: g.ModelVersion}
}

// Pin names the pin of one request.
type Pin struct {
	ID sandbarrow.RequestID `json:"id"`
}
