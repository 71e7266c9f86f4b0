package enginelink

import (
	"slices"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/readspeed"
)

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

// compact leaves out of each slot what the reader can fill in: the engine's first model,
// and the state of a loaded adapter.
func compact(slots []SlotStatus, models []sandbarrow.BaseModelID) {
	for i := range slots {
		if len(models) > 0 && slots[i].Model == models[0] {
			slots[i].Model = ""
		}
		if slots[i].State == SlotLoaded {
			slots[i].State = ""
		}
	}
}

// expand undoes compact.
func expand(slots []SlotStatus, models []sandbarrow.BaseModelID) {
	for i := range slots {
		if len(models) > 0 && slots[i].Model == "" {
			slots[i].Model = models[0]
		}
		if slots[i].State == "" {
			slots[i].State = SlotLoaded
		}
	}
}

// Full is the status for a reader that has none.
func (s Status) Full() Status {
	s.Slots = slices.Clone(s.Slots)
	compact(s.Slots, s.Models)
	return s
}

// Brief is the status for a reader that knows what the engine holds.
func (s Status) Brief() Status {
	s.Loads, s.Models, s.ModelVersions, s.Slots, s.Speed, s.Same = Loads{}, nil, nil, nil, readspeed.Speed{}, true
	return s
}

// Since is the status for a reader that has last. It returns false where that reader
// needs the full one, since the engine holds other base models, or others of their
// versions.
func (s Status) Since(last *Status) (Status, bool) {
	if !s.SameModels(last) {
		return Status{}, false
	}
	changes := slotChanges(last.Slots, s.Slots)
	compact(changes, s.Models)
	loads, speed := s.Loads, s.Speed
	s = s.Brief()
	s.Changes = changes
	if loads != last.Loads {
		s.Loads = loads
	}
	if speed != last.Speed {
		s.Speed = speed
	}
	return s, true
}

// slotChanges lists the slots that differ from before, and those that are gone.
func slotChanges(before, now []SlotStatus) []SlotStatus {
	var changes []SlotStatus
	for i := range now {
		if !slices.Contains(before, now[i]) {
			changes = append(changes, now[i])
		}
	}
	for i := range before {
		same := func(s SlotStatus) bool { return s.Key() == before[i].Key() }
		if !slices.ContainsFunc(now, same) {
			changes = append(changes, SlotStatus{Adapter: before[i].Adapter, Model: before[i].Model, State: SlotGone})
		}
	}
	return changes
}

// applyChanges returns the slots after changes.
func applyChanges(before, changes []SlotStatus) []SlotStatus {
	now := slices.Clone(before)
	for i := range changes {
		now = slices.DeleteFunc(now, func(s SlotStatus) bool { return s.Key() == changes[i].Key() })
		if changes[i].State != SlotGone {
			now = append(now, changes[i])
		}
	}
	return now
}

// ModelVersion is the version of a base model that the engine holds, or 0 where it holds
// none or its version is not known.
func (s *Status) ModelVersion(m sandbarrow.BaseModelID) sandbarrow.ModelVersion {
	i := slices.Index(s.Models, m)
	if i < 0 || i >= len(s.ModelVersions) {
		return 0
	}
	return s.ModelVersions[i]
}

// Slot returns the slot of an adapter, or nil.
func (s *Status) Slot(k sandbarrow.AdapterKey) *SlotStatus {
	for i := range s.Slots {
		if s.Slots[i].Key() == k {
			return &s.Slots[i]
		}
	}
	return nil
}

// Weights returns the versions with which the engine would run a request for an adapter
// now; zero where it has not loaded it, or they are not known.
func (s *Status) Weights(k sandbarrow.AdapterKey) sandbarrow.WeightsVersion {
	v := sandbarrow.WeightsVersion{Model: s.ModelVersion(k.Model)}
	if slot := s.Slot(k); slot != nil && slot.State == SlotLoaded {
		v.Adapter = slot.Version
	}
	if !v.Known(k) {
		return sandbarrow.WeightsVersion{}
	}
	return v
}

// SameModels reports whether the engine holds the same base models at the same versions.
func (s *Status) SameModels(other *Status) bool {
	return slices.Equal(s.Models, other.Models) && slices.Equal(s.ModelVersions, other.ModelVersions)
}

// Expand undoes Full, and Brief and Since with the help of the last status.
func (s *Status) Expand(last *Status) {
	if !s.Same {
		expand(s.Slots, s.Models)
		return
	}
	s.Models, s.ModelVersions, s.Slots, s.Same = last.Models, last.ModelVersions, last.Slots, false
	if len(s.Changes) > 0 {
		expand(s.Changes, s.Models)
		s.Slots = applyChanges(last.Slots, s.Changes)
		s.Changes = nil
	}
	if s.Loads == (Loads{}) {
		s.Loads = last.Loads
	}
	if s.Speed == (readspeed.Speed{}) {
		s.Speed = last.Speed
	}
}

// Loads is what a controller has seen of loads from the weight store.
type Loads struct {
	// Count counts them.
	Count uint64 `json:"n"`
	// LastLoadMS is how long the last one took, in milliseconds.
	LastLoadMS int64 `json:"t"`
}

// Status is what a controller knows of its engine.
type Status struct {
	// Changes are those of Slots since the last status on this link, where Same is set.
	Changes []SlotStatus `json:"c,omitempty"`
	// Free counts the slots that are free or could be made free at once.
	Free int `json:"f"`
	// Gateways counts the gateways that are linked to the controller.
	Gateways int                   `json:"g"`
	Instance sandbarrow.InstanceID `json:"i,omitempty"`
	Draining bool                  `json:"leaving,omitempty"`
	// Loads are those of the engine that came from the weight store.
	Loads  Loads                    `json:"l,omitzero"`
	Models []sandbarrow.BaseModelID `json:"m,omitempty"`
	// ModelVersions are those of Models, in their order; empty from a controller that does
	// not report them.
	ModelVersions []sandbarrow.ModelVersion `json:"mv,omitempty"`
	// Running counts granted pins.
	Running int `json:"r"`
	// Same says that what of Loads, Models, their versions, Slots and Speed is left out is that of the last
	// status on this link.
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
