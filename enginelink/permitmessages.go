package enginelink

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/permit"
)

// The methods for send permits of contended plain upstreams.
const (
	// MethodPermit requests a permit to send one request; a call. The reply follows once the
	// request is decided.
	MethodPermit = "permit.ask"
	// MethodPermitReport reports a permit, the end of a wait, or a sign of contention to the
	// coordinators of an upstream.
	MethodPermitReport = "permit.report"
	// MethodContended reports upstreams that have become contended, from controllers to gateways.
	MethodContended = "permit.contended"
)

// PermitRequest requests a permit to send one request.
type PermitRequest struct {
	ID       permit.ID             `json:"id"`
	Instance sandbarrow.InstanceID `json:"instance"`
	// LeftMS is within how many milliseconds the response must be complete.
	LeftMS   int64 `json:"useful_ms"`
	Priority int   `json:"priority,omitempty"`
	// ServiceUS is how long the request is expected to take at the upstream, in microseconds; 0 if
	// unknown.
	ServiceUS int64 `json:"service_us,omitempty"`
	// Sign is set if the gateway has itself seen that the upstream is contended.
	Sign  bool `json:"sign,omitempty"`
	Slots int  `json:"slots"`
	// TTLMS is how long the permit is valid, in milliseconds.
	TTLMS     int64                  `json:"ttl_ms"`
	Workspace sandbarrow.WorkspaceID `json:"workspace,omitempty"`
}

// request returns the request for the decision.
func (q *PermitRequest) request() *permit.Request {
	return &permit.Request{
		ID: q.ID, Instance: q.Instance, Left: time.Duration(q.LeftMS) * time.Millisecond, Priority: q.Priority,
		Service: time.Duration(q.ServiceUS) * time.Microsecond, Sign: q.Sign, Slots: q.Slots, TTL: time.Duration(q.TTLMS) * time.Millisecond, Workspace: q.Workspace,
	}
}

// PermitGrant is the reply to a PermitRequest.
type PermitGrant struct {
	// Contended is set if the upstream is contended. Otherwise a granted request needs no permit.
	Contended bool `json:"contended,omitempty"`
	Granted   bool `json:"granted,omitempty"`
	// WaitMS is after how many milliseconds a new request would start; for a refused request, when
	// there is room for it.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// Decision returns the grant as a decision.
func (g *PermitGrant) Decision() permit.Decision {
	return permit.Decision{Contended: g.Contended, Granted: g.Granted, Wait: time.Duration(g.WaitMS) * time.Millisecond}
}

// PermitReport reports a permit, the end of a wait, or a sign of contention.
type PermitReport struct {
	// Full is set in a return if the upstream rejected the request because it was full.
	Full     bool                  `json:"full,omitempty"`
	ID       permit.ID             `json:"id,omitempty"`
	Instance sandbarrow.InstanceID `json:"instance"`
	Kind     permit.ReportKind     `json:"kind"`
	Slots    int                   `json:"slots,omitempty"`
	// TookUS is how long the request took at the upstream, in microseconds; 0 if it was not completed.
	TookUS int64 `json:"took_us,omitempty"`
	TTLMS  int64 `json:"ttl_ms,omitempty"`
}

// report returns the report for the decision.
func (p *PermitReport) report() *permit.Report {
	return &permit.Report{
		Full: p.Full, ID: p.ID, Instance: p.Instance, Kind: p.Kind, Slots: p.Slots,
		Took: time.Duration(p.TookUS) * time.Microsecond, TTL: time.Duration(p.TTLMS) * time.Millisecond,
	}
}

// Contended lists upstreams that have become contended.
type Contended struct {
	Instances []sandbarrow.InstanceID `json:"instances"`
}
