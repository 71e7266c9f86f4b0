package availability

import "sandbarrow.example/sandbarrow"

// EndEvidence says how it is known that an upstream has ended.
type EndEvidence string

// The kinds of evidence.
const (
	// EndRefused means that nothing listens at its address any more.
	EndRefused EndEvidence = "refused"
	// EndReplaced means that another start of an upstream is listed at its address.
	EndReplaced EndEvidence = "replaced"
	// EndMisdirected means that another start of an upstream answers at its address.
	EndMisdirected EndEvidence = "misdirected"
	// EndRestarted means that its controller has seen another start.
	EndRestarted EndEvidence = "restarted"
)

// FindEnd looks for another start of an upstream; it returns "" where there is no sign of one.
//
// Inputs: the entry that is listed at the upstream's address, nil where there is none, and the
// last report of its controller.
func FindEnd(in, listed *sandbarrow.Instance, r Report) EndEvidence {
	switch {
	case listed != nil && !listed.ID.Is(in.ID):
		return EndReplaced
	case r.Instance != "" && !r.Instance.Is(in.ID):
		return EndRestarted
	}
	return ""
}
