package sandbarrow

import (
	"context"
	"time"
)

// LoadBudget shares the weight store's loads among agents.
type LoadBudget interface {
	// Acquire asks for one load. It returns how long to wait when there is none.
	Acquire(now time.Time) (ok bool, wait time.Duration)
	// Release ends a load; congested tells that the weight store pushed back.
	Release(now time.Time, congested bool)
}

// SlotView is what an Evictor may know of one loaded, idle adapter.
type SlotView struct {
	// Demand is the decayed rate of requests per second.
	Demand float64
	// LastUsed is when a request last started or ended on it.
	LastUsed time.Time
	// Loaded is when its load ended.
	Loaded time.Time
	Model  ModelRef
}

// Evictor chooses which idle adapter gives up its slot.
type Evictor interface {
	// Evict returns the index of the victim for wanted, or false to keep all.
	Evict(now time.Time, wanted SlotView, idle []SlotView) (int, bool)
}

// Waiting is a queued request as a QueueOrder sees it.
type Waiting struct {
	Arrived time.Time
	// Priority is 0 for the most urgent class.
	Priority int
}

// QueueOrder says which of two waiting requests goes first.
type QueueOrder interface {
	Less(now time.Time, a, b Waiting) bool
}

// Limiter admits or refuses requests of a caller class.
type Limiter interface {
	// Admit returns how long to wait when the class is over its limit.
	Admit(now time.Time, class CallerClass) (ok bool, wait time.Duration)
}

// RouteRequest is what a Chooser may know of a request.
type RouteRequest struct {
	// BaseModel must match the upstream's; it is empty for plain services.
	BaseModel BaseModelID
	// Exclude is a set of upstream indexes that were tried already.
	Exclude *IndexSet
	// Hash is the stable hash of what is routed: the model, or a claim's identity.
	Hash uint64
	// Permitted is the set of upstreams the policy permits; nil permits all.
	Permitted *IndexSet
	// Service must match the upstream's; it is empty for engines.
	Service ServiceID
	// Urgent requests are exempt from packing for batch efficiency.
	Urgent bool
	// BatchWeight from 0 to 1 weighs batch efficiency against load stalls.
	BatchWeight float64
}

// Chooser picks an upstream for a request.
type Chooser interface {
	// Choose returns the index of an upstream in the fleet, or false.
	Choose(now time.Time, r *RouteRequest) (int, bool)
}

// ClaimState says what a claim record allows.
type ClaimState string

// The states of a claim.
const (
	// ClaimStarted means that an attempt may have run.
	ClaimStarted ClaimState = "started"
	// ClaimVoided means that attempts up to the recorded one never run.
	ClaimVoided ClaimState = "voided"
)

// Claim is the record that makes a once-only request run at most once.
type Claim struct {
	Attempt Attempt `json:"attempt"`
	// Body is the digest of the request, so that its key serves no other.
	Body Digest `json:"body"`
	// Box is the box of the agent that started the attempt.
	Box   BoxID      `json:"box,omitempty"`
	State ClaimState `json:"state"`
	// Token is unique to the writer and settles lost replies.
	Token string `json:"token"`
}

// Claimer keeps claims for once-only requests.
type Claimer interface {
	// Release voids an attempt whose start was claimed but that never ran.
	Release(ctx context.Context, id RequestID, c Claim) error
	// Run rewrites claims that the platform's store has lost, until ctx ends.
	Run(ctx context.Context) error
	// Start records that an attempt starts now. Only a nil error permits it.
	Start(ctx context.Context, id RequestID, c Claim) error
	// Void forbids all attempts up to c.Attempt, unless one has started, and
	// returns the record that stands.
	Void(ctx context.Context, id RequestID, c Claim) (Claim, error)
}
