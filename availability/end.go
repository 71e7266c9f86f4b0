package availability

import "sandbarrow.example/sandbarrow"

// ExitEvidence says how it is known that an upstream has exited.
type EndEvidence string

const (
	// ExitRefused means that connections to its address are refused.
	EndRefused EndEvidence = "refused"
	// ExitReplaced means that another instance is listed at its address.
	EndReplaced EndEvidence = "replaced"
	// ExitMisdirected means that another instance responds at its address.
	EndMisdirected EndEvidence = "misdirected"
	// ExitRestarted means that its controller has seen another instance.
	EndRestarted EndEvidence = "restarted"
)

// DetectExit checks whether another instance has replaced an upstream. It returns "" if there is no
// sign of one.
//
// Inputs: the entry that is listed at the upstream's address, nil if there is none, and the last
// report of its controller.
func FindEnd(in, listed *sandbarrow.Instance, r Report) EndEvidence {
	switch {
	case listed != nil && !listed.ID.Is(in.ID):
		return EndReplaced
	case r.Instance != "" && !r.Instance.Is(in.ID):
		return EndRestarted
	}
	return ""
}
