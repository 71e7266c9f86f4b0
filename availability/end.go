package availability

import "sandbarrow.example/sandbarrow"

// ExitEvidence says how it is known that an upstream has ended.
type ExitEvidence string

// The kinds of evidence.
const (
	// ExitRefused means that nothing listens at its address any more.
	ExitRefused ExitEvidence = "refused"
	// ExitReplaced means that another start of an upstream is listed at its address.
	ExitReplaced ExitEvidence = "replaced"
	// ExitMisdirected means that another start of an upstream answers at its address.
	ExitMisdirected ExitEvidence = "misdirected"
	// ExitRestarted means that its controller has seen another start.
	ExitRestarted ExitEvidence = "restarted"
)

// DetectExit looks for another start of an upstream; it returns "" where there is no sign of one.
//
// Inputs: the entry that is listed at the upstream's address, nil where there is none, and the
// last report of its controller.
func DetectExit(in, listed *sandbarrow.Instance, r Report) ExitEvidence {
	switch {
	case listed != nil && !listed.ID.Is(in.ID):
		return ExitReplaced
	case r.Instance != "" && !r.Instance.Is(in.ID):
		return ExitRestarted
	}
	return ""
}
