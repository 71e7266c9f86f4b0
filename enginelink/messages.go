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
	"sandbarrow.example/sandbarrow/promptcache"
	"sandbarrow.example/sandbarrow/readspeed"
)

// The methods of a link.
const (
	// MethodAcquire asks a controller to pin an adapter; a call.
	MethodAcquire = "engine.acquire"
	// MethodBegun reports that a request's answer has begun, so that its prompt no
	// longer waits.
	MethodBegun = "engine.begun"
	// MethodDone ends a pin.
	MethodDone = "engine.done"
	// MethodFetch reads what changed of the operators' state; a call.
	MethodFetch = "estate.fetch"
	// MethodHello opens a link.
	MethodHello = "link.hello"
	// MethodKept reports which prompt parts an engine keeps.
	MethodKept = "engine.kept"
	// MethodListed carries what one gateway has read of the list of upstreams; the
	// controller relays it to the others.
	MethodListed = "directory.change"
	// MethodMark announces up to which revision the sender's view of the operators'
	// state is complete.
	MethodMark = "estate.mark"
	// MethodStatus reports an engine to the gateways.
	MethodStatus = "engine.status"
	// MethodUsing reports a pin that goes on to a controller that may not know it.
	MethodUsing = "engine.using"
)

const (
	// Heartbeat is the longest pause between two statuses. Estimate, not measured: the
	// same as between entries and agents.
	Heartbeat = 500 * time.Millisecond
	// HeartbeatTimeout is how long no status may arrive before a controller counts
	// as unreachable.
	HeartbeatTimeout = 3 * Heartbeat
	// LoadPatience is how much longer than its wait a request stays with an engine that is
	// loading its adapter already: several loads under contention. Estimate, not measured
	// by itself.
	LoadPatience = 2 * time.Second
)

// SlotState says what an engine does with an adapter.
type SlotState string

// The states of a slot.
const (
	SlotLoaded  SlotState = "loaded"
	SlotLoading SlotState = "loading"
	// SlotReplacing waits for runs on an older version to end.
	SlotReplacing SlotState = "replacing"
)

// RefuseReason says why an acquire was refused.
type RefuseReason string

// The reasons of a refusal.
const (
	// RefuseBusy means that more prompt tokens wait than MostWaiting allows.
	RefuseBusy     RefuseReason = "busy"
	RefuseDraining RefuseReason = "leaving"
	// RefuseNoModel means that the engine does not hold the base model.
	RefuseNoModel RefuseReason = "no-model"
	// RefuseUnreachable means that the engine does not answer its controller.
	RefuseUnreachable RefuseReason = "silent"
	// RefuseSlots means that no slot came free in time.
	RefuseSlots RefuseReason = "slots"
)

// Hello opens a link.
type Hello struct {
	Box sandbarrow.BoxID `json:"box"`
	// Speed is the last estimate that the gateway saw of the engine's speed, or that
	// of other engines; zero where it saw none.
	Speed readspeed.Speed `json:"speed"`
	// Token is the newest fencing token that the gateway saw of this controller.
	Token sandbarrow.FencingToken `json:"token"`
}

// Mark is the revision up to which a side's estate is complete.
type Mark struct {
	Revision sandbarrow.StoreRevision `json:"revision"`
}

// Estate answers a fetch.
type Estate struct {
	Items []sandbarrow.KeyItem     `json:"items"`
	Mark  sandbarrow.StoreRevision `json:"mark"`
}

// Acquire asks to pin an adapter, or to use a base model alone.
type Acquire struct {
	Adapter  sandbarrow.AdapterID   `json:"adapter,omitempty"`
	ID       sandbarrow.RequestID   `json:"id"`
	Instance sandbarrow.InstanceID  `json:"instance"`
	Model    sandbarrow.BaseModelID `json:"model"`
	// MostWaiting is how many prompt tokens may wait at the engine for it to be
	// the best choice still; 0 takes it in any case.
	MostWaiting int `json:"most_waiting,omitempty"`
	Priority    int `json:"priority"`
	// Stretches are those of the prompt, for an estimate of what the engine keeps of it.
	Stretches []promptcache.Stretch `json:"stretches,omitempty"`
	Tokens    int                   `json:"tokens"`
	// UsefulMS is how long a grant still lets the answer be in time, in
	// milliseconds; it may be negative.
	UsefulMS int64 `json:"useful_ms"`
	// Version is the least version that may run.
	Version sandbarrow.AdapterVersion `json:"version"`
	// WaitMS is how long the gateway waits for a load to begin, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// Kept is what changed of the prompt parts that an engine keeps, as its controller
// estimates it.
type Kept struct {
	// All says that the changes are all that is kept.
	All     bool                 `json:"all,omitempty"`
	Changes []promptcache.Change `json:"changes"`
}

// Grant answers an acquire.
type Grant struct {
	Refused RefuseReason              `json:"refused,omitempty"`
	Version sandbarrow.AdapterVersion `json:"version,omitempty"`
	// Waiting comes with RefuseBusy: the prompt tokens that wait.
	Waiting int `json:"waiting,omitempty"`
	// WaitingByPriority comes with it: the same by the priority of their routes.
	WaitingByPriority *Waiting `json:"waiting_by_priority,omitempty"`
}

// Pin names the pin of one request.
type Pin struct {
	ID sandbarrow.RequestID `json:"id"`
}

// SlotStatus is one adapter of an engine. Its names are short on the wire,
// since statuses are most of what a link carries.
type SlotStatus struct {
	Adapter sandbarrow.AdapterID      `json:"a"`
	Model   sandbarrow.BaseModelID    `json:"m,omitempty"`
	State   SlotState                 `json:"s,omitempty"`
	Version sandbarrow.AdapterVersion `json:"v"`
}

// Key names the adapter.
func (s *SlotStatus) Key() sandbarrow.AdapterKey {
	return sandbarrow.AdapterKey{Adapter: s.Adapter, Model: s.Model}
}

// Compact leaves out of each slot what the reader can fill in: the engine's
// first model, and the state of a loaded adapter.
func (s *Status) Compact() {
	for i := range s.Slots {
		if len(s.Models) > 0 && s.Slots[i].Model == s.Models[0] {
			s.Slots[i].Model = ""
		}
		if s.Slots[i].State == SlotLoaded {
			s.Slots[i].State = ""
		}
	}
}

// Brief is the status without what a reader has from the last one.
func (s Status) Brief() Status {
	s.Models, s.Slots, s.Speed, s.Same = nil, nil, readspeed.Speed{}, true
	return s
}

// Expand undoes Compact, and Brief with the help of the last status.
func (s *Status) Expand(last *Status) {
	if s.Same {
		s.Models, s.Slots, s.Speed, s.Same = last.Models, last.Slots, last.Speed, false
		return
	}
	for i := range s.Slots {
		if len(s.Models) > 0 && s.Slots[i].Model == "" {
			s.Slots[i].Model = s.Models[0]
		}
		if s.Slots[i].State == "" {
			s.Slots[i].State = SlotLoaded
		}
	}
}

// Status is what a controller knows of its engine.
type Status struct {
	// Free counts the slots that are free or could be made free at once.
	Free int `json:"f"`
	// Gateways counts the gateways that are linked to the controller.
	Gateways int                      `json:"g"`
	Instance sandbarrow.InstanceID    `json:"i,omitempty"`
	Draining bool                     `json:"leaving,omitempty"`
	Models   []sandbarrow.BaseModelID `json:"m,omitempty"`
	// Running counts granted pins.
	Running int `json:"r"`
	// Same says that Models, Slots and Speed are those of the last status on this link,
	// and left out.
	Same bool `json:"k,omitempty"`
	// EngineUnreachable says that the engine does not answer.
	EngineUnreachable bool         `json:"silent,omitempty"`
	Slots             []SlotStatus `json:"s,omitempty"`
	// Speed is how fast the engine reads prompts, as estimated from its answers.
	Speed readspeed.Speed         `json:"p,omitzero"`
	Token sandbarrow.FencingToken `json:"t"`
	// WaitingTokens are the prompts whose answer has not begun, those that wait
	// for their adapter among them.
	WaitingTokens int `json:"w"`
	// WaitingByPriority are the same by the priority of their routes.
	WaitingByPriority *Waiting `json:"wp,omitempty"`
}
