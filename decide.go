package sandbarrow

import (
	"context"
	"time"
)

// LoadBudget limits the load that the agents together put on the weight store.
type LoadBudget interface {
	// Acquire requests one load. If none is available, it returns how long to wait.
	Acquire(now time.Time) (ok bool, wait time.Duration)
	// Release ends a load. The flag congested reports that the weight store throttled it.
	Release(now time.Time, congested bool)
}

// SlotView is the information that an Evictor gets about a loaded, idle adapter.
type SlotView struct {
	// Demand is the exponentially decayed request rate per second.
	Demand float64
	// LastUsed is when a request for the adapter last started or ended.
	LastUsed time.Time
	// Loaded is when the load completed.
	Loaded time.Time
	Model  ModelRef
}

// Evictor chooses the idle adapter that is evicted from its slot.
type Evictor interface {
	// Evict returns the index of the idle adapter to evict before pending is loaded, or false to
	// evict none.
	Evict(now time.Time, pending SlotView, idle []SlotView) (int, bool)
}

// Waiting is the information that a QueueOrder gets about a queued request.
type Waiting struct {
	Arrived time.Time
	// Priority is 0 for the most urgent class.
	Priority int
}

// QueueOrder decides which of two queued requests runs first.
type QueueOrder interface {
	Less(now time.Time, a, b Waiting) bool
}

// Limiter limits the request rate of each caller class.
type Limiter interface {
	// Admit returns how long to wait if the class is over its limit.
	Admit(now time.Time, class CallerClass) (ok bool, wait time.Duration)
}

// RouteRequest is the information that a Chooser gets about a request.
type RouteRequest struct {
	// BaseModel must match the upstream's; it is empty for plain services.
	BaseModel BaseModelID
	// Exclude is the set of upstreams, by index, that were already tried.
	Exclude *IndexSet
	// Hash is a stable hash of the routing key: the model, or the identity of a claim.
	Hash uint64
	// Permitted is the set of upstreams, by index, that the policy permits; nil permits all.
	Permitted *IndexSet
	// Service must match the upstream's; it is empty for engines.
	Service ServiceID
	// Urgent requests are exempt from packing for batch efficiency.
	Urgent bool
	// BatchWeight, from 0 to 1, is the weight of batch efficiency against that of load stalls.
	BatchWeight float64
}

// Chooser picks an upstream for a request.
type Chooser interface {
	// Choose returns the index of an upstream in the fleet, or false if none is eligible.
	Choose(now time.Time, r *RouteRequest) (int, bool)
}

// ClaimState is the state of a claim record.
type ClaimState string

// The states of a claim.
const (
	// ClaimStarted means that an attempt may have run.
	ClaimStarted ClaimState = "started"
	// ClaimVoided means that attempts up to the recorded one will never run.
	ClaimVoided ClaimState = "voided"
)

// Claim is the record that makes an at-most-once request run at most once.
type Claim struct {
	Attempt Attempt `json:"attempt"`
	// Body is the digest of the request. It prevents reuse of the key for another request.
	Body Digest `json:"body"`
	// Box is the box of the agent that started the attempt.
	Box   BoxID      `json:"box,omitempty"`
	State ClaimState `json:"state"`
	// Token is unique to the writer. It identifies the writer's own record after a lost reply.
	Token string `json:"token"`
}

// Claimer stores claims for at-most-once requests.
type Claimer interface {
	// Release voids an attempt that was claimed but never ran.
	Release(ctx context.Context, id RequestID, c Claim) error
	// Run rewrites claims that the platform's store has lost, until ctx ends.
	Run(ctx context.Context) error
	// Start records that an attempt starts now. The attempt may run only if the error is nil.
	Start(ctx context.Context, id RequestID, c Claim) error
	// Void forbids all attempts up to c.Attempt, unless an attempt has started, and
	// returns the current record.
	Void(ctx context.Context, id RequestID, c Claim) (Claim, error)
}
