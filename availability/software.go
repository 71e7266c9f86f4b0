package availability

import "sandbarrow.example/sandbarrow"

// RunningSoftware decides which software version an upstream runs that was chosen by an entry of the
// list. It returns "" if that is not certain. An upstream may start again under its id or at its
// address with other software, and its entry is written after its start.
//
// Inputs: the entry by which the upstream was chosen; the entry that is now listed at its address,
// nil if there is none; the last report of its controller; and whether the list was confirmed
// lately. Where starts have ids of their own, no process can respond under the id of another start.
// Where an id names its start time, another start under the same id shows only in a report or in a
// list that is up to date.
func RunningSoftware(chosen, listed *sandbarrow.Instance, r Report, listConfirmed bool) sandbarrow.SoftwareVersion {
	started := chosen.ID.Started()
	switch {
	case listed != nil && (listed.ID != chosen.ID || listed.Software != chosen.Software):
		return ""
	case r.Instance != "" && r.Instance != chosen.ID:
		return ""
	case r.started() != 0 && r.started() != started:
		return ""
	case started != 0 && r.started() == 0 && (listed == nil || !listConfirmed):
		return ""
	}
	return chosen.Software
}
