package enginelink

import (
	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/loadclaim"
)

const (
	// MethodClaimLoad asks a coordinator which engine loads an adapter, or one more copy; a call.
	MethodClaimLoad = "load.claim"
	// MethodLoadClaimed tells the other coordinator of an adapter about a decision.
	MethodLoadClaimed = "load.claimed"
)

// ClaimLoad asks which engine of the controller's service loads an adapter.
type ClaimLoad struct {
	Adapter sandbarrow.AdapterID `json:"adapter"`
	// Copies is the number of engines that have or load the adapter, as the gateway sees it.
	Copies int `json:"copies,omitempty"`
	// Instance is the engine that the gateway would choose.
	Instance sandbarrow.InstanceID  `json:"instance"`
	Model    sandbarrow.BaseModelID `json:"model"`
	// Unusable is the engine that the gateway was told before and can't use; empty if none.
	Unusable sandbarrow.InstanceID     `json:"unusable,omitempty"`
	Version  sandbarrow.AdapterVersion `json:"version,omitempty"`
}

// Claim returns the message as a claim.
func (c *ClaimLoad) Claim() loadclaim.Claim {
	return loadclaim.Claim{
		Copies: c.Copies, Key: sandbarrow.AdapterKey{Adapter: c.Adapter, Model: c.Model}, Proposed: c.Instance, Unusable: c.Unusable, Version: c.Version,
	}
}

// LoadDecision is the reply to a ClaimLoad.
type LoadDecision struct {
	// Instance is the engine that loads the adapter.
	Instance sandbarrow.InstanceID `json:"instance"`
}
