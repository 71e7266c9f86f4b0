package enginelink

import (
	"slices"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/engineload"
	"sandbarrow.example/sandbarrow/readspeed"
)

// SlotStatus is one adapter of an engine. Its names on the wire are short because statuses
// are most of the traffic of a link.
type SlotStatus struct {
	Adapter sandbarrow.AdapterID      `json:"a"`
	Model   sandbarrow.BaseModelID    `json:"m,omitempty"`
	State   SlotState                 `json:"s,omitempty"`
	Version sandbarrow.AdapterVersion `json:"v"`
}

// Key returns the key of the adapter.
func (s *SlotStatus) Key() sandbarrow.AdapterKey {
	return sandbarrow.AdapterKey{Adapter: s.Adapter, Model: s.Model}
}

// omitDefaults clears the values that the reader can fill in: the engine's first model, and
// the state of a loaded adapter.
func omitDefaults(slots []SlotStatus, models []sandbarrow.BaseModelID) {
	for i := range slots {
		if len(models) > 0 && slots[i].Model == models[0] {
			slots[i].Model = ""
		}
		if slots[i].State == SlotLoaded {
			slots[i].State = ""
		}
	}
}

// fillDefaults reverses omitDefaults.
func fillDefaults(slots []SlotStatus, models []sandbarrow.BaseModelID) {
	for i := range slots {
		if len(models) > 0 && slots[i].Model == "" {
			slots[i].Model = models[0]
		}
		if slots[i].State == "" {
			slots[i].State = SlotLoaded
		}
	}
}

// Full returns the complete status, for a reader that has none.
func (s Status) Full() Status {
	s.Slots = slices.Clone(s.Slots)
	omitDefaults(s.Slots, s.Models)
	return s
}

// Brief returns the status without models, slots, loads, event times and speed, for a reader that has
// their current values.
func (s Status) Brief() Status {
	s.EventTimes, s.Loads, s.Models, s.ModelVersions, s.Slots, s.Speed, s.OmitsUnchanged = engineload.Curve{}, Loads{}, nil, nil, nil, readspeed.Speed{}, true
	return s
}

// Since returns the status for a reader that has the status last. It returns false if the
// reader needs the full status because the base models or their versions have changed.
func (s Status) Since(last *Status) (Status, bool) {
	if !s.SameModels(last) {
		return Status{}, false
	}
	changes := slotChanges(last.Slots, s.Slots)
	omitDefaults(changes, s.Models)
	eventTimes, loads, speed := s.EventTimes, s.Loads, s.Speed
	s = s.Brief()
	s.Changes = changes
	if eventTimes != last.EventTimes {
		s.EventTimes = eventTimes
	}
	if loads != last.Loads {
		s.Loads = loads
	}
	if speed != last.Speed {
		s.Speed = speed
	}
	return s, true
}

// slotChanges returns the slots that differ from before, and the removed ones.
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
			changes = append(changes, SlotStatus{Adapter: before[i].Adapter, Model: before[i].Model, State: SlotRemoved})
		}
	}
	return changes
}

// applyChanges returns the slots with the changes applied.
func applyChanges(before, changes []SlotStatus) []SlotStatus {
	now := slices.Clone(before)
	for i := range changes {
		now = slices.DeleteFunc(now, func(s SlotStatus) bool { return s.Key() == changes[i].Key() })
		if changes[i].State != SlotRemoved {
			now = append(now, changes[i])
		}
	}
	return now
}

// ModelVersion returns the version of a base model. It is 0 if the engine has not loaded the
// model or the version is unknown.
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
// now. They are zero if the adapter is not loaded or a version is unknown.
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

// SameModels reports whether both statuses have the same base models at the same versions.
func (s *Status) SameModels(other *Status) bool {
	return slices.Equal(s.Models, other.Models) && slices.Equal(s.ModelVersions, other.ModelVersions)
}

// Expand restores the status from the result of Full, or from that of Brief or Since and the
// last status.
func (s *Status) Expand(last *Status) {
	if !s.OmitsUnchanged {
		fillDefaults(s.Slots, s.Models)
		return
	}
	s.Models, s.ModelVersions, s.Slots, s.OmitsUnchanged = last.Models, last.ModelVersions, last.Slots, false
	if len(s.Changes) > 0 {
		fillDefaults(s.Changes, s.Models)
		s.Slots = applyChanges(last.Slots, s.Changes)
		s.Changes = nil
	}
	if s.EventTimes == (engineload.Curve{}) {
		s.EventTimes = last.EventTimes
	}
	if s.Loads == (Loads{}) {
		s.Loads = last.Loads
	}
	if s.Speed == (readspeed.Speed{}) {
		s.Speed = last.Speed
	}
}

// Loads summarizes the loads from the weight store that a controller has observed.
type Loads struct {
	// Count is the number of loads.
	Count uint64 `json:"n"`
	// LastLoadMS is how many milliseconds the last load took.
	LastLoadMS int64 `json:"t"`
}

// Status is the state of an engine as its controller reports it.
type Status struct {
	// Changes are the changes of Slots since the last status on this link. They are used only
	// if OmitsUnchanged is set.
	Changes []SlotStatus `json:"c,omitempty"`
	// EventTimes is the time between two events of the engine's streams, learnt from its
	// reports. It is zero while unknown.
	EventTimes engineload.Curve `json:"e,omitzero"`
	// Free counts the slots that are free or can be freed immediately.
	Free int `json:"f"`
	// Gateways counts the gateways that are linked to the controller.
	Gateways int                   `json:"g"`
	Instance sandbarrow.InstanceID `json:"i,omitempty"`
	Draining bool                  `json:"leaving,omitempty"`
	// Loads are the engine's loads from the weight store.
	Loads  Loads                    `json:"l,omitzero"`
	Models []sandbarrow.BaseModelID `json:"m,omitempty"`
	// ModelVersions are the versions of Models, in the same order. They are empty if the
	// controller does not report versions.
	ModelVersions []sandbarrow.ModelVersion `json:"mv,omitempty"`
	// Queued counts the adapters that requests wait for and whose load has not begun. It is 0 if the
	// controllers share no demand.
	Queued int `json:"q,omitempty"`
	// Running counts the granted pins.
	Running int `json:"r"`
	// OmitsUnchanged says that the status is incomplete: Models, ModelVersions and Slots have the
	// values of the last status on this link (Slots with Changes applied), and so have
	// EventTimes, Loads and Speed where they are zero.
	OmitsUnchanged bool `json:"k,omitempty"`
	// Started is when the engine started. It is 0 if Instance names the start, if the engine does not
	// report it, or if the last report failed.
	Started sandbarrow.UnixMillis `json:"b,omitempty"`
	// EngineUnreachable says that the engine does not respond to its controller.
	EngineUnreachable bool         `json:"silent,omitempty"`
	Slots             []SlotStatus `json:"s,omitempty"`
	// Speed is the engine's prefill speed, estimated from its responses.
	Speed readspeed.Speed         `json:"p,omitzero"`
	Token sandbarrow.FencingToken `json:"t"`
	// WaitingTokens counts the tokens of the prompts whose response has not started, including
	// those that wait for their adapter.
	WaitingTokens int `json:"w"`
	// WaitingByPriority splits WaitingTokens by the priority of the routes.
	WaitingByPriority *Waiting `json:"wp,omitempty"`
}
