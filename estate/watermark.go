package estate

import (
	"slices"

	"sandbarrow.example/sandbarrow"
)

// maxEarlierEras is the maximum length of Watermark.Earlier. Only recent eras matter, because writes that the
// store lost in a restore are needed only until the operators have rewritten them.
const maxEarlierEras = 8

// Watermark describes how far a process has synced the operators' state.
type Watermark struct {
	// Revision is the revision up to which the state is complete.
	Revision sandbarrow.StoreRevision `json:"revision"`
	// Earlier holds one such revision for each earlier era, latest first. The store may have lost writes
	// of these eras, and the operators may not have rewritten them yet.
	Earlier []sandbarrow.StoreRevision `json:"earlier,omitempty"`
}

// MayLack reports whether a process at the other watermark may have an item that one at this watermark lacks.
func (m Watermark) MayLack(other Watermark) bool {
	return !m.covers(other.Revision) || slices.ContainsFunc(other.Earlier, func(r sandbarrow.StoreRevision) bool { return !m.covers(r) })
}

// covers reports whether a process at this watermark has the item of a revision or a newer one of the same key.
// If Earlier is full, revisions of eras before those in it count as covered.
func (m Watermark) covers(r sandbarrow.StoreRevision) bool {
	if r == 0 || r.Era() >= m.Revision.Era() {
		return r <= m.Revision
	}
	for _, known := range m.Earlier {
		if known.Era() == r.Era() {
			return r <= known
		}
	}
	return len(m.Earlier) == maxEarlierEras && r < m.Earlier[maxEarlierEras-1]
}

// merge returns the watermark of a process that has everything that either watermark covers.
func (m Watermark) merge(other Watermark) Watermark {
	all := slices.Concat([]sandbarrow.StoreRevision{m.Revision, other.Revision}, m.Earlier, other.Earlier)
	slices.Sort(all)
	slices.Reverse(all)
	all = slices.CompactFunc(all, func(a, b sandbarrow.StoreRevision) bool { return a.Era() == b.Era() })
	merged := Watermark{Revision: all[0]}
	for _, r := range all[1:] {
		if r != 0 && len(merged.Earlier) < maxEarlierEras {
			merged.Earlier = append(merged.Earlier, r)
		}
	}
	return merged
}
