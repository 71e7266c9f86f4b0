package config

import "sandbarrow.example/sandbarrow"

// supersedes reports whether a configuration replaces another one. Within an era of the store the higher
// revision wins. A restored store assigns the same revisions again. Across eras the configuration of the later
// era therefore wins, unless the history shows that the other one was applied after it.
func (s Snapshot) supersedes(other Snapshot) bool {
	switch {
	case other.Head.Revision == 0:
		return s.Head.Revision > 0
	case s.Era == other.Era:
		return s.Head.Revision > other.Head.Revision
	case s.Head.Token == other.Head.Token:
		return false
	case s.Era > other.Era:
		return !other.Head.appliedAfter(s.Head.Change)
	default:
		return s.Head.appliedAfter(other.Head.Change)
	}
}

// appliedAfter reports whether the head was applied after a change. This is the case if its history contains
// the change, or if the history is full and begins after the change.
func (h *Head) appliedAfter(c Change) bool {
	oldest := h.Revision
	for _, past := range h.History {
		if past.Token == c.Token {
			return true
		}
		oldest = past.Revision
	}
	return c.Revision < oldest && len(h.History) >= historyLength
}

// Watermark identifies a configuration. Peers exchange it instead of the complete configuration.
type Watermark struct {
	Digest sandbarrow.Digest `json:"digest"`
	// Era is the era of the store when the configuration was read.
	Era      sandbarrow.StoreEra `json:"era,omitempty"`
	Revision sandbarrow.Revision `json:"revision"`
}

// maySupersede reports whether the configuration of a watermark may replace that of another one. Across eras
// watermarks are not enough to decide which one is newer; supersedes decides it from both heads.
func (m Watermark) maySupersede(other Watermark) bool {
	if m.Era == other.Era {
		return m.Revision > other.Revision
	}
	return m.Revision > 0 && (m.Digest != other.Digest || m.Revision != other.Revision)
}
