package wire

import "time"

const (
	// Heartbeat is the pause between two signs of life while work is in progress between an entry
	// and an agent.
	Heartbeat = 500 * time.Millisecond
	// IdleHeartbeat is the pause while nothing is, which keeps a link that only waits within the
	// bytes that a node may spend for control.
	IdleHeartbeat = 5 * time.Second
	// HeartbeatTimeout is how long nothing may arrive from a peer with work in progress
	// before it counts as unreachable.
	HeartbeatTimeout = 3 * Heartbeat
)

// Same reports whether s tells an entry nothing that it has not read in sent.
// Measured times alone are no news.
func (s *Status) Same(sent *Status) bool {
	return s.Resident == nil &&
		s.Config == sent.Config &&
		s.Draining == sent.Draining &&
		s.Queued == sent.Queued &&
		s.Running == sent.Running &&
		s.Unready == sent.Unready
}
