package sandbarrow

import "context"

// BoxState says whether a box stays or goes.
type BoxState string

// The states of a box in the platform's list.
const (
	BoxDraining BoxState = "leaving"
	BoxLive    BoxState = "live"
)

// BoxRole says which process of the system runs on a box.
type BoxRole string

// The roles of a box.
const (
	RoleAgent BoxRole = "agent"
	RoleEntry BoxRole = "entry"
)

// Box is one row of the platform's lagging list of boxes.
type Box struct {
	Address       string        `json:"address"`
	FailureDomain FailureDomain `json:"failure_domain"`
	ID            BoxID         `json:"id"`
	Role          BoxRole       `json:"role"`
	State         BoxState      `json:"state"`
}

// BoxList is the platform's lagging list of live and leaving boxes.
type BoxList interface {
	Boxes(ctx context.Context) ([]Box, error)
}
