// Package enginelink defines the messages between gateways and the controllers that run
// beside engines. They are JSON-RPC over one persistent connection per pair, framed by
// package wire. The package also has the code that both sides share: accepting links and
// synchronizing the operators' state. It owns the wire format and no state. Gateways and
// controllers use it. Names on the wire never change, so some differ from the Go names.
package enginelink

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/engineload"
	"sandbarrow.example/sandbarrow/estate"
	"sandbarrow.example/sandbarrow/promptcache"
	"sandbarrow.example/sandbarrow/quota"
	"sandbarrow.example/sandbarrow/readspeed"
	"sandbarrow.example/sandbarrow/throttle"
)

// The methods of a link.
const (
	// MethodAcquire requests that a controller pins an adapter; a call.
	MethodAcquire = "engine.acquire"
	// MethodResponseStarted reports that the response to a request has started, which means
	// that its prompt no longer waits.
	MethodResponseStarted = "engine.begun"
	// MethodCrashes sends the requests under which upstreams have exited. It is a call between
	// gateways; its result holds the records of the other side.
	MethodCrashes = "crash.records"
	// MethodPartCrashes is MethodCrashes for parts of prompts.
	MethodPartCrashes = "crash.parts"
	// MethodEcho is answered at once, so that its caller learns how long messages take; a call.
	MethodEcho = "link.echo"
	// MethodUnpin ends a pin.
	MethodUnpin = "engine.done"
	// MethodFetch fetches changes of the operators' state; a call.
	MethodFetch = "estate.fetch"
	// MethodHeartbeat reports that a gateway which sends nothing else is alive.
	MethodHeartbeat = "link.alive"
	// MethodHello opens a link.
	MethodHello = "link.hello"
	// MethodCachedPrompts reports which prompt prefixes an engine has cached.
	MethodCachedPrompts = "engine.kept"
	// MethodLead requests that a controller leads a quota shard.
	MethodLead = "quota.lead"
	// MethodLedShards publishes the quota shards that a controller leads.
	MethodLedShards = "quota.leads"
	// MethodLimit publishes the limits that upstreams have named, from controllers to gateways.
	MethodLimit = "limit.named"
	// MethodListed carries changes that one gateway has read from the list of upstreams. The
	// controller relays them to the other gateways.
	MethodListed = "directory.change"
	// MethodPaused reports a pause between two events of a stream that exceeds its route's bound.
	MethodPaused = "engine.paused"
	// MethodWatermark publishes the revision up to which the sender's view of the operators'
	// state is complete.
	MethodWatermark = "estate.mark"
	// MethodSend requests one send from the coordinator of an upstream's limit; a call.
	MethodSend = "limit.send"
	// MethodSent reports to the coordinator of an upstream's limit which sends another
	// coordinator granted, which granted sends did not happen, and the limit as the upstream
	// last named it.
	MethodSent = "limit.sent"
	// MethodStatus reports the status of an engine to the gateways.
	MethodStatus = "engine.status"
	// MethodAcquireQuota requests a request's units from the leader of its workspace's quota
	// shard; a call.
	MethodAcquireQuota = "quota.take"
	// MethodPinned reports an existing pin to a controller that may not have a record of it.
	MethodPinned = "engine.using"
)

const (
	// HeartbeatInterval is the longest time between two statuses, the same as between entries and agents.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is the time without a status after which a controller counts as
	// unreachable.
	HeartbeatTimeout = 3 * HeartbeatInterval
	// GatewayHeartbeatInterval is the time without other messages after which a gateway sends a heartbeat.
	GatewayHeartbeatInterval = 2 * HeartbeatInterval
	// ExtraLoadWait is how much longer than its normal wait a request stays with an engine that
	// is already loading its adapter. It covers several loads under contention.
	ExtraLoadWait = 2 * time.Second
)

// ReadBufferBytes is the size of a link's read buffer. It holds any status, which has some
// 400 bytes with all its slots. A hundred gateways and 160 controllers have 33,000 of these
// buffers.
const ReadBufferBytes = 4 << 10

// SlotState is the state of an adapter at an engine.
type SlotState string

// The states of a slot.
const (
	SlotLoaded  SlotState = "loaded"
	SlotLoading SlotState = "loading"
	// SlotReplacing means that the engine waits for runs on an older version to finish.
	SlotReplacing SlotState = "replacing"
	// SlotRemoved marks, in changes, an adapter that the engine has unloaded.
	SlotRemoved SlotState = "gone"
)

// RefuseReason is the reason why an Acquire was refused.
type RefuseReason string

// The reasons of a refusal.
const (
	// RefuseBackoff means that the engine is in backoff and has not loaded the adapter.
	RefuseBackoff RefuseReason = "backoff"
	// RefuseBusy means that more prompt tokens wait than MaxWaitingTokens allows.
	RefuseBusy     RefuseReason = "busy"
	RefuseDraining RefuseReason = "leaving"
	// RefuseEvacuated means that the operators have evacuated the engine's failure domain.
	RefuseEvacuated RefuseReason = "evacuated"
	// RefuseInstance means that the running instance is not the one that the gateway named.
	RefuseInstance RefuseReason = "instance"
	// RefuseCanceled means that the gateway has canceled the request in the meantime.
	RefuseCanceled RefuseReason = "left"
	// RefuseNoModel means that the engine has not loaded the base model.
	RefuseNoModel RefuseReason = "no-model"
	// RefuseUnreachable means that the engine does not respond to its controller.
	RefuseUnreachable RefuseReason = "silent"
	// RefuseNoSlot means that no slot became free in time.
	RefuseNoSlot RefuseReason = "slots"
)

// LinkNumber numbers the connections of one process, from 1.
type LinkNumber uint64

// Hello opens a link.
type Hello struct {
	Box sandbarrow.BoxID `json:"box"`
	// Changes says that the gateway supports statuses that carry only changes of the slots.
	Changes bool `json:"changes,omitempty"`
	// EventTimes is the last curve of the engine's event times that the gateway received, or
	// that of other engines. It is zero if the gateway has received none.
	EventTimes engineload.Curve `json:"event_times,omitzero"`
	// Incarnation identifies the process of the gateway. A gateway that names it sends a message at least
	// every GatewayHeartbeatInterval.
	Incarnation sandbarrow.Incarnation `json:"incarnation,omitempty"`
	// Link is the number of the connection. It supersedes those of its process with lower numbers.
	Link LinkNumber `json:"link,omitempty"`
	// Pins are the requests of all pins that the gateway has. A MethodPinned follows for each.
	Pins []sandbarrow.RequestID `json:"pins,omitempty"`
	// Speed is the last estimate of the engine's prefill speed that the gateway received, or
	// that of other engines. It is zero if the gateway has received none.
	Speed readspeed.Speed `json:"speed"`
	// Token is the newest fencing token that the gateway has received from this controller.
	Token sandbarrow.FencingToken `json:"token"`
}

// Crashes are requests, or parts of prompts, under which upstreams have exited.
type Crashes struct {
	Records []crash.Record `json:"records"`
}

// Lead requests that a controller leads a quota shard.
type Lead struct {
	Shard quota.Shard `json:"shard"`
	// Term is the newest term that the gateway has seen, or 0.
	Term quota.Term `json:"term,omitempty"`
}

// ShardTerm is the term in which a shard is led.
type ShardTerm struct {
	Shard quota.Shard `json:"shard"`
	Term  quota.Term  `json:"term"`
}

// LedShards are all shards that a controller leads.
type LedShards struct {
	Terms []ShardTerm `json:"terms"`
}

// AcquireQuota requests units of a workspace's limit from the leader of a shard. They count
// against the shard's share of the limit.
type AcquireQuota struct {
	// FollowMS is for how many milliseconds the caller would follow the RetryAfterMS of a refusal.
	// With 0, it is not told the reply of this leader.
	FollowMS int64 `json:"useful_ms,omitempty"`
	// Priority is the priority of the request's route; 0 is the most urgent one.
	Priority  int                    `json:"priority,omitempty"`
	Shard     quota.Shard            `json:"shard"`
	Units     int64                  `json:"units"`
	Workspace sandbarrow.WorkspaceID `json:"workspace"`
}

// QuotaGrant is the reply to an AcquireQuota.
type QuotaGrant struct {
	Granted bool `json:"granted,omitempty"`
	// ValidForMS is how long the grant may be used, in milliseconds from when it was requested.
	ValidForMS int64 `json:"life_ms,omitempty"`
	// NotLeader says that the controller no longer leads the shard, or does not know the
	// workspace. Another controller may.
	NotLeader bool `json:"not_leading,omitempty"`
	// RetryAfterMS is after how many milliseconds a request that was not granted may be retried.
	RetryAfterMS int64 `json:"retry_ms,omitempty"`
	// Turn says that other callers are told to come back later than RetryAfterMS.
	Turn bool `json:"promised,omitempty"`
	// NewTerm says that the term has just begun and has no units yet. A request that was not
	// granted should then be retried and not refused.
	NewTerm bool `json:"young,omitempty"`
}

// Limits are the limits that upstreams have named.
type Limits struct {
	Records []throttle.Record `json:"records"`
}

// Send requests one send to an upstream that names a limit.
type Send struct {
	throttle.Record
	// MaxWaitMS is how long the send may wait, in milliseconds.
	MaxWaitMS int64 `json:"within_ms,omitempty"`
}

// SendGrant is the reply to a Send.
type SendGrant struct {
	Granted bool `json:"granted,omitempty"`
	// Limit is the upstream's limit as the coordinator knows it, or nil if it knows none.
	Limit *throttle.Record `json:"limit,omitempty"`
	// WaitMS is how many milliseconds to wait before the send. If the send is not granted, it
	// is after how many milliseconds one may be granted.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// Sent reports the outcome of sends to an upstream that names a limit.
type Sent struct {
	throttle.Record
	// Sends counts the sends that another coordinator granted. A negative number counts granted
	// sends that did not happen.
	Sends int `json:"sends,omitempty"`
}

// Watermark holds the revisions up to which a side's estate is complete.
type Watermark = estate.Watermark

// Estate is the reply to a fetch.
type Estate struct {
	// AgeMS is how many milliseconds before the reply the sender's state was confirmed as the
	// newest. It is nil if it never was.
	AgeMS *int64 `json:"age_ms,omitempty"`
	// Earlier holds the revisions up to which the sender is complete in earlier eras of the store.
	Earlier   []sandbarrow.StoreRevision `json:"earlier,omitempty"`
	Items     []sandbarrow.KeyItem       `json:"items"`
	Watermark sandbarrow.StoreRevision   `json:"mark"`
	// Table is the revision of the sender's routing table.
	Table sandbarrow.StoreRevision `json:"table,omitempty"`
}

// Acquire requests a pin on an adapter, or the use of a base model without an adapter.
type Acquire struct {
	Adapter sandbarrow.AdapterID `json:"adapter,omitempty"`
	// DeadlineMS is after how many milliseconds the engine ceases to work on the request; 0 if that is
	// unknown.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// GapTargetMS is the longest pause, in milliseconds, between two events of the stream that its
	// route allows; 0 if there is no target.
	GapTargetMS int64                  `json:"gap_ms,omitempty"`
	ID          sandbarrow.RequestID   `json:"id"`
	Instance    sandbarrow.InstanceID  `json:"instance"`
	Model       sandbarrow.BaseModelID `json:"model"`
	// MaxWaitingTokens is how many prompt tokens may wait at the engine before another engine
	// becomes the better choice. With 0 the controller accepts the request in any case.
	MaxWaitingTokens int `json:"most_waiting,omitempty"`
	Priority         int `json:"priority"`
	// PromptPrefixes are the prefixes of the prompt. They serve to estimate how much of it the
	// engine has cached.
	PromptPrefixes []promptcache.PromptPrefix `json:"stretches,omitempty"`
	// SpareMS is within how many milliseconds a grant must arrive for the response to be complete
	// in the time that the caller has.
	SpareMS int64 `json:"useful_ms"`
	Tokens  int   `json:"tokens"`
	// Version is the minimum version that may run.
	Version sandbarrow.AdapterVersion `json:"version"`
	// WaitMS is how many milliseconds the gateway waits for a load to begin.
	WaitMS int64 `json:"wait_ms"`
}

// GapTarget returns the gap target; 0 if there is none.
func (a *Acquire) GapTarget() time.Duration {
	return time.Duration(a.GapTargetMS) * time.Millisecond
}

// CachedPrompts are changes of the prompt prefixes that an engine has cached, as estimated
// by its controller.
type CachedPrompts struct {
	// Complete says that the changes are the complete list of cached prefixes.
	Complete bool                 `json:"all,omitempty"`
	Changes  []promptcache.Change `json:"changes"`
}

// Grant is the reply to an Acquire.
type Grant struct {
	// ModelVersion is the version of the base model that the engine runs, or 0 if it is unknown.
	ModelVersion sandbarrow.ModelVersion   `json:"model_version,omitempty"`
	Refused      RefuseReason              `json:"refused,omitempty"`
	Version      sandbarrow.AdapterVersion `json:"version,omitempty"`
	// Waiting counts the waiting prompt tokens. It is set together with RefuseBusy.
	Waiting int `json:"waiting,omitempty"`
	// WaitingByPriority splits Waiting by the priority of the routes.
	WaitingByPriority *Waiting `json:"waiting_by_priority,omitempty"`
}

// Weights returns the versions with which the engine runs the request.
func (g *Grant) Weights() sandbarrow.WeightsVersion {
	return sandbarrow.WeightsVersion{Adapter: g.Version, Model: g.ModelVersion}
}

// Pin identifies the pin of one request.
type Pin struct {
	ID sandbarrow.RequestID `json:"id"`
}
