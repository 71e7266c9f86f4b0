package estate

import (
	"slices"

	"sandbarrow.example/sandbarrow"
)

// maxEarlierEras bounds Mark.Earlier. Only recent eras matter: what the store lost in a restore is needed
// until the operators have rewritten it.
const maxEarlierEras = 8

// Watermark says up to which revisions a side knows the operators' state.
type Watermark struct {
	// Revision is the revision up to which the state is complete.
	Revision sandbarrow.StoreRevision `json:"revision"`
	// Earlier holds one such revision for each earlier era, latest first. The store may have lost writes
	// of these eras that the operators have not rewritten yet.
	Earlier []sandbarrow.StoreRevision `json:"earlier,omitempty"`
}

// MayLack reports whether a side with the other mark may know an item that a side with this mark does not.
func (m Watermark) MayLack(other Watermark) bool {
	return !m.covers(other.Revision) || slices.ContainsFunc(other.Earlier, func(r sandbarrow.StoreRevision) bool { return !m.covers(r) })
}

// covers reports whether a side with this mark knows the item of a revision or a newer one of the same key.
// Revisions of eras before those in a full Earlier count as known.
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

// merge returns the mark of a side that knows everything that either mark covers.
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
