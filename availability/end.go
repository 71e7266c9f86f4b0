package availability

import "sandbarrow.example/sandbarrow"

// ExitEvidence says how it is known that an upstream has exited.
type ExitEvidence string

const (
	// ExitRefused means that connections to its address are refused.
	ExitRefused ExitEvidence = "refused"
	// ExitReplaced means that another instance is listed at its address.
	ExitReplaced ExitEvidence = "replaced"
	// ExitMisdirected means that another instance responds at its address.
	ExitMisdirected ExitEvidence = "misdirected"
	// ExitRestarted means that its controller has seen another instance.
	ExitRestarted ExitEvidence = "restarted"
	// ExitUnreachable means that it does not respond to its controller, on the same box. Its address may
	// accept connections all the same, and break them.
	ExitUnreachable ExitEvidence = "unreachable"
)

// DetectExit checks whether an upstream has exited under which an attempt broke. It returns "" if there
// is no sign of it.
//
// Inputs: the entry that is listed at the upstream's address, nil if there is none, and the last
// report of its controller.
func DetectExit(in, listed *sandbarrow.Instance, r Report) ExitEvidence {
	switch {
	case listed != nil && !listed.ID.Matches(in.ID):
		return ExitReplaced
	case r.Instance != "" && !r.Instance.Matches(in.ID), r.Instance == "" && r.isOfAnotherStart(in.ID):
		return ExitRestarted
	case r.Unreachable:
		return ExitUnreachable
	}
	return ""
}
