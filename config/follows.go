package config

import "sandbarrow.example/sandbarrow"

// supersedes reports whether a configuration replaces another one. Within an era of the store the higher
// revision wins. A restored store assigns revisions again, so across eras the configuration of the later
// era wins, unless the history shows that the other one was applied after it.
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

// appliedAfter reports whether the head was applied after a change: its history contains the change, or is
// full and begins after it.
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

// Watermark identifies a configuration; peers exchange it in place of the whole one.
type Watermark struct {
	Digest sandbarrow.Digest `json:"digest"`
	// Era is the store's era when the configuration was read.
	Era      sandbarrow.StoreEra `json:"era,omitempty"`
	Revision sandbarrow.Revision `json:"revision"`
}

// maySupersede reports whether the configuration of a mark may replace that of another one. Across eras
// only supersedes, which needs both heads, decides.
func (m Watermark) maySupersede(other Watermark) bool {
	if m.Era == other.Era {
		return m.Revision > other.Revision
	}
	return m.Revision > 0 && (m.Digest != other.Digest || m.Revision != other.Revision)
}
