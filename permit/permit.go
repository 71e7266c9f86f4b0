// Package permit decides which requests may be sent to a contended plain upstream.
//
// The load that it handles: many gateways send to few upstreams with few slots each and a short queue, at
// up to several times the upstreams' capacity. Requests wait here in a fair order instead of being
// rejected by the upstream, and those that can't end in the time that their callers have are refused at
// once.
//
// The package owns the outstanding permits and the waiting requests of each upstream, and when an
// upstream counts as contended. It is a state machine without clock, network, goroutine or lock: each
// method gets the time. It depends on package fairqueue for turns among workspaces. Package enginelink
// serves it to gateways.
package permit

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// ID identifies one request for a permit, and the permit that follows from it.
type ID string

// Request asks for a permit to send one request.
type Request struct {
	ID       ID
	Instance sandbarrow.InstanceID
	// Left is the time within which the response must be complete.
	Left time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	// Service is how long the gateway expects the request to take at the upstream; 0 if it is unknown.
	Service time.Duration
	// Sign is set if the gateway has itself seen that the upstream is contended.
	Sign bool
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// TTL is how long the permit is valid.
	TTL       time.Duration
	Workspace sandbarrow.WorkspaceID
}

// Decision is the reply to a Request.
type Decision struct {
	ID ID
	// Contended is set if the upstream is contended. If it is not, a granted request needs no
	// permit, and nothing is returned.
	Contended bool
	Granted   bool
	// Wait is when a new request would start at the upstream. For a refused request this is when
	// there is room for it, after all that were refused before.
	Wait time.Duration
}

// Report tells of a permit, or of an upstream, to a coordinator.
type Report struct {
	ID       ID
	Instance sandbarrow.InstanceID
	// Full is set in a return if the upstream rejected the request because it was full.
	Full bool
	// Kind is what is reported.
	Kind ReportKind
	// Slots and TTL are those of the Request.
	Slots int
	TTL   time.Duration
	// Took is how long the request took at the upstream, in a return; 0 if it was not completed.
	Took time.Duration
}

// ReportKind is what a Report tells.
type ReportKind string

// The kinds of reports.
const (
	// Granted means that another coordinator has granted the permit.
	Granted ReportKind = "granted"
	// Returned ends a permit, or the wait for it.
	Returned ReportKind = "returned"
	// Sign means that a gateway has seen that the upstream is contended.
	Sign ReportKind = "sign"
)
