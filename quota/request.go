package quota

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// Order is how the units of a workspace over its limit are allocated to its requests.
type Order string

// The orders.
const (
	// OrderArrival grants units to whichever request arrives first.
	OrderArrival Order = "arrival"
	// OrderClasses grants units to the more urgent requests first.
	OrderClasses Order = "classes"
)

// Request is a request for units of a workspace's limit.
type Request struct {
	// Follow is for how long the caller would follow the RetryAfter of a refusal. With 0, it is not
	// told the answer of this leader, and takes no turn.
	Follow time.Duration
	// Priority is the priority of the request's route; 0 is the most urgent one.
	Priority  int
	Units     int64
	Workspace sandbarrow.WorkspaceID
}
