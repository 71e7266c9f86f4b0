// Package loadclaim decides which engine loads an adapter, or one more copy of it, if several gateways
// ask at once, each with a status of the engines that is up to half a second old.
//
// It owns two records: a coordinator's decisions (Table) and the loads that a gateway expects at an
// engine (Expected). Both are bounded and forget by themselves. The package has no clock, lock or
// connection; gateways and controllers use it.
package loadclaim

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// Lifetime is how long a decision and an expectation count. By then the status of the engine shows
// the load, unless it still waits in the engine's queue.
const Lifetime = 2 * time.Second

// Claim is a gateway's request for the engine that loads an adapter, or one more copy of it.
type Claim struct {
	// Copies is the number of engines that have or load the adapter. Each further copy is decided by
	// itself.
	Copies int
	Key    sandbarrow.AdapterKey
	// Proposed is the engine that the gateway would choose.
	Proposed sandbarrow.InstanceID
	// Unusable is an engine that was decided before and that the gateway can't use; empty if none.
	Unusable sandbarrow.InstanceID
	// Version is the minimum version to load.
	Version sandbarrow.AdapterVersion
}
